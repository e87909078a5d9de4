/**
 * Removes ended jobs from the store after a retention time, when no submitter is waiting for a
 * response about them any more and no delayed submission of them can still arrive.
 */
import type { Clock } from "../../protocol/platform/Clock.ts";
import type { Log } from "../../protocol/platform/Log.ts";
import type { Store, StoreFailure } from "../../protocol/platform/Store.ts";
import type { JobState } from "../../state/pool/JobState.ts";
import { formatJobKey, getQueueDigests, type JobKey } from "../../state/pool/PoolKeys.ts";
import type { PoolState } from "./PoolState.ts";

/** Time between two sweeps, in milliseconds. */
const SWEEP_INTERVAL_MS = 10_000;
/**
 * Maximum number of jobs removed in one sweep, so that the store's rate limits remain available for
 * scheduling.
 */
const MAX_REMOVED_PER_SWEEP = 20;

/** Dependencies of JobRetention. */
export interface JobRetentionDependencies {
  readonly pool: string;
  readonly store: Store;
  readonly clock: Clock;
  readonly log: Log;
  readonly state: PoolState;
  /** Time for which an ended job is retained, in milliseconds. */
  readonly retentionMs: number;
  /** Called with each job that was removed. */
  readonly onRemoved: (job: string) => void;
}

/** Removes the ended jobs of one scheduler. */
export class JobRetention {
  private readonly _deps: JobRetentionDependencies;
  private readonly _endedAt = new Map<string, number>();
  private _nextSweepAt = 0;

  /**
   * Creates the retention of a scheduler's jobs.
   * @param deps - Dependencies.
   */
  constructor(deps: JobRetentionDependencies) {
    this._deps = deps;
  }

  /** Removes the jobs whose retention time has passed; does nothing until the next sweep is due. */
  sweepIfDue(): void {
    const { clock, state, retentionMs } = this._deps;
    const now = clock.now();
    if (now < this._nextSweepAt) {
      return;
    }
    this._nextSweepAt = now + SWEEP_INTERVAL_MS;
    const ended = state.jobs.filter((job) => job.isEnded && !hasRuns(job));
    ended.forEach(({ id }) => this._endedAt.set(id, this._endedAt.get(id) ?? now));
    ended
      .filter(({ id }) => now - (this._endedAt.get(id) ?? now) >= retentionMs)
      .slice(0, MAX_REMOVED_PER_SWEEP)
      .forEach((job) => void this._remove(job));
  }

  /**
   * Removes the keys of a job, that of the accepted job first: an accepted job without progress
   * would be scheduled as a new one.
   */
  private async _remove({ id: job, record }: JobState): Promise<void> {
    const { pool, state, onRemoved, log } = this._deps;
    const keys: readonly JobKey[] = [
      { kind: "job", pool, job },
      { kind: "cancel", pool, job },
      ...getQueueDigests(record).map((queueDigest): JobKey => {
        return { kind: "cancel", pool, job, queueDigest };
      }),
      { kind: "progress", pool, job },
    ];
    const failure = await keys.reduce<Promise<StoreFailure | undefined>>(
      async (before, key) => (await before) ?? this._removeKey(key),
      Promise.resolve(undefined),
    );
    if (failure !== undefined) {
      log.warn("Ended job could not be removed from the store; the next sweep retries it.", {
        job,
        reason: failure.detail,
      });
      return;
    }
    state.removeJob(job);
    this._endedAt.delete(job);
    onRemoved(job);
    log.info("Ended job was removed from the store.", { job });
  }

  private async _removeKey(key: JobKey): Promise<StoreFailure | undefined> {
    const { store } = this._deps;
    const name = formatJobKey(key);
    const read = await store.read(name);
    if (read.isErr()) {
      return read.error;
    }
    if (read.value === undefined) {
      return undefined;
    }
    const removed = await store.remove(name, read.value.revision);
    return removed.isErr() ? removed.error : undefined;
  }
}

function hasRuns(job: JobState): boolean {
  return [...job.tasks].some((task) => task.activeRuns.length > 0);
}
