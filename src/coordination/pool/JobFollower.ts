/**
 * Maintains the catalog of jobs of one entry: follows accepted jobs, cancellations and progress in
 * the store. An entry whose catalog is complete can schedule a pool without reading the pool's state
 * again; it only fetches what has changed since.
 */
import type { Clock } from "../../protocol/platform/Clock.ts";
import type { Log } from "../../protocol/platform/Log.ts";
import type { RandomSource } from "../../protocol/platform/RandomSource.ts";
import type { Store } from "../../protocol/platform/Store.ts";
import type { JobCatalog } from "../../state/pool/JobCatalog.ts";
import { INTAKE_PREFIX, PROGRESS_PREFIX } from "../../state/pool/PoolKeys.ts";
import { StoreFollower } from "./StoreFollower.ts";
import { waitUntil } from "../../protocol/platform/waitUntil.ts";

/** Minimum time between two watch calls for progress, in milliseconds, so that changes arrive in groups. */
const PROGRESS_WATCH_INTERVAL_MS = 120;
/** Delay before a failed attempt to catch up is retried, in milliseconds. */
const RETRY_MS = 150;

/** Dependencies of JobFollower. */
export interface JobFollowerDependencies {
  readonly store: Store;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: Log;
  readonly catalog: JobCatalog;
  /** Called when accepted jobs or progress have been received completely. */
  readonly onListed: () => void;
}

/** Follows the jobs of all pools. */
export class JobFollower {
  private readonly _deps: JobFollowerDependencies;
  private readonly _intake: StoreFollower;
  private readonly _followers: readonly StoreFollower[];

  /**
   * Creates a follower; it is inactive until `start` is called.
   * @param deps - Dependencies.
   */
  constructor(deps: JobFollowerDependencies) {
    this._deps = deps;
    const { catalog, onListed, ...shared } = deps;
    const onChanges = catalog.apply.bind(catalog);
    this._intake = new StoreFollower({
      ...shared,
      prefix: INTAKE_PREFIX,
      minIntervalMs: 0,
      onListing: (entries, revision) => {
        catalog.applyIntakeListing(entries, revision);
        onListed();
      },
      onChanges,
    });
    this._followers = [
      this._intake,
      new StoreFollower({
        ...shared,
        prefix: PROGRESS_PREFIX,
        minIntervalMs: PROGRESS_WATCH_INTERVAL_MS,
        onListing: (entries, revision) => {
          catalog.applyProgressListing(entries, revision);
          onListed();
        },
        onChanges,
      }),
    ];
  }

  /** Whether the catalog has been complete at some revision, and no change since was missed. */
  get isSynced(): boolean {
    return this._followers.every((follower) => follower.isSynced);
  }

  /**
   * Since when accepted jobs and cancellations may be missing, on the monotonic clock, in
   * milliseconds; undefined if they are complete.
   */
  get intakeBehindSince(): number | undefined {
    return this._intake.behindSince;
  }

  /** Starts following. */
  start(): void {
    this._followers.forEach((follower) => {
      follower.start();
    });
  }

  /** Stops following. */
  stop(): void {
    this._followers.forEach((follower) => {
      follower.stop();
    });
  }

  /** Lists all keys anew; the catalog does not count as complete until that has ended. */
  relist(): void {
    this._followers.forEach((follower) => {
      follower.relist();
    });
  }

  /**
   * Waits until the catalog contains all changes up to a revision. Changes that were received are
   * kept, so that a later attempt starts where this one ended.
   * @param revision - The revision.
   * @param deadline - End of the wait on the monotonic clock, in milliseconds.
   * @returns Whether the catalog is complete up to the revision.
   */
  async catchUp(revision: number, deadline: number): Promise<boolean> {
    const { clock, log } = this._deps;
    const startedAt = clock.now();
    while (!this._isCompleteUpTo(revision) && clock.now() < deadline) {
      const attempts = this._followers.map((follower) => follower.catchUp());
      const failures = await waitUntil(clock, deadline, Promise.all(attempts));
      const details = (failures ?? []).flatMap((failure) => failure?.detail ?? []);
      if (details.length > 0) {
        log.warn("Changes of jobs could not be fetched from the store; the call is retried.", {
          revision,
          elapsedMs: Math.round(clock.now() - startedAt),
          reason: [...new Set(details)].join("; "),
        });
        await clock.sleep(RETRY_MS);
      }
    }
    return this._isCompleteUpTo(revision);
  }

  private _isCompleteUpTo(revision: number): boolean {
    return this._followers.every((follower) => (follower.revision ?? 0) >= revision);
  }
}
