/**
 * Reads the state of a pool from the store for an entry that has been elected its scheduler: accepted
 * jobs, their progress, and the interference estimates.
 */
import type { Result } from "neverthrow";
import type { Clock } from "../../protocol/platform/Clock.ts";
import type { Log } from "../../protocol/platform/Log.ts";
import type {
  Store,
  StoreEntry,
  StoreFailure,
  StoreListing,
} from "../../protocol/platform/Store.ts";
import {
  getInterferenceKey,
  INTAKE_PREFIX,
  parseJobKey,
  PROGRESS_PREFIX,
} from "../../state/pool/PoolKeys.ts";
import {
  parseInterferenceRecord,
  parseProgressRecord,
  type PairInterference,
} from "../../state/pool/records.ts";
import type { StoredProgress } from "./PoolSchedulerDependencies.ts";

/** Delay before a failed read of a pool's state is retried, in milliseconds. */
const RETRY_MS = 150;

/** State of a pool as read from the store after an election. */
export interface PoolSnapshot {
  readonly intake: StoreListing;
  readonly progress: ReadonlyMap<string, StoredProgress>;
  readonly interference: readonly PairInterference[];
}

/** Dependencies of PoolSnapshotReader. */
export interface PoolSnapshotReaderDependencies {
  readonly store: Store;
  readonly clock: Clock;
  readonly log: Log;
}

/** Reads the state of pools. */
export class PoolSnapshotReader {
  private readonly _deps: PoolSnapshotReaderDependencies;

  /**
   * Creates a reader.
   * @param deps - Dependencies.
   */
  constructor(deps: PoolSnapshotReaderDependencies) {
    this._deps = deps;
  }

  /**
   * Reads the state of a pool, and repeats the read until it succeeds or is no longer wanted.
   * @param pool - Name of the pool.
   * @param epoch - Epoch of the election, for the log.
   * @param isWanted - Returns whether the state is still wanted.
   */
  async read(
    pool: string,
    epoch: number,
    isWanted: () => boolean,
  ): Promise<PoolSnapshot | undefined> {
    const { store, clock, log } = this._deps;
    while (isWanted()) {
      const startedAt = clock.now();
      const [intake, progress, storedInterference] = await Promise.all([
        store.list(`${INTAKE_PREFIX}${pool}/`),
        store.list(`${PROGRESS_PREFIX}${pool}/`),
        store.read(getInterferenceKey(pool)),
      ]);
      if (intake.isOk() && progress.isOk()) {
        return {
          intake: intake.value,
          progress: this._parseProgress(progress.value),
          interference: this._parseInterference(storedInterference.unwrapOr(undefined)),
        };
      }
      log.warn("The state of a pool could not be read; the read is retried.", {
        pool,
        epoch,
        elapsedMs: Math.round(clock.now() - startedAt),
        jobs: describeListing(intake),
        progress: describeListing(progress),
      });
      await clock.sleep(RETRY_MS);
    }
    return undefined;
  }

  /**
   * Parses the stored interference estimates. They are optional: without them, interference is
   * estimated anew.
   */
  private _parseInterference(entry: StoreEntry | undefined): readonly PairInterference[] {
    const record = entry && parseInterferenceRecord(entry.value);
    if (record?.isErr() === true) {
      this._deps.log.error("A stored value cannot be parsed; it is ignored.", {
        key: entry?.key ?? "",
      });
    }
    return record?.unwrapOr({ pairs: [] }).pairs ?? [];
  }

  private _parseProgress(listing: StoreListing): ReadonlyMap<string, StoredProgress> {
    const stored = listing.entries.flatMap((entry): readonly [string, StoredProgress][] => {
      const job = parseJobKey(entry.key)?.job;
      const record = parseProgressRecord(entry.value);
      if (record.isErr() || job === undefined) {
        this._deps.log.error("A stored value cannot be parsed; it is ignored.", { key: entry.key });
        return [];
      }
      return [[job, { record: record.value, revision: entry.revision }]];
    });
    return new Map(stored);
  }
}

/** Describes the outcome of a listing for the log. */
function describeListing(listing: Result<StoreListing, StoreFailure>): string {
  return listing.match(
    ({ entries }) => `${entries.length} keys`,
    ({ kind, detail }) => `${kind}: ${detail}`,
  );
}
