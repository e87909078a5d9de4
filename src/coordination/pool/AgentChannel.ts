/**
 * Calls between the scheduler of a pool and the agents of its workers, with their messages. The
 * scheduler is the caller; each transport implements the channel in an adapter.
 */
import type {
  EndedRun,
  RunningRun,
  WorkerCallFailure,
} from "../../protocol/platform/PoolWorker.ts";
import type { Resources } from "../../protocol/Resources.ts";

/**
 * Request for the state of a worker; it also extends the worker's lease and acknowledges ended
 * runs.
 */
export interface ObserveCall {
  readonly epoch: number;
  /** Incarnation of the worker to which the lease and the acknowledgement apply; empty for none. */
  readonly worker: string;
  /** End of the lease on the worker's clock; undefined leaves the lease unchanged. */
  readonly leaseUntilMs: number | undefined;
  /** Ended runs up to this number have been recorded in the store. */
  readonly ackedEnd: number;
  /** Version of the last report received; 0 for none. */
  readonly knownVersion: number;
  /** Identity of the process that sent the last report; empty for none. */
  readonly knownProcess: string;
  readonly waitMs: number;
}

/** A worker as its agent reports it. */
export interface WorkerReport {
  /** Incarnation of the worker. */
  readonly worker: string;
  /**
   * Whether the worker itself has confirmed that it is this incarnation; agents of a former version
   * report what was announced last.
   */
  readonly isConfirmed: boolean;
  readonly pool: string;
  readonly zone: string;
  readonly rack: string;
  readonly draining: boolean;
  /** Minimum time until a draining worker exits, in milliseconds. */
  readonly drainRemainingMs: number;
  readonly capacity: Resources;
  readonly labels: readonly string[];
  /** Worker's clock when it created the lists of runs, in milliseconds. */
  readonly clockMs: number;
  /**
   * Time since the agent received the last reading of the worker's clock, in milliseconds; 0 if it
   * has received none. No lease of any scheduler is counted from a later reading.
   */
  readonly readingAgeMs: number;
  /** Number of the agent's call that returned the lists. */
  readonly callNumber: number;
  /** Whether the worker responds to its agent. */
  readonly answers: boolean;
  readonly running: readonly RunningRun[];
  /** Ended runs that the worker has listed, also while it does not respond. */
  readonly ended: readonly EndedRun[];
  /** Whether further runs may have ended that are not listed; they are in neither list. */
  readonly mayLackEnds: boolean;
}

/** State of an agent and its worker. */
export interface AgentReport {
  /** Identity of the agent's process. */
  readonly process: string;
  readonly version: number;
  /** The worker; undefined if none has confirmed its announcement. */
  readonly worker: WorkerReport | undefined;
  /**
   * Ends that former incarnations of the worker had listed, as far as the report that the scheduler
   * knows lacks them. They may have been recorded before, and no acknowledgement of them is due.
   */
  readonly formerEnds: readonly FormerEnds[];
  /**
   * Crashes of former incarnations, as far as the report that the scheduler knows lacks them. They
   * may have been handled before.
   */
  readonly crashes: readonly WorkerCrash[];
}

/** Crash of an incarnation of a worker. */
export interface WorkerCrash {
  /** The incarnation. */
  readonly worker: string;
  /** Runs that were on it. */
  readonly runs: readonly CrashedRun[];
}

/** A run that was on a worker when it crashed. */
export interface CrashedRun extends RunOrder {
  /** Time from its start order to the crash, in milliseconds. */
  readonly elapsedMs: number;
}

/** Ended runs of a former incarnation of a worker. */
export interface FormerEnds {
  /** The incarnation. */
  readonly worker: string;
  readonly ended: readonly EndedRun[];
}

/** Outcome of a call to an agent. */
export type AgentOutcome<T> =
  | { readonly kind: "answered"; readonly value: T }
  /** The agent has seen a scheduler of a later epoch. */
  | { readonly kind: "deposed" }
  /** No response of the agent's present process; the call may have been executed. */
  | { readonly kind: "unreachable"; readonly detail: string };

/** Order to start a run. */
export interface StartOrder {
  readonly task: string;
  readonly run: number;
  readonly payload: string;
  readonly checkpoint: string;
  readonly ticket: string;
}

/** Order that concerns one run. */
export interface RunOrder {
  readonly task: string;
  readonly run: number;
}

/** Order to limit a run to a percentage of its full speed. */
export interface PaceOrder extends RunOrder {
  readonly percent: number;
}

/** Orders for one worker. */
export interface OrderCall {
  readonly epoch: number;
  /** Incarnation of the worker; no other incarnation executes the orders. */
  readonly worker: string;
  /** End of the lease under which runs are started, on the worker's clock. */
  readonly leaseUntilMs: number;
  /** Capacity on which the starts rely; none is executed if the worker has announced less. */
  readonly capacity: Resources;
  readonly starts: readonly StartOrder[];
  readonly stops: readonly RunOrder[];
  readonly paces: readonly PaceOrder[];
}

/** Why an order failed. */
export type OrderFailure =
  | Exclude<WorkerCallFailure["kind"], "fenced">
  /** The agent follows a scheduler of a later epoch; the worker was not called. */
  | "superseded";

/** Result of an order; without a failure, the order was executed. */
export interface RunResult extends RunOrder {
  readonly failure: OrderFailure | undefined;
}

/** Results of orders. */
export interface OrderReport {
  /** Process of the agent that executed them; empty for an agent of a former version. */
  readonly process: string;
  /** Lists returned by a later call of this process reflect the orders. */
  readonly callNumber: number;
  readonly starts: readonly RunResult[];
  readonly stops: readonly RunResult[];
  readonly paces: readonly RunResult[];
}

/** Calls to agents. */
export abstract class AgentChannel {
  /**
   * Requests the state of an agent.
   * @param address - Address of the agent.
   * @param call - The request.
   */
  abstract observe(address: string, call: ObserveCall): Promise<AgentOutcome<AgentReport>>;

  /**
   * Sends orders to an agent.
   * @param address - Address of the agent.
   * @param call - The orders.
   */
  abstract order(address: string, call: OrderCall): Promise<AgentOutcome<OrderReport>>;

  /**
   * Closes the connections to an agent, so that the next call opens a new one.
   * @param address - Address of the agent.
   */
  abstract reset(address: string): void;
}
