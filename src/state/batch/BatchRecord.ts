/**
 * Records of a partition's log. A fact holds once its record is in the log; nobody is told of it
 * before.
 */
import type { JobSpec } from "../../protocol/jobs/JobSpec.ts";

/** How an attempt ended. A released attempt is followed by another one and is no failure. */
export type AttemptOutcome = "completed" | "failed" | "released";

/** A new owner has taken the partition over; holds the durations by which it grants leases. */
export interface EpochRecord {
  readonly type: "epoch";
  readonly owner: string;
  /** Longest lease of a task that the owner grants, in milliseconds. */
  readonly leaseMs: number;
  /** How long after its last confirmed store call the owner may still grant, in milliseconds. */
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

/** An attempt has ended and certainly does not run any more. */
export interface EndRecord {
  readonly type: "end";
  readonly task: string;
  readonly attempt: number;
  readonly outcome: AttemptOutcome;
  /** Checkpoint from which the next attempt starts; empty where there is none. */
  readonly checkpoint: string;
  readonly reason: string;
}

/** Jobs were cancelled. */
export interface CancelRecord {
  readonly type: "cancel";
  readonly jobs: readonly string[];
}

/** Finished jobs were dropped after their retention time. */
export interface DropRecord {
  readonly type: "drop";
  readonly jobs: readonly string[];
}

/** Any record. */
export type BatchRecord =
  EpochRecord | SubmitRecord | StartRecord | EndRecord | CancelRecord | DropRecord;

/** One value of the log: the records of one commit with the identity of their write. */
export interface LogValue {
  /** Place in the log, from 1. */
  readonly sequence: number;
  /** Epoch of the writer. */
  readonly epoch: number;
  /** Identity of the write; a lost answer is settled by comparing it. */
  readonly nonce: string;
  readonly records: readonly BatchRecord[];
}
