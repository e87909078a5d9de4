/**
 * Values of the keys that hold a partition's snapshot.
 */
import type { OwnerEpoch, JobSnapshot } from "./PartitionLedger.ts";

/** Names the newest snapshot of a partition. */
export interface SnapshotHead {
  /** Sequence number of the last log value that the snapshot contains. */
  readonly sequence: number;
  /** Id of the snapshot; starts with the epoch of its writer. */
  readonly snapshot: string;
  readonly chunks: number;
  readonly epochs: readonly OwnerEpoch[];
}

/** One part of a snapshot. */
export interface SnapshotChunk {
  readonly images: readonly JobSnapshot[];
}

/** The head of a partition without a snapshot. */
export const EMPTY_HEAD: SnapshotHead = { sequence: 0, snapshot: "", chunks: 0, epochs: [] };
