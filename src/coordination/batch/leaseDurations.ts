/**
 * Arithmetic of task leases: how long an owner may grant and how long it must wait before it may
 * take a task as not running. Only durations on monotonic clocks count; each clock may run faster
 * or slower than real time by the stated drift.
 */
import type { BatchSettings } from "./BatchSettings.ts";

const PPM = 1_000_000;

/** Durations of a former owner. */
export interface LeaseDurations {
  readonly leaseMs: number;
  readonly horizonMs: number;
}

/**
 * Gives the time to wait on this clock until a duration has surely passed on another one.
 * @param durationMs - Duration on the other clock, in milliseconds.
 * @param driftPpm - Largest deviation of either clock, in parts per million.
 */
export function getDriftSafeWaitMs(durationMs: number, driftPpm: number): number {
  return (durationMs * (PPM + driftPpm)) / (PPM - driftPpm);
}

/**
 * Gives the time after its last grant at which a task's lease has surely lapsed.
 * @param cfg - Settings of batch work.
 */
export function getLeaseExpiryWaitMs(cfg: BatchSettings): number {
  return getDriftSafeWaitMs(cfg.taskLeaseMs, cfg.clockDriftPpm);
}

/**
 * Gives the time after its takeover at which a new owner may be sure that no lease of any former
 * owner holds: each may have granted until its horizon, for one lease.
 * @param cfg - Settings of batch work.
 * @param former - Durations of the former owners, as the log holds them.
 */
export function getTakeoverWaitMs(cfg: BatchSettings, former: readonly LeaseDurations[]): number {
  const longest = former
    .map((terms) => terms.horizonMs + terms.leaseMs)
    .reduce((a, b) => Math.max(a, b), cfg.takeoverHorizonMs + cfg.taskLeaseMs);
  return getDriftSafeWaitMs(longest, cfg.clockDriftPpm);
}
