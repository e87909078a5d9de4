/**
 * Timings of the scheduling of a pool, which follow from the platform's limits and from this
 * design.
 */

/** Maximum fraction by which a worker's clock may run slower than other clocks. */
export const MAX_CLOCK_DRIFT = 0.02;
/**
 * Margin added to every wait for the expiry of a lease, in milliseconds. It covers the time that
 * the worker itself takes to act on the expiry.
 */
export const LEASE_EXPIRY_MARGIN_MS = 300;

/** Timings of a pool's scheduling, in milliseconds. */
export interface PoolTimings {
  /** Length of the lease that a worker is granted; at most what workers accept. */
  readonly workerLeaseMs: number;
  /**
   * Time after the last confirmation of its election during which a scheduler may extend leases.
   */
  readonly grantHorizonMs: number;
  /**
   * Maximum time for which an agent's response waits for a changed report; bounds the age of the
   * worker's clock reading in a report.
   */
  readonly observeWaitMs: number;
  /**
   * The same for workers on which tasks may disturb each other, whose measurements are needed
   * sooner.
   */
  readonly measureWaitMs: number;
  /** Timeout of a call to an agent. */
  readonly agentTimeoutMs: number;
  /** Minimum time between two transactions. */
  readonly commitIntervalMs: number;
  /** Time for which a job is retained after its end. */
  readonly retentionMs: number;
  /** Time to live of the scheduler's lease in the store. */
  readonly schedulerLeaseMs: number;
  /**
   * Delay of this entry's claims of a pool, so that entries that can schedule it better claim first.
   */
  readonly claimDelayMs: number;
}

/**
 * Gets the time after which a lease has certainly expired, in milliseconds.
 * @param leaseMs - Lease on the worker's clock, in milliseconds.
 */
export function getLeaseExpiryWaitMs(leaseMs: number): number {
  return leaseMs * (1 + MAX_CLOCK_DRIFT) + LEASE_EXPIRY_MARGIN_MS;
}

/**
 * Gets the time after a takeover by which every lease from a former scheduler has certainly
 * expired, in milliseconds. The former scheduler may have extended leases until the end of its
 * horizon.
 * @param timings - Timings of the pool.
 */
export function getTakeoverWaitMs(timings: PoolTimings): number {
  return timings.grantHorizonMs + getLeaseExpiryWaitMs(timings.workerLeaseMs);
}
