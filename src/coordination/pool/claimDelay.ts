/**
 * Delay with which an entry claims a pool without a scheduler, so that one that can bear the work of
 * a large pool claims it first. Where no entry can, all claim after the same delay.
 */

/** What an entry's VM gives its process. */
export interface EntryCapacity {
  /** Bandwidth of the link, in megabits per second. */
  readonly linkMbps: number;
  /** Processors that the process may use, in cores of ordinary speed. */
  readonly processors: number;
}

/**
 * Bandwidth from which an entry can schedule a large pool, in megabits per second: agents' reports,
 * recorded progress and start orders take up to about 10, several times as much after a takeover.
 */
const SUFFICIENT_LINK_MBPS = 50;
/**
 * Processors from which an entry can schedule a large pool, in cores. With less, the reports of some
 * hundred agents alone may take all of them, and renewals of leases wait behind them.
 */
const SUFFICIENT_PROCESSORS = 0.5;
/**
 * Delay of the claims of other entries, in milliseconds: longer than a sufficient one takes to notice
 * that a pool has no scheduler and to claim it.
 */
const INSUFFICIENT_CLAIM_DELAY_MS = 250;

/**
 * Returns the delay of an entry's claims, in milliseconds.
 * @param capacity - What its VM gives its process.
 */
export function getClaimDelayMs({ linkMbps, processors }: EntryCapacity): number {
  const isSufficient = linkMbps >= SUFFICIENT_LINK_MBPS && processors >= SUFFICIENT_PROCESSORS;
  return isSufficient ? 0 : INSUFFICIENT_CLAIM_DELAY_MS;
}
