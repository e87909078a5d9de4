/**
 * Follows the keys under a prefix of the store: lists them, then watches for changes. It lists them
 * again on request, and if the store has compacted the changes in between, and retries after every
 * failure. A listing that fails is resumed at the page that failed.
 */
import type { Clock } from "../../protocol/platform/Clock.ts";
import type { Log } from "../../protocol/platform/Log.ts";
import type { RandomSource } from "../../protocol/platform/RandomSource.ts";
import type {
  Store,
  StoreChange,
  StoreChanges,
  StoreFailure,
} from "../../protocol/platform/Store.ts";
import { ListingReader } from "./ListingReader.ts";

/**
 * Delay after the first failed call since one that succeeded, in milliseconds; doubles up to the
 * maximum.
 */
const INITIAL_RETRY_MS = 50;
/**
 * Maximum delay after a failed call, in milliseconds. It is below the two seconds within which a
 * store that responds again must be in use.
 */
const MAX_RETRY_MS = 500;
/**
 * Time for which a call that only fetches past changes waits for one, in milliseconds. The call after
 * a failed one waits no longer either: if the store is still silent, the call times out soon, and the
 * store's return is noticed.
 */
const CATCH_UP_WAIT_MS = 1;
const NOT_LISTED: StoreFailure = {
  kind: "unavailable",
  mayHaveWritten: false,
  detail: "the keys have not been listed yet",
};

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
  /**
   * Longest time that the store waits for changes before it responds to a watch, in milliseconds; its
   * own default if undefined. Changes in a response that is lost arrive so much later, and after the
   * timeout of a call.
   */
  readonly watchWaitMs?: number | undefined;
  /** Receives all keys; a key that is not among them did not exist at the revision. */
  readonly onListing: (entries: readonly StoreChange[], revision: number) => void;
  /** Receives changes in order, each once; some may already be known from a listing. */
  readonly onChanges: (changes: readonly StoreChange[]) => void;
}

/** Follows one prefix. */
export class StoreFollower {
  private readonly _deps: StoreFollowerDependencies;
  private readonly _listing: ListingReader;
  private _revision: number | undefined;
  private _retryMs = INITIAL_RETRY_MS;
  private _isStopped = false;
  /** Number of requests to list anew; responses to calls sent before the last one are ignored. */
  private _relistCount = 0;
  private _isReachable = true;
  private _answeredAt = Number.NEGATIVE_INFINITY;
  private _silentBeforeMs: number | undefined;
  private _behindSince: number | undefined;

  /**
   * Creates a follower; it is inactive until `start` is called.
   * @param deps - Dependencies.
   */
  constructor(deps: StoreFollowerDependencies) {
    this._deps = deps;
    this._listing = new ListingReader(deps.store, deps.prefix);
  }

  /** Whether all keys have been received, and no changes since then have been missed. */
  get isSynced(): boolean {
    return this._revision !== undefined;
  }

  /** When the store last responded, on the monotonic clock, in milliseconds. */
  get answeredAt(): number {
    return this._answeredAt;
  }

  /**
   * Time between the last two responses of the store, in milliseconds; undefined before the second
   * one. A change that the last one has had been there for so long at most.
   */
  get silentBeforeMs(): number | undefined {
    return this._silentBeforeMs;
  }

  /**
   * Revision up to which all changes have been received; undefined while the keys are not known
   * completely.
   */
  get revision(): number | undefined {
    return this._revision;
  }

  /**
   * Fetches the changes that the store has already, without waiting for further ones.
   * @returns The failure if the store could not be read.
   */
  async catchUp(): Promise<StoreFailure | undefined> {
    return this._revision === undefined ? NOT_LISTED : this._watch(CATCH_UP_WAIT_MS);
  }

  /**
   * Since when changes may be missing, on the monotonic clock, in milliseconds: since the first call
   * that failed after one that succeeded. Undefined if the last call succeeded.
   */
  get behindSince(): number | undefined {
    return this._behindSince;
  }

  /** Starts following the keys. */
  start(): void {
    void this._run();
  }

