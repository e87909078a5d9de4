/**
 * The worker on a VM as the agent sees it: it runs tasks under leases that it enforces itself,
 * reports usage with a lag, and can checkpoint, throttle or stop a task. Each platform protocol is
 * one adapter below this class.
 */
import type { ResultAsync } from "neverthrow";
import type { Resources } from "../Resources.ts";

/** Phase of a task on a worker. */
export type WorkerTaskPhase = "running" | "stopped" | "completed" | "failed";

/** A task as the worker reports it; finished tasks stay listed until they are forgotten. */
export interface WorkerTask {
  readonly task: string;
  readonly attempt: number;
  readonly partition: number;
  readonly epoch: number;
  readonly ownerAddress: string;
  readonly phase: WorkerTaskPhase;
  readonly resources: Resources;
  /** Last usage reported; lags behind. */
  readonly used: Resources;
  /** Reference of the last checkpoint; empty where there is none. */
  readonly checkpoint: string;
  /** Share of the work done, from 0 to 1. */
  readonly progress: number;
  readonly throttlePercent: number;
  /** Why a task failed or stopped. */
  readonly reason: string;
  /** Lease left when the worker answered, in milliseconds. */
  readonly leaseLeftMs: number;
  readonly kind: string;
  readonly tenant: string;
}

/** What the worker reports of its VM. */
export interface WorkerReport {
  readonly vm: string;
  readonly capacity: Resources;
  /** Usage of the whole VM; lags behind. */
  readonly used: Resources;
  readonly heatLevel: number | undefined;
  readonly tasks: readonly WorkerTask[];
}

/** Order to start a task. */
export interface WorkerStart {
  readonly task: string;
  readonly attempt: number;
  readonly partition: number;
  readonly epoch: number;
  readonly ownerAddress: string;
  readonly resources: Resources;
  readonly command: string;
  readonly checkpoint: string;
  readonly leaseMs: number;
  readonly kind: string;
  readonly tenant: string;
}

/** Failure of a worker call. `mayHaveActed` is false only where the worker certainly did nothing. */
export interface WorkerFailure {
  readonly kind: "unavailable" | "refused" | "unknown-task";
  readonly mayHaveActed: boolean;
  readonly detail: string;
}

/** The worker of one VM. */
export abstract class Worker {
  /** Reads what the VM has and what runs there. */
  abstract report(): ResultAsync<WorkerReport, WorkerFailure>;

  /**
   * Starts a task; a worker that knows the same or a later attempt refuses.
   * @param start - The order.
   */
  abstract start(start: WorkerStart): ResultAsync<void, WorkerFailure>;

  /**
   * Extends the lease of a running task.
   * @param task - Id of the task.
   * @param attempt - Attempt that holds the lease.
   * @param leaseMs - Lease from now, in milliseconds.
   */
  abstract renew(task: string, attempt: number, leaseMs: number): ResultAsync<void, WorkerFailure>;

  /**
   * Takes a checkpoint of a running task and returns its reference.
   * @param task - Id of the task.
   * @param attempt - Attempt to checkpoint.
   */
  abstract checkpoint(task: string, attempt: number): ResultAsync<string, WorkerFailure>;

  /**
   * Limits the processors of a task.
   * @param task - Id of the task.
   * @param attempt - Attempt to limit.
   * @param percent - Share of its processors that the task may use.
   */
  abstract throttle(
    task: string,
    attempt: number,
    percent: number,
  ): ResultAsync<void, WorkerFailure>;

  /**
   * Stops a task and refuses later starts of this attempt; resolves once it does not run. The
   * answer is the task as it ended, undefined where the worker never had it.
   * @param task - Id of the task.
   * @param attempt - Attempt to stop.
   */
  abstract stop(task: string, attempt: number): ResultAsync<WorkerTask | undefined, WorkerFailure>;

  /**
   * Drops a finished task from the report.
   * @param task - Id of the task.
   * @param attempt - Attempt to drop.
   */
  abstract forget(task: string, attempt: number): ResultAsync<void, WorkerFailure>;
}
