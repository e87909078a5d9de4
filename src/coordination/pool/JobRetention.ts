/**
 * Removes jobs that have ended from the store, once nobody is owed an answer about them and no
 * submission of theirs that was held up on its way can still arrive.
 */
import type { Clock } from "../../protocol/platform/Clock.ts";
import type { Log } from "../../protocol/platform/Log.ts";
import type { Store, StoreFailure } from "../../protocol/platform/Store.ts";
import type { JobState } from "../../state/pool/JobState.ts";
import { formatJobKey, type JobKey } from "../../state/pool/PoolKeys.ts";
import type { PoolState } from "./PoolState.ts";

/** Time between two looks, in milliseconds. */
const SWEEP_INTERVAL_MS = 10_000;
/** Jobs removed in one look, so that the store's rates are left to the scheduling. */
const MAX_REMOVED_PER_SWEEP = 20;

/** What a retention needs. */
export interface JobRetentionDependencies {
  readonly pool: string;
  readonly store: Store;
  readonly clock: Clock;
  readonly log: Log;
  readonly state: PoolState;
  /** Time after its end for which a job is kept, in milliseconds. */
  readonly retentionMs: number;
  /** Called with each job that is gone. */
  readonly onRemoved: (job: string) => void;
}

/** Retention of one scheduler's jobs. */
export class JobRetention {
  private readonly _deps: JobRetentionDependencies;
  private readonly _endedAt = new Map<string, number>();
  private _nextSweepAt = 0;

  /**
   * Creates a retention.
   * @param deps - What it needs.
   */
  constructor(deps: JobRetentionDependencies) {
    this._deps = deps;
  }

  /** Removes what is due; most calls find that it is not time yet. */
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
      .forEach(({ id }) => void this._remove(id));
  }

  /** Removes the accepted job first: without its progress it would count as a new one. */
  private async _remove(job: string): Promise<void> {
    const { pool, state, onRemoved, log } = this._deps;
    const kinds: readonly JobKey["kind"][] = ["job", "cancel", "progress"];
    const failure = await kinds.reduce<Promise<StoreFailure | undefined>>(
      async (before, kind) => (await before) ?? this._removeKey({ kind, pool, job }),
      Promise.resolve(undefined),
    );
    if (failure !== undefined) {
      log.warn("A job that has ended cannot be removed yet.", { job, reason: failure.detail });
      return;
    }
    state.removeJob(job);
    this._endedAt.delete(job);
    onRemoved(job);
    log.info("A job that has ended is removed.", { job });
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