  /** Stops following the keys; the response to a call in progress is ignored. */
  stop(): void {
    this._isStopped = true;
  }

  /**
   * Lists the keys anew. The call in progress is not awaited, as a watch without changes lasts for
   * seconds; its response is ignored.
   */
  relist(): void {
    if (this._isStopped) {
      return;
    }
    this._relistCount += 1;
    this._dropListing();
    void this._run();
  }

  private async _run(): Promise<void> {
    const relistCount = this._relistCount;
    while (this._isCurrent(relistCount)) {
      const startedAt = this._deps.clock.now();
      const waitMs = this._isReachable ? this._deps.watchWaitMs : CATCH_UP_WAIT_MS;
      const failure = this._revision === undefined ? await this._list() : await this._watch(waitMs);
      if (this._isCurrent(relistCount)) {
        await this._waitForNextCall(failure, startedAt);
      }
    }
  }

  /** Whether calls that were sent after so many requests to list anew still count. */
  private _isCurrent(relistCount: number): boolean {
    return !this._isStopped && relistCount === this._relistCount;
  }

  private _dropListing(): void {
    this._revision = undefined;
    this._listing.reset();
  }

  private async _waitForNextCall(
    failure: StoreFailure | undefined,
    startedAt: number,
  ): Promise<void> {
    const { clock, random, minIntervalMs } = this._deps;
    this._updateReachability(failure);
    this._behindSince = failure && (this._behindSince ?? clock.now());
    if (failure === undefined) {
      this._retryMs = INITIAL_RETRY_MS;
      const leftMs = startedAt + minIntervalMs - clock.now();
      await (leftMs > 0 ? clock.sleep(leftMs) : undefined);
      return;
    }
    if (failure.kind === "compacted") {
      this._dropListing();
      return;
    }
    await clock.sleep(this._retryMs * (0.5 + random.next() / 2));
    this._retryMs = Math.min(2 * this._retryMs, MAX_RETRY_MS);
  }

  private async _list(): Promise<StoreFailure | undefined> {
    const relistCount = this._relistCount;
    const pagesBefore = this._listing.keptPages;
    const listing = await this._listing.read();
    if (!this._isCurrent(relistCount)) {
      return undefined;
    }
    if (listing.isErr()) {
      this._retryMs = this._listing.keptPages > pagesBefore ? INITIAL_RETRY_MS : this._retryMs;
      return listing.error;
    }
    const { entries, revision } = listing.value;
    this._noteResponse();
    this._revision = revision;
    this._deliver(() => {
      this._deps.onListing(entries, revision);
    });
    return undefined;
  }

  private async _watch(waitMs?: number): Promise<StoreFailure | undefined> {
    const relistCount = this._relistCount;
    const after = this._revision ?? 0;
    const changes = await this._deps.store.watch(this._deps.prefix, after, waitMs);
    if (changes.isErr()) {
      return changes.error;
    }
    if (this._isCurrent(relistCount)) {
      this._noteResponse();
      this._applyChanges(after, changes.value);
    }
    return undefined;
  }

  private _noteResponse(): void {
    const now = this._deps.clock.now();
    const silentMs = now - this._answeredAt;
    this._silentBeforeMs = Number.isFinite(silentMs) ? silentMs : undefined;
    this._answeredAt = now;
  }

  /** Applies the changes that another call has not received before. */
  private _applyChanges(after: number, { changes, revision }: StoreChanges): void {
    const known = this._revision;
    if (known === undefined || known < after || known >= revision) {
      return;
    }
    this._revision = revision;
    this._deliver(() => {
      this._deps.onChanges(changes.filter((change) => change.revision > known));
    });
  }

  /** Calls a callback; what it throws must not end the process or the loop. */
  private _deliver(call: () => void): void {
    try {
      call();
    } catch (cause) {
      this._deps.log.error("Keys of the store could not be handled; the next ones are.", {
        ...{ prefix: this._deps.prefix, reason: String(cause) },
        stack: cause instanceof Error ? cause.stack : undefined,
      });
    }
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
