/**
 * Follows the keys under a prefix of the store: lists them, then watches for changes. It lists them
 * again if the store has compacted the changes in between, and retries after every failure.
 */
import type { Clock } from "../../protocol/platform/Clock.ts";
import type { Log } from "../../protocol/platform/Log.ts";
import type { RandomSource } from "../../protocol/platform/RandomSource.ts";
import type { Store, StoreChange, StoreFailure } from "../../protocol/platform/Store.ts";

/** Delay after the first failed call, in milliseconds; doubles up to the maximum. */
const INITIAL_RETRY_MS = 50;
/**
 * Maximum delay after a failed call, in milliseconds. It is below the two seconds within which a
 * store that responds again must be in use.
 */
const MAX_RETRY_MS = 500;

/** Dependencies of StoreFollower. */
export interface StoreFollowerDependencies {
  readonly store: Store;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: Log;
  readonly prefix: string;
  /**
   * Minimum time between the starts of two calls, in milliseconds, so that changes arrive in
   * groups; 0 for no delay.
   */
  readonly minIntervalMs: number;
  /** Receives all keys at a revision; a key that is not among them does not exist. */
  readonly onListing: (entries: readonly StoreChange[], revision: number) => void;
  /** Receives changes in order; some may already be known from a listing. */
  readonly onChanges: (changes: readonly StoreChange[]) => void;
}

/** Follows one prefix. */
export class StoreFollower {
  private readonly _deps: StoreFollowerDependencies;
  private _revision: number | undefined;
  private _retryMs = INITIAL_RETRY_MS;
  private _isStopped = false;
  private _isReachable = true;
  private _answeredAt = Number.NEGATIVE_INFINITY;

  /**
   * Creates a follower; it is inactive until `start` is called.
   * @param deps - Dependencies.
   */
  constructor(deps: StoreFollowerDependencies) {
    this._deps = deps;
  }

  /** Whether all keys have been received, and no changes since then have been missed. */
  get isSynced(): boolean {
    return this._revision !== undefined;
  }

  /** When the store last responded, on the monotonic clock, in milliseconds. */
  get answeredAt(): number {
    return this._answeredAt;
  }

  /** Starts following the keys. */
  start(): void {
    void this._run();
  }

  /** Stops following the keys; the response to a call in progress is ignored. */
  stop(): void {
    this._isStopped = true;
  }

  private async _run(): Promise<void> {
    while (!this._isStopped) {
      const startedAt = this._deps.clock.now();
      const failure = this._revision === undefined ? await this._list() : await this._watch();
      await this._waitForNextCall(failure, startedAt);
    }
  }

  private async _waitForNextCall(
    failure: StoreFailure | undefined,
    startedAt: number,
  ): Promise<void> {
    const { clock, random, minIntervalMs } = this._deps;
    this._updateReachability(failure);
    if (failure === undefined) {
      this._retryMs = INITIAL_RETRY_MS;
      const leftMs = startedAt + minIntervalMs - clock.now();
      await (leftMs > 0 ? clock.sleep(leftMs) : undefined);
      return;
    }
    if (failure.kind === "compacted") {
      this._revision = undefined;
      return;
    }
    await clock.sleep(this._retryMs * (0.5 + random.next() / 2));
    this._retryMs = Math.min(2 * this._retryMs, MAX_RETRY_MS);
  }

  private async _list(): Promise<StoreFailure | undefined> {
    const listing = await this._deps.store.list(this._deps.prefix);
    if (listing.isErr()) {
      return listing.error;
    }
    if (!this._isStopped) {
      this._answeredAt = this._deps.clock.now();
      this._deps.onListing(listing.value.entries, listing.value.revision);
      this._revision = listing.value.revision;
    }
    return undefined;
  }

  private async _watch(): Promise<StoreFailure | undefined> {
    const changes = await this._deps.store.watch(this._deps.prefix, this._revision ?? 0);
    if (changes.isErr()) {
      return changes.error;
    }
    if (!this._isStopped) {
      this._answeredAt = this._deps.clock.now();
      this._revision = changes.value.revision;
      this._deps.onChanges(changes.value.changes);
    }
    return undefined;
  }

  private _updateReachability(failure: StoreFailure | undefined): void {
    const isReachable = failure === undefined || failure.kind === "compacted";
    if (isReachable === this._isReachable) {
      return;
    }
    this._isReachable = isReachable;
    const { log, prefix } = this._deps;
    if (failure === undefined || isReachable) {
      log.info("The store responds again.", { prefix });
    } else {
      log.warn("The store does not respond; the call is retried.", {
        prefix,
        reason: failure.detail,
      });
    }
  }
}
