/**
 * What the scheduler of a pool and an agent tell each other. The scheduler calls; the transport
 * behind the channel is one adapter.
 */
import type {
  EndedRun,
  RunningRun,
  WorkerCallFailure,
} from "../../protocol/platform/PoolWorker.ts";
import type { Resources } from "../../protocol/Resources.ts";

/** Question for the state of a worker; it also extends the lease and acknowledges ends. */
export interface ObserveCall {
  readonly epoch: number;
  /** Incarnation of the worker that lease and acknowledgement are meant for; empty for none. */
  readonly worker: string;
  /** End of the lease on the worker's clock; undefined leaves it as it is. */
  readonly leaseUntilMs: number | undefined;
  /** Ends up to this number are recorded. */
  readonly ackedEnd: number;
  /** Version of the report that is known; 0 for none. */
  readonly knownVersion: number;
  readonly waitMs: number;
}

/** A worker as its agent reports it. */
export interface WorkerReport {
  /** Incarnation. */
  readonly worker: string;
  readonly pool: string;
  readonly zone: string;
  readonly rack: string;
  readonly draining: boolean;
  /** Least time until a draining worker ends, in milliseconds. */
  readonly drainRemainingMs: number;
  readonly capacity: Resources;
  readonly labels: readonly string[];
  /** Worker's clock as it made the lists. */
  readonly clockMs: number;
  /** Number of the agent's call that made the lists. */
  readonly callNumber: number;
  /** Whether the worker answers its agent. */
  readonly answers: boolean;
  readonly running: readonly RunningRun[];
  readonly ended: readonly EndedRun[];
}

/** State of an agent. */
export interface AgentReport {
  /** Identity of the agent's process. */
  readonly process: string;
  readonly version: number;
  /** The worker; undefined where none has announced itself. */
  readonly worker: WorkerReport | undefined;
}

/** Outcome of a call to an agent. */
export type AgentOutcome<T> =
  | { readonly kind: "answered"; readonly value: T }
  /** The agent has seen a later scheduler. */
  | { readonly kind: "deposed" }
  /** No answer; the call may have been carried out. */
  | { readonly kind: "unreachable"; readonly detail: string };

/** Order to start a run. */
export interface StartOrder {
  readonly task: string;
  readonly run: number;
  readonly payload: string;
  readonly checkpoint: string;
  readonly ticket: string;
}

/** Order that names a run. */
export interface RunOrder {
  readonly task: string;
  readonly run: number;
}

/** Order to let a run work at a share of its speed. */
export interface PaceOrder extends RunOrder {
  readonly percent: number;
}

/** Orders for one worker. */
export interface OrderCall {
  readonly epoch: number;
  /** Incarnation of the worker; any other one does nothing. */
  readonly worker: string;
  /** End of the lease that starts are given, on the worker's clock. */
  readonly leaseUntilMs: number;
  readonly starts: readonly StartOrder[];
  readonly stops: readonly RunOrder[];
  readonly paces: readonly PaceOrder[];
}

/** Result of an order; without a failure it was carried out. */
export interface RunResult extends RunOrder {
  readonly failure: WorkerCallFailure["kind"] | undefined;
}

/** Results of orders. */
export interface OrderReport {
  /** Lists made by a later call show what the orders did. */
  readonly callNumber: number;
  readonly starts: readonly RunResult[];
  readonly stops: readonly RunResult[];
  readonly paces: readonly RunResult[];
}

/** Way to the agents. */
export abstract class AgentChannel {
  /**
   * Asks an agent for its state.
   * @param address - Address of the agent.
   * @param call - The question.
   */
  abstract observe(address: string, call: ObserveCall): Promise<AgentOutcome<AgentReport>>;

  /**
   * Gives an agent orders.
   * @param address - Address of the agent.
   * @param call - The orders.
   */
  abstract order(address: string, call: OrderCall): Promise<AgentOutcome<OrderReport>>;

  /**
   * Drops the connections to an agent, so that the next call makes a new one.
   * @param address - Address of the agent.
   */
  abstract reset(address: string): void;
}
