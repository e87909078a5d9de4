/**
 * What the scheduler of a pool is made with.
 */
import type { Clock } from "../../protocol/platform/Clock.ts";
import type { Log } from "../../protocol/platform/Log.ts";
import type { Store } from "../../protocol/platform/Store.ts";
import type { JobPhase, PairInterference, ProgressRecord } from "../../state/pool/records.ts";
import type { AgentChannel } from "./AgentChannel.ts";
import type { ConfirmationGuard } from "./ConfirmationGuard.ts";
import type { PoolTimings } from "./PoolTimings.ts";

/** What a scheduler needs. */
export interface PoolSchedulerDependencies {
  readonly pool: string;
  readonly epoch: number;
  readonly store: Store;
  readonly clock: Clock;
  readonly log: Log;
  readonly timings: PoolTimings;
  readonly channel: AgentChannel;
  readonly confirmationGuard: ConfirmationGuard;
  /** Gives the time of day in Unix milliseconds. */
  readonly getTimeOfDay: () => number;
  /** What a former scheduler has learnt of the pool's images. */
  readonly priors: readonly PairInterference[];
  /** When the store last confirmed the election, on the monotonic clock. */
  readonly getConfirmedAt: () => number;
  /** Called with progress that was recorded. */
  readonly onRecorded: (job: string, phase: JobPhase, revision: number) => void;
  /** Called where another scheduler, or none, is named. */
  readonly onSuperseded: () => void;
}

/** Progress of a job as it was read after the election. */
export interface StoredProgress {
  readonly record: ProgressRecord;
  readonly revision: number;
}
