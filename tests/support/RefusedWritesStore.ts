/**
 * Store that refuses one entry's writes at times, while it responds to the entry's reads and renews
 * its leases.
 */
import { errAsync, type ResultAsync } from "neverthrow";
import type {
  StoreFailure,
  StoreTransaction,
  StoreWrite,
  TransactionResult,
  WriteResult,
} from "../../src/protocol/platform/Store.ts";
import { MemoryStore } from "../../standins/store/MemoryStore.ts";

const REFUSAL: StoreFailure = {
  kind: "unavailable",
  mayHaveWritten: false,
  detail: "the store is unavailable",
};

/** Memory store whose writes can be refused. */
export class RefusedWritesStore extends MemoryStore {
  /** Whether writes, removals and grants of leases are refused. */
  isRefusing = false;

  override write(write: StoreWrite): ResultAsync<WriteResult, StoreFailure> {
    return this.isRefusing ? errAsync(REFUSAL) : super.write(write);
  }

  override transact(transaction: StoreTransaction): ResultAsync<TransactionResult, StoreFailure> {
    return this.isRefusing ? errAsync(REFUSAL) : super.transact(transaction);
  }

  override remove(key: string, expected: number): ResultAsync<WriteResult, StoreFailure> {
    return this.isRefusing ? errAsync(REFUSAL) : super.remove(key, expected);
  }

  override grantLease(ttlMs: number): ResultAsync<string, StoreFailure> {
    return this.isRefusing ? errAsync(REFUSAL) : super.grantLease(ttlMs);
  }

  override revokeLease(lease: string): ResultAsync<void, StoreFailure> {
    return this.isRefusing ? errAsync(REFUSAL) : super.revokeLease(lease);
  }
}
