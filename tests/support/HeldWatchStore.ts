/**
 * Store whose responses to watches can be held on the way, so that they arrive late and in any order.
 * A held response has the content that the store gave it at its time.
 */
import { ResultAsync } from "neverthrow";
import type { StoreChanges, StoreFailure, StorePage } from "../../src/protocol/platform/Store.ts";
import { MemoryStore } from "../../standins/store/MemoryStore.ts";

/** Memory store with held responses. */
export class HeldWatchStore extends MemoryStore {
  /** Whether the responses to watches that are sent from now on are held. */
  isHoldingWatches = false;
  /** Page with which listings are answered, whatever the store contains; undefined for none. */
  listedPage: StorePage | undefined;
  /** Resolves when listings may be answered. */
  listingGate: Promise<void> = Promise.resolve();
  private readonly _releases: (() => void)[] = [];

  override listPage(prefix: string, after: string): ResultAsync<StorePage, StoreFailure> {
    return ResultAsync.fromSafePromise(this.listingGate)
      .andThen(() => super.listPage(prefix, after))
      .map((page) => this.listedPage ?? page);
  }

  override watch(
    prefix: string,
    after: number,
    waitMs?: number,
  ): ResultAsync<StoreChanges, StoreFailure> {
    const response = super.watch(prefix, after, waitMs);
    if (!this.isHoldingWatches) {
      return response;
    }
    const { promise, resolve } = Promise.withResolvers<undefined>();
    this._releases.push(() => {
      resolve(undefined);
    });
    return new ResultAsync(Promise.all([response, promise]).then(([result]) => result));
  }

  /**
   * Lets a held response arrive.
   * @param position - Position of its watch among those that were held, from 0.
   */
  release(position: number): void {
    this._releases[position]?.();
  }
}
