/**
 * Records of a partition's log. A fact holds once its record is in the log, and is not communicated
 * before that.
 */
import type { JobSpec } from "../../protocol/jobs/JobSpec.ts";

/** How an attempt ended. "released" does not count as a failure; the task gets another attempt. */
export type AttemptOutcome = "completed" | "failed" | "released";

/** A new owner has taken the partition over; states the durations with which it grants leases. */
export interface EpochRecord {
  readonly type: "epoch";
  readonly owner: string;
  /** Maximum duration of a task lease that the owner grants, in milliseconds. */
  readonly leaseMs: number;
  /**
   * Time after its last confirmed store call in which the owner may grant leases, in milliseconds.
   */
  readonly horizonMs: number;
}

/** A job was submitted. */
export interface SubmitRecord {
  readonly type: "submit";
  readonly job: string;
  readonly spec: JobSpec;
}

/** An attempt of a task may run on a VM from now on. */
export interface StartRecord {
  readonly type: "start";
  readonly task: string;
  readonly attempt: number;
  readonly agent: string;
}

/** An attempt has ended and certainly no longer runs. */
export interface EndRecord {
  readonly type: "end";
  readonly task: string;
  readonly attempt: number;
  readonly outcome: AttemptOutcome;
  /** Checkpoint from which the next attempt starts; empty if there is none. */
  readonly checkpoint: string;
  readonly reason: string;
}

/** Jobs were cancelled. */
export interface CancelRecord {
  readonly type: "cancel";
  readonly jobs: readonly string[];
}

/** Finished jobs were removed after their retention time. */
export interface DropRecord {
  readonly type: "drop";
  readonly jobs: readonly string[];
}

/** A record of a partition's log. */
export type BatchRecord =
  EpochRecord | SubmitRecord | StartRecord | EndRecord | CancelRecord | DropRecord;

/** One value of the log: the records of one commit, with the identity of the write. */
export interface LogValue {
  /** Sequence number in the log, from 1. */
  readonly sequence: number;
  /** Epoch of the writer. */
  readonly epoch: number;
  /** Identity of the write; compared to determine the outcome if the response to it was lost. */
  readonly nonce: string;
  readonly records: readonly BatchRecord[];
}
