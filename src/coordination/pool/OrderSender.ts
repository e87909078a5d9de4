/**
 * Sends orders to agents. Orders for one worker that come up in the same turn of the loop go
 * together; each call says until when starts may hold and what became of every order.
 */
import type { Clock } from "../../protocol/platform/Clock.ts";
import type { Log } from "../../protocol/platform/Log.ts";
import type {
  AgentChannel,
  AgentOutcome,
  OrderCall,
  OrderReport,
  PaceOrder,
  RunOrder,
  StartOrder,
} from "./AgentChannel.ts";
import type { WorkerTable } from "./WorkerTable.ts";

/** Delay in which orders for one worker are gathered, in milliseconds. */
const BATCH_DELAY_MS = 1;

/** What a sender needs. */
export interface OrderSenderDependencies {
  readonly channel: AgentChannel;
  readonly clock: Clock;
  readonly log: Log;
  readonly workerTable: WorkerTable;
  readonly epoch: number;
  /** Whether the scheduler's confirmation is recent enough to extend leases. */
  readonly mayGrantLeases: () => boolean;
  /** Called with orders to pace of which nobody knows whether they were carried out. */
  readonly onPacesUnconfirmed: (orders: readonly RunOrder[]) => void;
  /** Called with what an agent answered. */
  readonly onReport: (agent: string, worker: string, report: OrderReport) => void;
  /** Called where an agent has seen a later scheduler. */
  readonly onSuperseded: () => void;
}

interface OrderBatch {
  readonly worker: string;
  readonly starts: readonly StartOrder[];
  readonly stops: readonly RunOrder[];
  readonly paces: readonly PaceOrder[];
}

/** Orders of one scheduler. */
export class OrderSender {
  private readonly _deps: OrderSenderDependencies;
  private readonly _batches = new Map<string, OrderBatch>();
  private _isClosed = false;

  /**
   * Creates a sender.
   * @param deps - What it needs.
   */
  constructor(deps: OrderSenderDependencies) {
    this._deps = deps;
  }

  /**
   * Sends an order to start a run.
   * @param agent - Agent of the worker.
   * @param worker - Incarnation of the worker.
   * @param order - The order.
   */
  start(agent: string, worker: string, order: StartOrder): void {
    this._enqueue(agent, worker, (outbox) => ({ ...outbox, starts: [...outbox.starts, order] }));
  }

  /**
   * Sends an order to stop a run.
   * @param agent - Agent of the worker.
   * @param worker - Incarnation of the worker.
   * @param order - The order.
   */
  stop(agent: string, worker: string, order: RunOrder): void {
    this._enqueue(agent, worker, (outbox) => ({ ...outbox, stops: [...outbox.stops, order] }));
  }

  /**
   * Sends an order to let a run work at a share of its speed.
   * @param agent - Agent of the worker.
   * @param worker - Incarnation of the worker.
   * @param order - The order.
   */
  pace(agent: string, worker: string, order: PaceOrder): void {
    this._enqueue(agent, worker, (outbox) => ({ ...outbox, paces: [...outbox.paces, order] }));
  }

  /** Sends nothing any more. */
  close(): void {
    this._isClosed = true;
  }

  private _enqueue(
    agent: string,
    worker: string,
    extend: (outbox: OrderBatch) => OrderBatch,
  ): void {
    const key = `${agent} ${worker}`;
    const known = this._batches.get(key);
    if (known === undefined) {
      this._deps.clock.after(BATCH_DELAY_MS, () => void this._flush(agent, key));
    }
    this._batches.set(key, extend(known ?? { worker, starts: [], stops: [], paces: [] }));
  }

  private async _flush(agent: string, key: string): Promise<void> {
    const outbox = this._batches.get(key);
    this._batches.delete(key);
    const { workerTable: table, channel, epoch } = this._deps;
    const address = table.getAgent(agent)?.record.address;
    if (outbox === undefined || address === undefined || this._isClosed) {
      return;
    }
    const isCurrent = table.getWorker(agent)?.report.worker === outbox.worker;
    const leaseUntilMs =
      isCurrent && this._deps.mayGrantLeases() ? table.grantLease(agent) : undefined;
    // A start without a lease would be refused; it is due again later.
    const starts = leaseUntilMs === undefined ? [] : outbox.starts;
    const call: OrderCall = { epoch, ...outbox, leaseUntilMs: leaseUntilMs ?? 0, starts };
    const outcome = await channel.order(address, call);
    this._handleOutcome(agent, outbox, outcome);
  }

  private _handleOutcome(
    agent: string,
    outbox: OrderBatch,
    outcome: AgentOutcome<OrderReport>,
  ): void {
    if (this._isClosed) {
      return;
    }
    if (outcome.kind === "answered") {
      this._deps.onPacesUnconfirmed(
        outcome.value.paces.filter(({ failure }) => failure !== undefined),
      );
      this._deps.onReport(agent, outbox.worker, outcome.value);
    } else if (outcome.kind === "deposed") {
      this._deps.onSuperseded();
    } else {
      this._deps.onPacesUnconfirmed(outbox.paces);
      this._deps.log.warn("No answer to orders.", { agent, reason: outcome.detail });
    }
  }
}
