/**
 * Store behind a link that is too narrow for large responses: a listing that cannot be transferred
 * before the timeout of a call fails, and so does every repetition of it.
 */
import { errAsync, ResultAsync } from "neverthrow";
import type { Clock } from "../../src/protocol/platform/Clock.ts";
import type { StoreChanges, StoreFailure, StorePage } from "../../src/protocol/platform/Store.ts";
import { MemoryStore } from "../../standins/store/MemoryStore.ts";
import type { StoreModel } from "../../standins/store/StoreModel.ts";

const CALL_TIMEOUT_MS = 1_000;

/** Memory store whose large listings time out. */
export class NarrowLinkStore extends MemoryStore {
  /** Number of keys that a listing can transfer before the timeout. */
  maxListedKeys: number;
  /** Prefixes whose listings time out whatever their size. */
  unlistedPrefixes: readonly string[] = [];
  /** Prefixes whose watches time out. */
  silentPrefixes: readonly string[] = [];
  /** Duration of the transfer of changes by prefix, in milliseconds; 0 for other prefixes. */
  changesDelayMs: ReadonlyMap<string, number> = new Map();
  private readonly _timeoutClock: Clock;

  /**
   * Creates a store.
   * @param clock - Clock of leases, delays and timeouts.
   * @param model - State, which other stores can share.
   * @param maxListedKeys - Number of keys that a listing can transfer before the timeout.
   */
  constructor(clock: Clock, model: StoreModel, maxListedKeys: number) {
    super(clock, model);
    this._timeoutClock = clock;
    this.maxListedKeys = maxListedKeys;
  }

  override listPage(prefix: string, after: string): ResultAsync<StorePage, StoreFailure> {
    return super.listPage(prefix, after).andThen((page) => {
      const isListed = !this.unlistedPrefixes.includes(prefix);
      if (isListed && page.entries.length <= this.maxListedKeys) {
        return ResultAsync.fromSafePromise(Promise.resolve(page));
      }
      return this._timeOut();
    });
  }

  override watch(
    prefix: string,
    after: number,
    waitMs?: number,
  ): ResultAsync<StoreChanges, StoreFailure> {
    if (this.silentPrefixes.includes(prefix)) {
      return this._timeOut();
    }
    return super
      .watch(prefix, after, waitMs)
      .andThen((changes) =>
        ResultAsync.fromSafePromise(
          this._timeoutClock.sleep(
            changes.changes.length > 0 ? (this.changesDelayMs.get(prefix) ?? 0) : 0,
          ),
        ).map(() => changes),
      );
  }

  /** Ends all watches in progress with a failure. */
  failWatches(): void {
    this.startOutage();
    this.endOutage();
  }

  private _timeOut(): ResultAsync<never, StoreFailure> {
    const failure: StoreFailure = {
      kind: "timeout",
      mayHaveWritten: false,
      detail: "no response in time",
    };
    const timeout = ResultAsync.fromSafePromise(this._timeoutClock.sleep(CALL_TIMEOUT_MS));
    return timeout.andThen(() => errAsync(failure));
  }
}
