/**
 * Sends orders to agents. Orders for the same worker that are requested within a short delay are sent
 * in one call. Each call carries the lease under which runs are started, and its response has the
 * result of every order. Whether a run is still to be started is decided when the call is sent, after
 * the lease was extended: a request that waits can be withdrawn until then.
 */
import type { Clock } from "../../protocol/platform/Clock.ts";
import type { Log } from "../../protocol/platform/Log.ts";
import { NO_RESOURCES } from "../../protocol/Resources.ts";
import { formatRunKey } from "./ActiveRunTable.ts";
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
  /** Creates the order to start a run that is sent now; undefined if it is not to be started. */
  readonly createStart: (worker: string, order: RunOrder) => StartOrder | undefined;
  /** Called with a run whose start cannot be ordered, as its worker gets no lease now. */
  readonly onLeaseMissing: (worker: string, order: RunOrder) => void;
  /** Called with pace orders that failed or may not have been executed. */
  readonly onPacesUnconfirmed: (orders: readonly RunOrder[]) => void;
  /** Called with the results that an agent returned. */
  readonly onReport: (agent: string, worker: string, report: OrderReport) => void;
  /** Called when an agent follows a scheduler of a later epoch. */
  readonly onSuperseded: () => void;
}

interface OrderBatch {
  readonly worker: string;
  /** Runs to start, by name. */
  readonly starts: ReadonlyMap<string, RunOrder>;
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
   * Requests the start of a run, which is ordered with the next call if it is still to be started.
   * @param agent - Agent of the worker.
   * @param worker - Incarnation of the worker.
   * @param order - The run.
   */
  start(agent: string, worker: string, order: RunOrder): void {
    const key = formatRunKey(order.task, order.run);
    this._enqueue(agent, worker, (batch) => {
      return { ...batch, starts: new Map(batch.starts).set(key, order) };
    });
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
    this._batches.set(key, addOrder(known ?? { worker, starts: new Map(), stops: [], paces: [] }));
  }

  private async _flush(agent: string, key: string): Promise<void> {
    const batch = this._batches.get(key);
    this._batches.delete(key);
    if (batch === undefined || this._isClosed) {
      return;
    }
    const { workerTable, channel, epoch } = this._deps;
    const { worker, stops, paces } = batch;
    const leaseUntilMs = this._grantLease(agent, worker);
    const starts = this._createStarts(batch, leaseUntilMs !== undefined);
    const address = workerTable.getAgent(agent)?.record.address;
    if (address === undefined || starts.length + stops.length + paces.length === 0) {
      return;
    }
    const capacity = workerTable.getWorker(agent)?.report.capacity ?? NO_RESOURCES;
    const call = { epoch, worker, leaseUntilMs: leaseUntilMs ?? 0, capacity, starts, stops, paces };
    this._handleOutcome(agent, call, await channel.order(address, call));
  }

  private _grantLease(agent: string, worker: string): number | undefined {
    const { workerTable, grants } = this._deps;
    const isCurrent = workerTable.getWorker(agent)?.report.worker === worker;
    return isCurrent && grants.mayGrant(agent) ? workerTable.grantLease(agent) : undefined;
  }

  private _createStarts({ worker, starts }: OrderBatch, hasLease: boolean): readonly StartOrder[] {
    const { createStart, onLeaseMissing } = this._deps;
    return [...starts.values()].flatMap((order) => {
      if (hasLease) {
        return createStart(worker, order) ?? [];
      }
      onLeaseMissing(worker, order);
      return [];
    });
  }

  private _handleOutcome(
    agent: string,
    { worker, paces }: OrderCall,
    outcome: AgentOutcome<OrderReport>,
  ): void {
    if (this._isClosed) {
      return;
    }
    if (outcome.kind === "answered") {
      this._deps.onPacesUnconfirmed(
        outcome.value.paces.filter(({ failure }) => failure !== undefined),
      );
      this._deps.onReport(agent, worker, outcome.value);
    } else if (outcome.kind === "deposed") {
      this._deps.onSuperseded();
    } else {
      this._deps.onPacesUnconfirmed(paces);
      this._deps.log.warn(
        "Agent did not respond to orders; those that are still needed are sent again.",
        { agent, reason: outcome.detail },
      );
    }
  }
}
