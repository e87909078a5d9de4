/**
 * Values stored under the snapshot keys of a partition.
 */
import type { OwnerEpoch, JobSnapshot } from "./PartitionLedger.ts";

/** Head of a partition: refers to its newest snapshot. */
export interface SnapshotHead {
  /** Sequence number of the last log value that the snapshot contains. */
  readonly sequence: number;
  /** Id of the snapshot; starts with the epoch of its writer. */
  readonly snapshot: string;
  readonly chunks: number;
  readonly epochs: readonly OwnerEpoch[];
}

/** One chunk of a snapshot. */
export interface SnapshotChunk {
  readonly images: readonly JobSnapshot[];
}

/** Head of a partition without a snapshot. */
export const EMPTY_HEAD: SnapshotHead = { sequence: 0, snapshot: "", chunks: 0, epochs: [] };
