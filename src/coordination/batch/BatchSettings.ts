/**
 * Settings of batch work, the same on every entry.
 */

/** Settings of batch work. */
export interface BatchSettings {
  /** Number of partitions; must never change while the store holds jobs. */
  readonly partitions: number;
  /** Longest time that a record waits for its commit, in milliseconds. */
  readonly commitIntervalMs: number;
  /** Lease of a task, in milliseconds. */
  readonly taskLeaseMs: number;
  /** How long an owner may grant after its last confirmed store call, in milliseconds. */
  readonly takeoverHorizonMs: number;
  /** Lease of an entry in the store, in milliseconds. */
  readonly ownerLeaseMs: number;
  /** Largest deviation of any clock's rate from real time, in parts per million. */
  readonly clockDriftPpm: number;
  /** Time between two rounds of placement, in milliseconds. */
  readonly placementIntervalMs: number;
  /** How long a finished job can be looked up, in milliseconds. */
  readonly retentionMs: number;
}

/** Settings that are used where none are given. */
export const DEFAULT_BATCH_SETTINGS: BatchSettings = {
  partitions: 64,
  commitIntervalMs: 250,
  taskLeaseMs: 15_000,
  takeoverHorizonMs: 30_000,
  ownerLeaseMs: 5_000,
  clockDriftPpm: 1_000,
  placementIntervalMs: 200,
  retentionMs: 3_600_000,
};
