/**
 * A store of which every result is observed, so that one component's calls show the others whether
 * the store responds.
 */
import type { ResultAsync } from "neverthrow";
import {
  Store,
  type StoreChanges,
  type StoreEntry,
  type StoreFailure,
  type StorePage,
  type StoreTransaction,
  type StoreWrite,
  type TransactionResult,
  type WriteResult,
} from "../../protocol/platform/Store.ts";
import type { StoreSilenceMonitor } from "./StoreSilenceMonitor.ts";

/** Store that delegates calls and reports their results to a monitor. */
export class MonitoredStore extends Store {
  private readonly _store: Store;
  private readonly _monitor: StoreSilenceMonitor;

  /**
   * Creates the store.
   * @param store - Store to which calls are delegated.
   * @param monitor - Monitor that observes the results.
   */
  constructor(store: Store, monitor: StoreSilenceMonitor) {
    super();
    this._store = store;
    this._monitor = monitor;
  }

  override read(key: string): ResultAsync<StoreEntry | undefined, StoreFailure> {
    return this._monitor.observe(() => this._store.read(key));
  }

  override listPage(prefix: string, after: string): ResultAsync<StorePage, StoreFailure> {
    return this._monitor.observe(() => this._store.listPage(prefix, after));
  }

  override write(write: StoreWrite): ResultAsync<WriteResult, StoreFailure> {
    return this._monitor.observe(() => this._store.write(write));
  }

  override transact(transaction: StoreTransaction): ResultAsync<TransactionResult, StoreFailure> {
    return this._monitor.observe(() => this._store.transact(transaction));
  }

  override remove(key: string, expected: number): ResultAsync<WriteResult, StoreFailure> {
    return this._monitor.observe(() => this._store.remove(key, expected));
  }

  override watch(
    prefix: string,
    after: number,
    waitMs?: number,
  ): ResultAsync<StoreChanges, StoreFailure> {
    return this._monitor.observe(() => this._store.watch(prefix, after, waitMs));
  }

  override grantLease(ttlMs: number): ResultAsync<string, StoreFailure> {
    return this._monitor.observe(() => this._store.grantLease(ttlMs));
  }

  override renewLease(lease: string): ResultAsync<void, StoreFailure> {
    return this._monitor.observe(() => this._store.renewLease(lease));
  }

  override revokeLease(lease: string): ResultAsync<void, StoreFailure> {
    return this._monitor.observe(() => this._store.revokeLease(lease));
  }
}
