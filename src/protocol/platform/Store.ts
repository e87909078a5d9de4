/**
 * Interface to the platform's key-value store: compare-and-swap, transactions, leases and watches.
 * Each platform protocol is implemented by a subclass.
 */
import { ResultAsync } from "neverthrow";
import { readPages } from "./storePages.ts";

/** A key with its value and the store revision at which the value was written. */
export interface StoreEntry {
  readonly key: string;
  readonly value: string;
  /** Revision of the last write to the key; greater than 0. */
  readonly revision: number;
}

/** Result of a conditional write that the store executed. */
export type WriteResult =
  | { readonly kind: "written"; readonly revision: number }
  | { readonly kind: "conflict"; readonly current: StoreEntry | undefined };

/**
 * Keys under a prefix. Changes after the revision may be missing or included; a watch from the
 * revision reports all of them.
 */
export interface StoreListing {
  readonly entries: readonly StoreEntry[];
  readonly revision: number;
}

/** Part of a listing. */
export interface StorePage {
  /** Keys in ascending order. */
  readonly entries: readonly StoreEntry[];
  readonly revision: number;
  /** Key after which the next page begins; undefined at the end of the listing. */
  readonly next: string | undefined;
}

/** A change reported by a watch; a deleted key has no value. */
export interface StoreChange {
  readonly key: string;
  readonly value: string | undefined;
  readonly revision: number;
}

/** Changes under a prefix, complete up to a revision. */
export interface StoreChanges {
  readonly changes: readonly StoreChange[];
  readonly revision: number;
}

/**
 * Failure of a store call. `mayHaveWritten` is false only if the call certainly had no effect. A
 * call that was `rejected` fails however often it is repeated, for example as a value is too large.
 */
export interface StoreFailure {
  readonly kind:
    "unavailable" | "timeout" | "rate-limited" | "lease-lost" | "compacted" | "rejected";
  readonly mayHaveWritten: boolean;
  readonly detail: string;
}

/** A write to one key. `expected` is the revision that the key must have; 0 means absent. */
export interface StoreWrite {
  readonly key: string;
  readonly value: string;
  readonly expected: number;
  /** Lease at whose expiry the key is deleted. */
  readonly lease?: string;
}

/** Condition of a transaction: the revision that a key must have; 0 means absent. */
export interface StoreCheck {
  readonly key: string;
  readonly expected: number;
}

/** Writes that are executed atomically where all checks hold. */
export interface StoreTransaction {
  /** Checks in addition to the expected revisions of the writes. */
  readonly checks: readonly StoreCheck[];
  readonly writes: readonly StoreWrite[];
}

/** Result of a transaction that the store executed; a conflict contains the current entries. */
export type TransactionResult =
  | { readonly kind: "written"; readonly revision: number }
  | { readonly kind: "conflict"; readonly current: readonly StoreEntry[] };

/** Maximum of checks and writes in a transaction, including the implicit checks of writes. */
export const MAX_TRANSACTION_ROWS = 32;

/** The platform's key-value store. */
export abstract class Store {
  /**
   * Reads a key; undefined where it does not exist.
   * @param key - The key.
   */
  abstract read(key: string): ResultAsync<StoreEntry | undefined, StoreFailure>;

  /**
   * Lists a page of the keys under a prefix; the store decides on its size.
   * @param prefix - The prefix.
   * @param after - Key after which the page begins; "" for the start.
   */
  abstract listPage(prefix: string, after: string): ResultAsync<StorePage, StoreFailure>;

  /**
   * Lists the keys under a prefix, page by page, and fails with the first page that fails. The
   * revision is that of the first page, so that a watch from it reports what changed between pages.
   * @param prefix - The prefix.
   */
  list(prefix: string): ResultAsync<StoreListing, StoreFailure> {
    return new ResultAsync(readPages(this, prefix, []));
  }

  /**
   * Writes a key if it has the expected revision.
   * @param write - The write.
   */
  abstract write(write: StoreWrite): ResultAsync<WriteResult, StoreFailure>;

  /**
   * Executes several writes atomically if all their conditions hold.
   * @param transaction - Checks and writes; at most MAX_TRANSACTION_ROWS.
   */
  abstract transact(transaction: StoreTransaction): ResultAsync<TransactionResult, StoreFailure>;

  /**
   * Deletes a key if it has the expected revision; an absent key counts as deleted.
   * @param key - The key.
   * @param expected - Revision that the key must have.
   */
  abstract remove(key: string, expected: number): ResultAsync<WriteResult, StoreFailure>;

  /**
   * Waits for changes under a prefix after a revision; resolves without changes after some time.
   * @param prefix - The prefix.
   * @param after - Revision after which changes are reported.
   * @param waitMs - Longest wait for the first change, in milliseconds; if omitted, the adapter's
   * own.
   */
  abstract watch(
    prefix: string,
    after: number,
    waitMs?: number,
  ): ResultAsync<StoreChanges, StoreFailure>;

  /**
   * Creates a lease and returns its id.
   * @param ttlMs - Time to live without renewal, in milliseconds.
   */
  abstract grantLease(ttlMs: number): ResultAsync<string, StoreFailure>;

  /**
   * Renews a lease for its time to live.
   * @param lease - Id of the lease.
   */
  abstract renewLease(lease: string): ResultAsync<void, StoreFailure>;

  /**
   * Ends a lease immediately and deletes its keys.
   * @param lease - Id of the lease.
   */
  abstract revokeLease(lease: string): ResultAsync<void, StoreFailure>;
}
