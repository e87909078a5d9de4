/**
 * Settings of batch scheduling. They must be the same on every entry.
 */

/** Settings of batch scheduling. */
export interface BatchSettings {
  /** Number of partitions; must not change while the store holds jobs. */
  readonly partitions: number;
  /** Maximum time that a record waits for its commit, in milliseconds. */
  readonly commitIntervalMs: number;
  /** Duration of a task lease, in milliseconds. */
  readonly taskLeaseMs: number;
  /**
   * Time after its last confirmed store call in which an owner may grant leases, in milliseconds.
   */
  readonly takeoverHorizonMs: number;
  /** Duration of an entry's lease in the store, in milliseconds. */
  readonly ownerLeaseMs: number;
  /** Maximum deviation of any clock's rate from real time, in parts per million. */
  readonly clockDriftPpm: number;
  /** Interval between scheduling cycles, in milliseconds. */
  readonly placementIntervalMs: number;
  /** Time for which a finished job can be looked up, in milliseconds. */
  readonly retentionMs: number;
}

/** Default settings. */
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
