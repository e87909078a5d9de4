/**
 * A store that delegates all calls to another one, and lets a subclass act on each of them.
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
} from "./Store.ts";

/** Name of a store operation. */
export type StoreOperation =
  | "read"
  | "list"
  | "write"
  | "transact"
  | "remove"
  | "watch"
  | "grant-lease"
  | "renew-lease"
  | "revoke-lease";

/** Store that delegates calls. */
export abstract class DelegatingStore extends Store {
  private readonly _store: Store;

  /**
   * Creates the store.
   * @param store - Store to which calls are delegated.
   */
  constructor(store: Store) {
    super();
    this._store = store;
  }

  override read(key: string): ResultAsync<StoreEntry | undefined, StoreFailure> {
    return this._intercept("read", () => this._store.read(key));
  }

  /** Each page of a listing is a call. */
  override listPage(prefix: string, after: string): ResultAsync<StorePage, StoreFailure> {
    return this._intercept("list", () => this._store.listPage(prefix, after));
  }

  override write(write: StoreWrite): ResultAsync<WriteResult, StoreFailure> {
    return this._intercept("write", () => this._store.write(write));
  }

  override transact(transaction: StoreTransaction): ResultAsync<TransactionResult, StoreFailure> {
    return this._intercept("transact", () => this._store.transact(transaction));
  }

  override remove(key: string, expected: number): ResultAsync<WriteResult, StoreFailure> {
    return this._intercept("remove", () => this._store.remove(key, expected));
  }

  override watch(
    prefix: string,
    after: number,
    waitMs?: number,
  ): ResultAsync<StoreChanges, StoreFailure> {
    return this._intercept("watch", () => this._store.watch(prefix, after, waitMs));
  }

  override grantLease(ttlMs: number): ResultAsync<string, StoreFailure> {
    return this._intercept("grant-lease", () => this._store.grantLease(ttlMs));
  }

  override renewLease(lease: string): ResultAsync<void, StoreFailure> {
    return this._intercept("renew-lease", () => this._store.renewLease(lease));
  }

  override revokeLease(lease: string): ResultAsync<void, StoreFailure> {
    return this._intercept("revoke-lease", () => this._store.revokeLease(lease));
  }

  /**
   * Makes a call and returns its result.
   * @param operation - Operation of the call.
   * @param call - Makes the call.
   */
  protected abstract _intercept<T>(
    operation: StoreOperation,
    call: () => ResultAsync<T, StoreFailure>,
  ): ResultAsync<T, StoreFailure>;
}
