/**
 * Dependencies of SchedulerElection.
 */
import type { Clock } from "../../protocol/platform/Clock.ts";
import type { Log } from "../../protocol/platform/Log.ts";
import type { RandomSource } from "../../protocol/platform/RandomSource.ts";
import type { Store } from "../../protocol/platform/Store.ts";
import type { SchedulerRecord } from "../../state/pool/records.ts";

/** Dependencies of SchedulerElection. */
export interface SchedulerElectionDependencies {
  readonly store: Store;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: Log;
  readonly pool: string;
  readonly identity: SchedulerRecord;
  /** Time to live of the lease, in milliseconds. */
  readonly leaseMs: number;
  /** Delay of claims, in milliseconds, so that entries that can schedule better claim first. */
  readonly claimDelayMs: number;
  /**
   * Whether this entry could schedule the pool now, since its copy of the pool's state is complete;
   * it claims the pool only then.
   */
  readonly isEligible: () => boolean;
  /** Called when this entry is elected; the epoch is the revision of the key. */
  readonly onElected: (epoch: number) => void;
  /** Called when this entry is no longer the scheduler. */
  readonly onSuperseded: () => void;
}
