/**
 * A store that counts its calls by operation and outcome.
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
import type { Counters } from "../../state/metrics/Counters.ts";

/** Store that counts calls and delegates them. */
export class CountingStore extends Store {
  private readonly _store: Store;
  private readonly _counters: Counters;

  /**
   * Creates the store.
   * @param store - Store to which calls are delegated.
   * @param counters - Counters for the calls.
   */
  constructor(store: Store, counters: Counters) {
    super();
    this._store = store;
    this._counters = counters;
  }

  override read(key: string): ResultAsync<StoreEntry | undefined, StoreFailure> {
    return this._count("read", this._store.read(key));
  }

  /** Counts each page of a listing, as each is a call. */
  override listPage(prefix: string, after: string): ResultAsync<StorePage, StoreFailure> {
    return this._count("list", this._store.listPage(prefix, after));
  }

  override write(write: StoreWrite): ResultAsync<WriteResult, StoreFailure> {
    return this._count("write", this._store.write(write));
  }

  override transact(transaction: StoreTransaction): ResultAsync<TransactionResult, StoreFailure> {
    return this._count("transact", this._store.transact(transaction));
  }

  override remove(key: string, expected: number): ResultAsync<WriteResult, StoreFailure> {
    return this._count("remove", this._store.remove(key, expected));
  }

  override watch(
    prefix: string,
    after: number,
    waitMs?: number,
  ): ResultAsync<StoreChanges, StoreFailure> {
    return this._count("watch", this._store.watch(prefix, after, waitMs));
  }

  override grantLease(ttlMs: number): ResultAsync<string, StoreFailure> {
    return this._count("grant-lease", this._store.grantLease(ttlMs));
  }

  override renewLease(lease: string): ResultAsync<void, StoreFailure> {
    return this._count("renew-lease", this._store.renewLease(lease));
  }

  override revokeLease(lease: string): ResultAsync<void, StoreFailure> {
    return this._count("revoke-lease", this._store.revokeLease(lease));
  }

  private _count<T>(
    operation: string,
    call: ResultAsync<T, StoreFailure>,
  ): ResultAsync<T, StoreFailure> {
    return call
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
