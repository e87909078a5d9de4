/**
 * Interface of an agent to the worker on its VM. The worker runs tasks under leases that it
 * enforces itself, reports usage with a delay, and can checkpoint, throttle or stop a task. Each
 * platform protocol is implemented by a subclass.
 */
import type { ResultAsync } from "neverthrow";
import type { Resources } from "../Resources.ts";

/** Phase of a task on a worker. */
export type WorkerTaskPhase = "running" | "stopped" | "completed" | "failed";

/** A task in the worker's report; a finished task stays listed until `forget` is called. */
export interface WorkerTask {
  readonly task: string;
  readonly attempt: number;
  readonly partition: number;
  readonly epoch: number;
  readonly ownerAddress: string;
  readonly phase: WorkerTaskPhase;
  readonly resources: Resources;
  /** Last reported usage, which lags behind the actual usage. */
  readonly used: Resources;
  /** Reference of the last checkpoint; empty where there is none. */
  readonly checkpoint: string;
  /** Fraction of the work done, from 0 to 1. */
  readonly progress: number;
  readonly throttlePercent: number;
  /** Why a task failed or stopped. */
  readonly reason: string;
  /** Time left on the lease when the worker responded, in milliseconds. */
  readonly leaseLeftMs: number;
  readonly kind: string;
  readonly tenant: string;
}

/**
 * Lease under which a task runs; it ends at whichever of the two comes first. The time bounds a call
 * that is executed late, the duration one that reaches a restarted worker whose clock began anew.
 */
export interface WorkerLease {
  /** End of the lease on the worker's clock, in milliseconds. */
  readonly untilMs: number;
  /** Longest duration of the lease from when the call is executed, in milliseconds. */
  readonly maxDurationMs: number;
}

/**
 * Gets the end of a lease for a call that is executed now.
 * @param lease - The lease.
 * @param clockMs - The worker's clock, in milliseconds.
 */
export function getLeaseEnd(lease: WorkerLease, clockMs: number): number {
  return Math.min(lease.untilMs, clockMs + lease.maxDurationMs);
}

/** Report of the worker about its VM. */
export interface WorkerReport {
  readonly vm: string;
  /** Worker's monotonic clock when it made the report, in milliseconds. */
  readonly clockMs: number;
  readonly capacity: Resources;
  /** Usage of the whole VM, which lags behind the actual usage. */
  readonly used: Resources;
  readonly heatLevel: number | undefined;
  readonly tasks: readonly WorkerTask[];
}

/** Parameters of the start of a task. */
export interface WorkerStart {
  readonly task: string;
  readonly attempt: number;
  readonly partition: number;
  readonly epoch: number;
  readonly ownerAddress: string;
  readonly resources: Resources;
  readonly command: string;
  readonly checkpoint: string;
  readonly lease: WorkerLease;
  readonly kind: string;
  readonly tenant: string;
}

/** Failure of a worker call. `mayHaveActed` is false only if the worker certainly did nothing. */
export interface WorkerFailure {
  readonly kind: "unavailable" | "refused" | "unknown-task";
  readonly mayHaveActed: boolean;
  readonly detail: string;
}

/** Interface to the worker of one VM. */
export abstract class Worker {
  /** Reads the capacity and usage of the VM and the tasks on it. */
  abstract report(): ResultAsync<WorkerReport, WorkerFailure>;

  /**
   * Starts a task; a worker that knows this or a later attempt refuses it.
   * @param start - Parameters of the start.
   */
  abstract start(start: WorkerStart): ResultAsync<void, WorkerFailure>;

  /**
   * Extends the lease of a running task; a lease that ends earlier than the present one changes
   * nothing.
   * @param task - Id of the task.
   * @param attempt - Attempt that holds the lease.
   * @param lease - The new lease.
   */
  abstract renew(
    task: string,
    attempt: number,
    lease: WorkerLease,
  ): ResultAsync<void, WorkerFailure>;

  /**
   * Takes a checkpoint of a running task and returns its reference.
   * @param task - Id of the task.
   * @param attempt - Attempt to checkpoint.
   */
  abstract checkpoint(task: string, attempt: number): ResultAsync<string, WorkerFailure>;

  /**
   * Limits the processors that a task may use.
   * @param task - Id of the task.
   * @param attempt - Attempt to limit.
   * @param percent - Percentage of its processors that the task may use.
   */
  abstract throttle(
    task: string,
    attempt: number,
    percent: number,
  ): ResultAsync<void, WorkerFailure>;

  /**
   * Stops a task and makes the worker refuse later starts of this attempt; resolves once the task
   * no longer runs, to the ended task or to undefined if the worker never had it.
   * @param task - Id of the task.
   * @param attempt - Attempt to stop.
   */
  abstract stop(task: string, attempt: number): ResultAsync<WorkerTask | undefined, WorkerFailure>;

  /**
   * Removes a finished task from the report.
   * @param task - Id of the task.
   * @param attempt - Attempt to remove.
   */
  abstract forget(task: string, attempt: number): ResultAsync<void, WorkerFailure>;
}
