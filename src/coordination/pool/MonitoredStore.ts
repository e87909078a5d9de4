/**
 * A store of which every result is observed, so that one component's calls show the others whether
 * the store responds.
 */
import type { ResultAsync } from "neverthrow";
import { DelegatingStore, type StoreOperation } from "../../protocol/platform/DelegatingStore.ts";
import type { Store, StoreFailure } from "../../protocol/platform/Store.ts";
import type { StoreSilenceMonitor } from "./StoreSilenceMonitor.ts";

/** Store that delegates calls and reports their results to a monitor. */
export class MonitoredStore extends DelegatingStore {
  private readonly _monitor: StoreSilenceMonitor;

  /**
   * Creates the store.
   * @param store - Store to which calls are delegated.
   * @param monitor - Monitor that observes the results.
   */
  constructor(store: Store, monitor: StoreSilenceMonitor) {
    super(store);
    this._monitor = monitor;
  }

  protected override _intercept<T>(
    _operation: StoreOperation,
    call: () => ResultAsync<T, StoreFailure>,
  ): ResultAsync<T, StoreFailure> {
    return this._monitor.observe(call);
  }
}
