/**
 * A worker of a pool as its agent sees it: it runs tasks under one lease that is counted on its own
 * clock, lists what runs and what has ended, and keeps each end until it is acknowledged. Orders
 * carry a fencing token; the worker does nothing for one lower than the highest it has seen.
 */
import type { ResultAsync } from "neverthrow";
import type { Resources } from "../Resources.ts";

/** A worker as it announces itself. */
export interface WorkerAnnouncement {
  readonly id: string;
  /** Start of this incarnation, in Unix milliseconds; an id may be used again with a later one. */
  readonly startedAtMs: number;
  readonly pool: string;
  readonly zone: string;
  readonly draining: boolean;
  /** Least time until a draining worker ends, in milliseconds; undefined for others. */
  readonly drainRemainingMs: number | undefined;
  readonly capacity: Resources;
  readonly labels: readonly string[];
  /** Rack of its VM. */
  readonly rack: string;
  /** Rises with each announcement of one incarnation. */
  readonly sequence: number;
}

/** How a run ended. */
export type RunOutcome =
  /** Its work is done. */
  | "done"
  /** It failed, by its own fault or the worker's. */
  | "failed"
  /** It was told to stop. */
  | "stopped"
  /** The worker's lease ended. */
  | "lapsed"
  /** Another member of its gang ended. */
  | "broken"
  /** It waited in vain for the other members of its gang. */
  | "alone";

/** A run that the worker has not ended. */
export interface RunningRun {
  readonly task: string;
  readonly run: number;
  /** Last checkpoint; empty where there is none. */
  readonly checkpoint: string;
  /** Progress, from 0 to 100. A long-running task is at work at 100. */
  readonly percent: number;
  /** Tail latency in milliseconds of a serving task, processors in use of another; rough. */
  readonly measure: number;
}

/** A run that has ended, until it is acknowledged. */
export interface EndedRun {
  /** Number of the end; counts from 1 in each incarnation of the worker. */
  readonly number: number;
  readonly task: string;
  readonly run: number;
  readonly outcome: RunOutcome;
  readonly checkpoint: string;
}

/** What the worker lists, and its clock as it answered. */
export interface WorkerRuns {
  readonly clockMs: number;
  /** Start of the incarnation that answered; undefined where it does not say. */
  readonly startedAtMs: number | undefined;
  readonly running: readonly RunningRun[];
  readonly ended: readonly EndedRun[];
}

/** Call that extends the lease, acknowledges ends and lists the runs. */
export interface SyncCall {
  readonly worker: string;
  readonly fencingToken: number;
  /** End of the lease on the worker's clock; undefined leaves it as it is. */
  readonly leaseUntilMs: number | undefined;
  /** Ends up to this number may be forgotten. */
  readonly ackedEnd: number;
  /** How long the answer may wait for an end, in milliseconds. */
  readonly waitMs: number;
}

/** Call that starts a run. */
export interface StartCall {
  readonly worker: string;
  readonly fencingToken: number;
  readonly task: string;
  readonly run: number;
  readonly payload: string;
  /** Checkpoint to go on from; empty for none. */
  readonly checkpoint: string;
  readonly leaseUntilMs: number;
  /** Ticket of the step for this worker; empty where none is needed. */
  readonly ticket: string;
}

/** Call that names a run. */
export interface RunCall {
  readonly worker: string;
  readonly fencingToken: number;
  readonly task: string;
  readonly run: number;
}

/** Why a worker refused a start or could not be asked. */
export interface WorkerCallFailure {
  readonly kind:
    /** A higher fencing token was seen. */
    | "fenced"
    /** The run, or a later one, has ended or was stopped there. */
    | "old-run"
    /** The lease that the call brought has ended. */
    | "late"
    /** There is no room. */
    | "no-room"
    /** The ticket is missing or no longer valid. */
    | "no-ticket"
    /** The worker is leaving; it was not asked. */
    | "draining"
    /** The worker is unhealthy and has done nothing. */
    | "unhealthy"
    /** Another incarnation answered. */
    | "wrong-worker"
    /** The call is malformed. */
    | "rejected"
    /** Nobody knows whether the call was carried out, or will be. */
    | "unknown";
  readonly detail: string;
}

/** The worker of one agent. */
export abstract class PoolWorker {
  /**
   * Extends the lease, acknowledges ends and lists the runs.
   * @param call - The call.
   */
  abstract sync(call: SyncCall): ResultAsync<WorkerRuns, WorkerCallFailure>;

  /**
   * Starts a run; one that is there already counts as started.
   * @param call - The call.
   */
  abstract start(call: StartCall): ResultAsync<void, WorkerCallFailure>;

  /**
   * Stops a run; one that is not there yet will be refused from then on.
   * @param call - The call.
   */
  abstract stop(call: RunCall): ResultAsync<void, WorkerCallFailure>;

  /**
   * Lets a run work at a share of its speed.
   * @param call - The run.
   * @param percent - The share, from 0 to 100.
   */
  abstract pace(call: RunCall, percent: number): ResultAsync<void, WorkerCallFailure>;
}
