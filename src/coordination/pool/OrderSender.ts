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
const GATHER_MS = 1;

/** What a sender needs. */
export interface OrderSenderParts {
  readonly channel: AgentChannel;
  readonly clock: Clock;
  readonly log: Log;
  readonly table: WorkerTable;
  readonly epoch: number;
  /** Whether the scheduler's confirmation is recent enough to extend leases. */
  readonly mayGrant: () => boolean;
  /** Called with orders to pace of which nobody knows whether they were carried out. */
  readonly onPacesLost: (orders: readonly RunOrder[]) => void;
  /** Called with what an agent answered. */
  readonly onReport: (agent: string, worker: string, report: OrderReport) => void;
  /** Called where an agent has seen a later scheduler. */
  readonly onDeposed: () => void;
}

interface Outbox {
  readonly worker: string;
  readonly starts: readonly StartOrder[];
  readonly stops: readonly RunOrder[];
  readonly paces: readonly PaceOrder[];
}

/** Orders of one scheduler. */
export class OrderSender {
  private readonly _parts: OrderSenderParts;
  private readonly _outboxes = new Map<string, Outbox>();
  private _isClosed = false;

  /**
   * Creates a sender.
   * @param parts - What it needs.
   */
  constructor(parts: OrderSenderParts) {
    this._parts = parts;
  }

  /**
   * Sends an order to start a run.
   * @param agent - Agent of the worker.
   * @param worker - Incarnation of the worker.
   * @param order - The order.
   */
  start(agent: string, worker: string, order: StartOrder): void {
    this._add(agent, worker, (outbox) => ({ ...outbox, starts: [...outbox.starts, order] }));
  }

  /**
   * Sends an order to stop a run.
   * @param agent - Agent of the worker.
   * @param worker - Incarnation of the worker.
   * @param order - The order.
   */
  stop(agent: string, worker: string, order: RunOrder): void {
    this._add(agent, worker, (outbox) => ({ ...outbox, stops: [...outbox.stops, order] }));
  }

  /**
   * Sends an order to let a run work at a share of its speed.
   * @param agent - Agent of the worker.
   * @param worker - Incarnation of the worker.
   * @param order - The order.
   */
  pace(agent: string, worker: string, order: PaceOrder): void {
    this._add(agent, worker, (outbox) => ({ ...outbox, paces: [...outbox.paces, order] }));
  }

  /** Sends nothing any more. */
  close(): void {
    this._isClosed = true;
  }

  private _add(agent: string, worker: string, extend: (outbox: Outbox) => Outbox): void {
    const key = `${agent} ${worker}`;
    const known = this._outboxes.get(key);
    if (known === undefined) {
      this._parts.clock.after(GATHER_MS, () => void this._flush(agent, key));
    }
    this._outboxes.set(key, extend(known ?? { worker, starts: [], stops: [], paces: [] }));
  }

  private async _flush(agent: string, key: string): Promise<void> {
    const outbox = this._outboxes.get(key);
    this._outboxes.delete(key);
    const { table, channel, epoch } = this._parts;
    const address = table.getAgent(agent)?.record.address;
    if (outbox === undefined || address === undefined || this._isClosed) {
      return;
    }
    const isCurrent = table.getWorker(agent)?.report.worker === outbox.worker;
    const leaseUntilMs = isCurrent && this._parts.mayGrant() ? table.grant(agent) : undefined;
    // A start without a lease would be refused; it is due again later.
    const starts = leaseUntilMs === undefined ? [] : outbox.starts;
    const call: OrderCall = { epoch, ...outbox, leaseUntilMs: leaseUntilMs ?? 0, starts };
    const outcome = await channel.order(address, call);
    this._settle(agent, outbox, outcome);
  }

  private _settle(agent: string, outbox: Outbox, outcome: AgentOutcome<OrderReport>): void {
    if (this._isClosed) {
      return;
    }
    if (outcome.kind === "answered") {
      this._parts.onPacesLost(outcome.value.paces.filter(({ failure }) => failure !== undefined));
      this._parts.onReport(agent, outbox.worker, outcome.value);
    } else if (outcome.kind === "deposed") {
      this._parts.onDeposed();
    } else {
      this._parts.onPacesLost(outbox.paces);
      this._parts.log.warn("No answer to orders.", { agent, reason: outcome.detail });
    }
  }
}
