/**
 * Times that the scheduling of a pool keeps, as the platform's bounds and this design give them.
 */

/** Share by which a worker's clock may be slow against others. */
export const MAX_CLOCK_DRIFT = 0.02;
/** Added to every wait for the end of a lease, for the worker's own delay, in milliseconds. */
export const LEASE_EXPIRY_MARGIN_MS = 300;

/** Times of a pool's scheduling, in milliseconds. */
export interface PoolTimings {
  /** Lease that a worker is given; at most what workers accept. */
  readonly workerLeaseMs: number;
  /** Time after its last confirmation in which a scheduler may extend leases. */
  readonly grantHorizonMs: number;
  /** Longest wait of an agent's answer for news; bounds the age of the worker's clock. */
  readonly observeWaitMs: number;
  /** The same where measures of tasks that may disturb each other are wanted. */
  readonly measureWaitMs: number;
  /** Time after which a call to an agent is given up. */
  readonly agentTimeoutMs: number;
  /** Least time between two transactions. */
  readonly commitIntervalMs: number;
  /** Time for which a job is kept after its end. */
  readonly retentionMs: number;
  /** Time to live of the scheduler's lease in the store. */
  readonly schedulerLeaseMs: number;
}

/**
 * Gives the time after which a lease has surely ended.
 * @param leaseMs - Lease on the worker's clock, in milliseconds.
 */
export function getLeaseExpiryWaitMs(leaseMs: number): number {
  return leaseMs * (1 + MAX_CLOCK_DRIFT) + LEASE_EXPIRY_MARGIN_MS;
}

/**
 * Gives the time after a takeover by which every lease of a former scheduler has surely ended: it
 * may have extended one until its horizon.
 * @param timings - Times of the pool.
 */
export function getTakeoverWaitMs(timings: PoolTimings): number {
  return timings.grantHorizonMs + getLeaseExpiryWaitMs(timings.workerLeaseMs);
}
