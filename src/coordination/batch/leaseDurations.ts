/**
 * Computes task lease durations: for how long an owner may grant leases, and how long it must wait
 * before it may assume that a task no longer runs. Only durations on monotonic clocks are compared;
 * each clock may run faster or slower than real time by up to the configured drift.
 */
import type { BatchSettings } from "./BatchSettings.ts";

const PPM = 1_000_000;

/** Lease durations of a previous owner. */
export interface LeaseDurations {
  readonly leaseMs: number;
  readonly horizonMs: number;
}

/**
 * Gets the time to wait on this clock until a duration has certainly passed on another clock.
 * @param durationMs - Duration on the other clock, in milliseconds.
 * @param driftPpm - Maximum deviation of either clock's rate, in parts per million.
 */
export function getDriftSafeWaitMs(durationMs: number, driftPpm: number): number {
  return (durationMs * (PPM + driftPpm)) / (PPM - driftPpm);
}

/**
 * Gets the time after the last grant at which a task's lease has certainly expired.
 * @param cfg - Batch settings.
 */
export function getLeaseExpiryWaitMs(cfg: BatchSettings): number {
  return getDriftSafeWaitMs(cfg.taskLeaseMs, cfg.clockDriftPpm);
}

/**
 * Gets the time after its takeover at which a new owner can be certain that the leases of all
 * previous owners have expired. A previous owner may have granted a lease right up to its horizon.
 * @param cfg - Batch settings.
 * @param previous - Lease durations of the previous owners, as recorded in the log.
 */
export function getTakeoverWaitMs(cfg: BatchSettings, previous: readonly LeaseDurations[]): number {
  const longest = previous
    .map((durations) => durations.horizonMs + durations.leaseMs)
    .reduce((a, b) => Math.max(a, b), cfg.takeoverHorizonMs + cfg.taskLeaseMs);
  return getDriftSafeWaitMs(longest, cfg.clockDriftPpm);
}
