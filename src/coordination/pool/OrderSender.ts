/**
 * Sends orders to agents. Orders for the same worker that are created within a short delay are sent
 * in one call. Each call carries the lease under which runs are started, and its response has the
 * result of every order.
 */
import type { Clock } from "../../protocol/platform/Clock.ts";
import type { Log } from "../../protocol/platform/Log.ts";
import { NO_RESOURCES } from "../../protocol/Resources.ts";
import type {
  AgentChannel,
  AgentOutcome,
  OrderCall,
  OrderReport,
  PaceOrder,
  RunOrder,
  StartOrder,
} from "./AgentChannel.ts";
import type { LeaseGrants } from "./LeaseGrants.ts";
import type { WorkerTable } from "./WorkerTable.ts";

/** Time for which orders for the same worker are collected into one call, in milliseconds. */
const BATCH_DELAY_MS = 1;

/** Dependencies of OrderSender. */
export interface OrderSenderDependencies {
  readonly channel: AgentChannel;
  readonly clock: Clock;
  readonly log: Log;
  readonly workerTable: WorkerTable;
  readonly epoch: number;
  readonly grants: Pick<LeaseGrants, "mayGrant">;
  /** Called with pace orders that failed or may not have been executed. */
  readonly onPacesUnconfirmed: (orders: readonly RunOrder[]) => void;
  /** Called with the results that an agent returned. */
  readonly onReport: (agent: string, worker: string, report: OrderReport) => void;
  /** Called when an agent has seen a scheduler of a later epoch. */
  readonly onSuperseded: () => void;
}

interface OrderBatch {
  readonly worker: string;
  readonly starts: readonly StartOrder[];
  readonly stops: readonly RunOrder[];
  readonly paces: readonly PaceOrder[];
}

/** Sends the orders of one scheduler. */
export class OrderSender {
  private readonly _deps: OrderSenderDependencies;
  private readonly _batches = new Map<string, OrderBatch>();
  private _isClosed = false;

  /**
   * Creates a sender.
   * @param deps - Dependencies.
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
    this._enqueue(agent, worker, (batch) => ({ ...batch, starts: [...batch.starts, order] }));
  }

  /**
   * Sends an order to stop a run.
   * @param agent - Agent of the worker.
   * @param worker - Incarnation of the worker.
   * @param order - The order.
   */
  stop(agent: string, worker: string, order: RunOrder): void {
    this._enqueue(agent, worker, (batch) => ({ ...batch, stops: [...batch.stops, order] }));
  }

  /**
   * Sends an order to limit a run to a percentage of its full speed.
   * @param agent - Agent of the worker.
   * @param worker - Incarnation of the worker.
   * @param order - The order.
   */
  pace(agent: string, worker: string, order: PaceOrder): void {
    this._enqueue(agent, worker, (batch) => ({ ...batch, paces: [...batch.paces, order] }));
  }

  /** Stops sending; orders that have not been sent are dropped. */
  close(): void {
    this._isClosed = true;
  }

  private _enqueue(
    agent: string,
    worker: string,
    addOrder: (batch: OrderBatch) => OrderBatch,
  ): void {
    const key = `${agent} ${worker}`;
    const known = this._batches.get(key);
    if (known === undefined) {
      this._deps.clock.after(BATCH_DELAY_MS, () => void this._flush(agent, key));
    }
    this._batches.set(key, addOrder(known ?? { worker, starts: [], stops: [], paces: [] }));
  }

  private async _flush(agent: string, key: string): Promise<void> {
    const batch = this._batches.get(key);
    this._batches.delete(key);
    const { workerTable, channel, epoch } = this._deps;
    const address = workerTable.getAgent(agent)?.record.address;
    if (batch === undefined || address === undefined || this._isClosed) {
      return;
    }
    const report = workerTable.getWorker(agent)?.report;
    const isCurrent = report?.worker === batch.worker;
    const leaseUntilMs =
      isCurrent && this._deps.grants.mayGrant(agent) ? workerTable.grantLease(agent) : undefined;
    // A start without a lease would be refused; it is ordered again later.
    const starts = leaseUntilMs === undefined ? [] : batch.starts;
    const capacity = report?.capacity ?? NO_RESOURCES;
    const call: OrderCall = { epoch, ...batch, leaseUntilMs: leaseUntilMs ?? 0, capacity, starts };
    const outcome = await channel.order(address, call);
    this._handleOutcome(agent, batch, outcome);
  }

  private _handleOutcome(
    agent: string,
    batch: OrderBatch,
    outcome: AgentOutcome<OrderReport>,
  ): void {
    if (this._isClosed) {
      return;
    }
    if (outcome.kind === "answered") {
      this._deps.onPacesUnconfirmed(
        outcome.value.paces.filter(({ failure }) => failure !== undefined),
      );
      this._deps.onReport(agent, batch.worker, outcome.value);
    } else if (outcome.kind === "deposed") {
      this._deps.onSuperseded();
    } else {
      this._deps.onPacesUnconfirmed(batch.paces);
      this._deps.log.warn(
        "Agent did not respond to orders; those that are still needed are sent again.",
        { agent, reason: outcome.detail },
      );
    }
  }
}
