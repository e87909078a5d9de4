/**
 * Dependencies of the scheduler of a pool.
 */
import type { Clock } from "../../protocol/platform/Clock.ts";
import type { Log } from "../../protocol/platform/Log.ts";
import type { Store } from "../../protocol/platform/Store.ts";
import type { PairInterference, ProgressRecord } from "../../state/pool/records.ts";
import type { AgentChannel } from "./AgentChannel.ts";
import type { ConfirmationGuard } from "./ConfirmationGuard.ts";
import type { KnownLeaseEnds } from "./readLeaseEnds.ts";
import type { PoolTimings } from "./PoolTimings.ts";

/** Dependencies of PoolScheduler. */
export interface PoolSchedulerDependencies {
  readonly pool: string;
  readonly epoch: number;
  readonly store: Store;
  readonly clock: Clock;
  readonly log: Log;
  readonly timings: PoolTimings;
  readonly channel: AgentChannel;
  readonly confirmationGuard: ConfirmationGuard;
  /** Gets the time of day in Unix milliseconds. */
  readonly getTimeOfDay: () => number;
  /** Interference between the pool's images as a former scheduler has estimated it. */
  readonly priors: readonly PairInterference[];
  /** Ends of leases that former schedulers have recorded. */
  readonly leaseEnds: KnownLeaseEnds;
  /** Gets when the store last confirmed the election, on the monotonic clock, in milliseconds. */
  readonly getConfirmedAt: () => number;
  /**
   * Gets since when accepted jobs and cancellations may be missing, on the monotonic clock, in
   * milliseconds; undefined if they are complete.
   */
  readonly getIntakeBehindSince: () => number | undefined;
  /** Called with recorded progress. */
  readonly onRecorded: (job: string, progress: ProgressRecord, revision: number) => void;
  /** Called when this scheduler cannot do its work, so that another entry should be elected. */
  readonly onUnable: (reason: string) => void;
  /** Called when the store contradicts the known jobs, so that they must be listed anew. */
  readonly onJobsOutdated: () => void;
  /** Called when this scheduler is no longer the elected one. */
  readonly onSuperseded: () => void;
}
