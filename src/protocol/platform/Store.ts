/**
 * The platform's key-value service as the system sees it: compare-and-swap on single keys, leases
 * and watches. Each platform protocol is one adapter below this class.
 */
import type { ResultAsync } from "neverthrow";

/** A key with its value and the store revision at which the value was written. */
export interface StoreEntry {
  readonly key: string;
  readonly value: string;
  /** Revision of the last write to the key; greater than 0. */
  readonly revision: number;
}

/** Result of a conditional write that reached the store. */
export type WriteResult =
  | { readonly kind: "written"; readonly revision: number }
  | { readonly kind: "conflict"; readonly current: StoreEntry | undefined };

/** Keys under a prefix as they are at one store revision. */
export interface StoreListing {
  readonly entries: readonly StoreEntry[];
  readonly revision: number;
}

/** A change reported by a watch; a deleted key has no value. */
export interface StoreChange {
  readonly key: string;
  readonly value: string | undefined;
  readonly revision: number;
}

/** Changes under a prefix, and the revision up to which they are complete. */
export interface StoreChanges {
  readonly changes: readonly StoreChange[];
  readonly revision: number;
}

/**
 * Failure of a store call. `mayHaveWritten` is false only where the call certainly had no effect.
 */
export interface StoreFailure {
  readonly kind: "unavailable" | "timeout" | "rate-limited" | "lease-lost" | "compacted";
  readonly mayHaveWritten: boolean;
  readonly detail: string;
}

/** A write to one key. `expected` is the revision that the key must have; 0 means absent. */
export interface StoreWrite {
  readonly key: string;
  readonly value: string;
  readonly expected: number;
  /** Lease whose end deletes the key. */
  readonly lease?: string;
}

/** A key that must have a revision for a transaction to be carried out; 0 means absent. */
export interface StoreCheck {
  readonly key: string;
  readonly expected: number;
}

/** Writes that are carried out together or not at all, where all checks hold as well. */
export interface StoreTransaction {
  /** Checks beside those that the writes bring. */
  readonly checks: readonly StoreCheck[];
  readonly writes: readonly StoreWrite[];
}

/** Result of a transaction that reached the store; a conflict gives the keys as they are. */
export type TransactionResult =
  | { readonly kind: "written"; readonly revision: number }
  | { readonly kind: "conflict"; readonly current: readonly StoreEntry[] };

/** Most checks and writes of one transaction, the checks that writes bring counted too. */
export const MAX_TRANSACTION_ROWS = 32;

/** The platform's key-value service. */
export abstract class Store {
  /**
   * Reads a key; undefined where it does not exist.
   * @param key - The key.
   */
  abstract read(key: string): ResultAsync<StoreEntry | undefined, StoreFailure>;

  /**
   * Lists the keys under a prefix.
   * @param prefix - The prefix.
   */
  abstract list(prefix: string): ResultAsync<StoreListing, StoreFailure>;

  /**
   * Writes a key where it has the expected revision.
   * @param write - The write.
   */
  abstract write(write: StoreWrite): ResultAsync<WriteResult, StoreFailure>;

  /**
   * Carries out several writes together where all their conditions hold.
   * @param transaction - Checks and writes; at most MAX_TRANSACTION_ROWS.
   */
  abstract transact(transaction: StoreTransaction): ResultAsync<TransactionResult, StoreFailure>;

  /**
   * Deletes a key where it has the expected revision; an absent key counts as deleted.
   * @param key - The key.
   * @param expected - Revision that the key must have.
   */
  abstract remove(key: string, expected: number): ResultAsync<WriteResult, StoreFailure>;

  /**
   * Waits for changes under a prefix after a revision; resolves with none after a while.
   * @param prefix - The prefix.
   * @param after - Revision after which changes are wanted.
   */
  abstract watch(prefix: string, after: number): ResultAsync<StoreChanges, StoreFailure>;

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
   * Ends a lease at once and deletes its keys.
   * @param lease - Id of the lease.
   */
  abstract revokeLease(lease: string): ResultAsync<void, StoreFailure>;
}
