/**
 * Interface of an agent to its worker of a pool. The worker runs tasks under one lease that it
 * measures on its own clock, lists active and ended runs, and retains ended runs until they are
 * acknowledged. Calls carry a fencing token; the worker rejects one lower than the highest seen.
 */
import type { ResultAsync } from "neverthrow";
import type { Resources } from "../Resources.ts";

/** Announcement of a worker. */
export interface WorkerAnnouncement {
  readonly id: string;
  /** Start of this incarnation, in Unix milliseconds; a later incarnation may reuse the id. */
  readonly startedAtMs: number;
  readonly pool: string;
  readonly zone: string;
  readonly draining: boolean;
  /** Minimum time until a draining worker ends, in milliseconds; undefined for others. */
  readonly drainRemainingMs: number | undefined;
  readonly capacity: Resources;
  readonly labels: readonly string[];
  /** Rack of the worker's VM. */
  readonly rack: string;
  /** Increases with each announcement of one incarnation. */
  readonly sequence: number;
}

/** How a run ended. */
export type RunOutcome =
  /** It completed. */
  | "done"
  /** It failed, through a fault of the task or of the worker. */
  | "failed"
  /** It was stopped by a call. */
  | "stopped"
  /** The worker's lease expired. */
  | "lapsed"
  /** Another member of its gang ended, so that it was stopped. */
  | "broken"
  /** The other members of its gang did not start in time. */
  | "alone";

/** A run that has not ended. */
export interface RunningRun {
  readonly task: string;
  readonly run: number;
  /** Reference of the last checkpoint; empty where there is none. */
  readonly checkpoint: string;
  /** Progress, from 0 to 100. A long-running task is in full operation at 100. */
  readonly percent: number;
  /**
   * Approximate measurement: the tail latency of a serving task in milliseconds, or the processors
   * that another task uses.
   */
  readonly measure: number;
}

/** A run that has ended and is not acknowledged. */
export interface EndedRun {
  /** Sequence number among the ended runs, from 1 in each incarnation of the worker. */
  readonly number: number;
  readonly task: string;
  readonly run: number;
  readonly outcome: RunOutcome;
  readonly checkpoint: string;
}

/** Runs of a worker, with its clock when it responded. */
export interface WorkerRuns {
  readonly clockMs: number;
  /** Start of the incarnation that responded; undefined where the response lacks it. */
  readonly startedAtMs: number | undefined;
  readonly running: readonly RunningRun[];
  /** Ended runs in the order of their ends, beginning with the first one. */
  readonly ended: readonly EndedRun[];
  /** Whether further runs may have ended that are not listed; they are in neither list. */
  readonly mayLackEnds: boolean;
}

/** Call that extends the lease, acknowledges ended runs and lists the runs. */
export interface SyncCall {
  readonly worker: string;
  readonly fencingToken: number;
  /** Expiry of the lease on the worker's clock; undefined leaves the lease unchanged. */
  readonly leaseUntilMs: number | undefined;
  /** Ended runs up to this number are acknowledged, so that the worker may drop them. */
  readonly ackedEnd: number;
  /** Time that the response may be delayed until a run ends, in milliseconds. */
  readonly waitMs: number;
}

/** Call that starts a run. */
export interface StartCall {
  readonly worker: string;
  readonly fencingToken: number;
  readonly task: string;
  readonly run: number;
  readonly payload: string;
  /** Checkpoint to resume from; empty for none. */
  readonly checkpoint: string;
  readonly leaseUntilMs: number;
  /** Ticket of the step for this worker; empty where the worker requires none. */
  readonly ticket: string;
}

/** Call about one run. */
export interface RunCall {
  readonly worker: string;
  readonly fencingToken: number;
  readonly task: string;
  readonly run: number;
}

/** Why a call of a worker failed. */
export interface WorkerCallFailure {
  readonly kind:
    /** The worker has seen a higher fencing token. */
    | "fenced"
    /** This run or a later one of the task has ended or was stopped at the worker. */
    | "old-run"
    /** The lease in the call has expired. */
    | "late"
    /** The worker lacks free capacity. */
    | "no-room"
    /** The ticket is missing or no longer valid. */
    | "no-ticket"
    /** The worker is draining; it was not called. */
    | "draining"
    /** The worker is unhealthy and did nothing. */
    | "unhealthy"
    /** Another incarnation of the worker responded. */
    | "wrong-worker"
    /** The call is malformed. */
    | "rejected"
    /** It is unknown whether the call was executed or still will be. */
    | "unknown";
  readonly detail: string;
}

/** Interface to the worker of one agent. */
export abstract class PoolWorker {
  /**
   * Extends the lease, acknowledges ended runs and lists the runs.
   * @param call - The call.
   */
  abstract sync(call: SyncCall): ResultAsync<WorkerRuns, WorkerCallFailure>;

  /**
   * Starts a run; succeeds where the worker already runs it.
   * @param call - The call.
   */
  abstract start(call: StartCall): ResultAsync<void, WorkerCallFailure>;

  /**
   * Stops a run; one that has not started yet is rejected from then on.
   * @param call - The call.
   */
  abstract stop(call: RunCall): ResultAsync<void, WorkerCallFailure>;

  /**
   * Limits a run to a percentage of its full speed.
   * @param call - The run.
   * @param percent - Percentage of its full speed, from 0 to 100.
   */
  abstract pace(call: RunCall, percent: number): ResultAsync<void, WorkerCallFailure>;
}
