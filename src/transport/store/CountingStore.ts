/**
 * A store that counts its calls by operation and outcome.
 */
import type { ResultAsync } from "neverthrow";
import { DelegatingStore, type StoreOperation } from "../../protocol/platform/DelegatingStore.ts";
import type { Store, StoreFailure } from "../../protocol/platform/Store.ts";
import type { Counters } from "../../state/metrics/Counters.ts";

/** Store that counts calls and delegates them. */
export class CountingStore extends DelegatingStore {
  private readonly _counters: Counters;

  /**
   * Creates the store.
   * @param store - Store to which calls are delegated.
   * @param counters - Counters for the calls.
   */
  constructor(store: Store, counters: Counters) {
    super(store);
    this._counters = counters;
  }

  protected override _intercept<T>(
    operation: StoreOperation,
    call: () => ResultAsync<T, StoreFailure>,
  ): ResultAsync<T, StoreFailure> {
    return call()
      .map((value) => {
        this._counters.increment("fireflylb_store_calls_total", { operation, outcome: "done" });
        return value;
      })
      .mapErr((failure) => {
        const outcome = failure.kind;
        this._counters.increment("fireflylb_store_calls_total", { operation, outcome });
        return failure;
      });
  }
}
