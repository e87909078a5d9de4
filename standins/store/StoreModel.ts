/**
 * State of the store stand-in: keys with revisions, compare-and-swap, leases, and a bounded log of
 * changes for watches. It does no I/O, and its time comes from an injected clock.
 */
import type { Clock, Timer } from "../../src/protocol/platform/Clock.ts";
import type {
  StoreChange,
  StoreChanges,
  StoreEntry,
  StoreListing,
  StoreTransaction,
  StoreWrite,
  TransactionResult,
  WriteResult,
} from "../../src/protocol/platform/Store.ts";

/** Default number of past changes that watches can read. */
export const DEFAULT_HISTORY_LENGTH = 100_000;

/** Maximum size of a value. */
export const MAX_VALUE_BYTES = 1_048_576;

/** Outcome of a write: its result, or that its lease has expired. */
export type ModelWriteResult = WriteResult | { readonly kind: "lease-lost" };

/** Outcome of a transaction: its result, or that a lease has expired. */
export type ModelTransactionResult = TransactionResult | { readonly kind: "lease-lost" };

/** Outcome of a watch: the changes, or that the log no longer contains all of them. */
export type ModelWatchResult =
  ({ readonly kind: "changes" } & StoreChanges) | { readonly kind: "compacted" };

/** Watch that waits for changes. */
export interface PendingWatch {
  /** Ends the watch with the changes so far. */
  finish(): void;
}

interface Row {
  readonly entry: StoreEntry;
  readonly lease: string | undefined;
}

interface LeaseState {
  readonly id: string;
  readonly ttlMs: number;
  readonly expiresAt: number;
  readonly timer: Timer;
}

interface Waiter {
  readonly prefix: string;
  readonly after: number;
  readonly onResult: (result: ModelWatchResult) => void;
}

/** Keys, leases and change log of the store stand-in. */
export class StoreModel {
  private readonly _clock: Clock;
  private readonly _historyLength: number;
  private readonly _rows = new Map<string, Row>();
  private readonly _leases = new Map<string, LeaseState>();
  private readonly _waiters = new Set<Waiter>();
  private _log: StoreChange[] = [];
  private _compacted = 0;
  private _revision = 0;
  private _leaseCount = 0;

  /**
   * Creates an empty store.
   * @param clock - Clock of the leases.
   * @param historyLength - Number of past changes that watches can read.
   */
  constructor(clock: Clock, historyLength: number = DEFAULT_HISTORY_LENGTH) {
    this._clock = clock;
    this._historyLength = historyLength;
  }

  /** Revision of the last change. */
  get revision(): number {
    return this._revision;
  }

  /** Number of pending watches. */
  get waitingWatches(): number {
    return this._waiters.size;
  }

  /**
   * Reads a key.
   * @param key - The key.
   */
  read(key: string): StoreEntry | undefined {
    this._expireLeases();
    return this._rows.get(key)?.entry;
  }

  /**
   * Lists the keys with a prefix, in ascending order.
   * @param prefix - The prefix.
   */
  list(prefix: string): StoreListing {
    this._expireLeases();
    const entries = [...this._rows.values()]
      .map((row) => row.entry)
      .filter((entry) => entry.key.startsWith(prefix))
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    return { entries, revision: this._revision };
  }

  /**
   * Writes a key if it has the expected revision.
   * @param write - The write.
   */
  write(write: StoreWrite): ModelWriteResult {
    this._expireLeases();
    if (write.lease !== undefined && !this._leases.has(write.lease)) {
      return { kind: "lease-lost" };
    }
    const current = this._rows.get(write.key)?.entry;
    if ((current?.revision ?? 0) !== write.expected) {
      return { kind: "conflict", current };
    }
    this._put(write);
    this._wakeWaiters();
    return { kind: "written", revision: this._revision };
  }

  /**
   * Executes several writes if all keys have the expected revisions; the writes share one revision.
   * @param transaction - Checks and writes.
   */
  transact(transaction: StoreTransaction): ModelTransactionResult {
    this._expireLeases();
    const { checks, writes } = transaction;
    const leases = writes.flatMap((write) => write.lease ?? []);
    if (leases.some((lease) => !this._leases.has(lease))) {
      return { kind: "lease-lost" };
    }
    const conditions = [...checks, ...writes];
    const getRevision = (key: string): number => this._rows.get(key)?.entry.revision ?? 0;
    if (conditions.some(({ key, expected }) => getRevision(key) !== expected)) {
      const current = conditions.flatMap(({ key }) => this._rows.get(key)?.entry ?? []);
      return { kind: "conflict", current };
    }
    const revision = this._revision + 1;
    writes.forEach((write) => {
      this._put(write, revision);
    });
    this._wakeWaiters();
    return { kind: "written", revision };
  }

  /**
   * Deletes a key if it has the expected revision; an absent key counts as deleted.
   * @param key - The key.
   * @param expected - Revision that the key must have.
   */
  remove(key: string, expected: number): WriteResult {
    this._expireLeases();
    const current = this._rows.get(key)?.entry;
    if (current === undefined) {
      return { kind: "written", revision: this._revision };
    }
    if (current.revision !== expected) {
      return { kind: "conflict", current };
    }
    this._delete(key);
    this._wakeWaiters();
    return { kind: "written", revision: this._revision };
  }

  /**
   * Reports the changes of keys with a prefix after a revision, as soon as there are any.
   * @param prefix - The prefix.
   * @param after - Revision after which changes are reported.
   * @param onResult - Called once with the result, possibly before this method returns.
   */
  watch(prefix: string, after: number, onResult: (result: ModelWatchResult) => void): PendingWatch {
    this._expireLeases();
    const waiter = { prefix, after, onResult };
    this._waiters.add(waiter);
    this._wake(waiter);
    return {
      finish: () => {
        this._finish(waiter);
      },
    };
  }

  /** Ends all pending watches with the changes so far. */
  finishWatches(): void {
    [...this._waiters].forEach((waiter) => {
      this._finish(waiter);
    });
  }

  /**
   * Creates a lease and returns its id.
   * @param ttlMs - Time to live without renewal, in milliseconds.
   */
  grantLease(ttlMs: number): string {
    this._leaseCount += 1;
    const id = `lease-${this._leaseCount}`;
    this._setLease(id, ttlMs);
    return id;
  }

  /**
   * Renews a lease by its time to live.
   * @param id - Id of the lease.
   * @returns Whether the lease was still held.
   */
  renewLease(id: string): boolean {
    this._expireLeases();
    const lease = this._leases.get(id);
    if (lease === undefined) {
      return false;
    }
    lease.timer.cancel();
    this._setLease(id, lease.ttlMs);
    return true;
  }

  /**
   * Revokes a lease and deletes its keys.
   * @param id - Id of the lease.
   * @returns Whether the lease was still held.
   */
  revokeLease(id: string): boolean {
    this._expireLeases();
    if (!this._leases.has(id)) {
      return false;
    }
    this._endLease(id);
    this._wakeWaiters();
    return true;
  }

  /** Deletes the log of changes; watches from an earlier revision then return "compacted". */
  compact(): void {
    this._log = [];
    this._compacted = this._revision;
    this._wakeWaiters();
  }

  private _setLease(id: string, ttlMs: number): void {
    const timer = this._clock.after(ttlMs, () => {
      this._expireLeases();
    });
    this._leases.set(id, { id, ttlMs, expiresAt: this._clock.now() + ttlMs, timer });
  }

  private _expireLeases(): void {
    const now = this._clock.now();
    const expired = [...this._leases.values()].filter((lease) => lease.expiresAt <= now);
    if (expired.length === 0) {
      return;
    }
    expired.forEach((lease) => {
      this._endLease(lease.id);
    });
    this._wakeWaiters();
  }

  private _endLease(id: string): void {
    this._leases.get(id)?.timer.cancel();
    this._leases.delete(id);
    [...this._rows.values()]
      .filter((row) => row.lease === id)
      .forEach((row) => {
        this._delete(row.entry.key);
      });
  }

  private _put(write: StoreWrite, revision = this._revision + 1): void {
    const entry = { key: write.key, value: write.value, revision };
    this._rows.set(write.key, { entry, lease: write.lease });
    this._record({ key: write.key, value: write.value, revision });
  }

  private _delete(key: string): void {
    this._rows.delete(key);
    this._record({ key, value: undefined, revision: this._revision + 1 });
  }

  private _record(change: StoreChange): void {
    this._revision = change.revision;
    this._log.push(change);
    if (this._log.length <= this._historyLength * 2) {
      return;
    }
    this._log = this._log.slice(-this._historyLength);
    this._compacted = (this._log[0]?.revision ?? this._revision) - 1;
  }

  private _wakeWaiters(): void {
    [...this._waiters].forEach((waiter) => {
      this._wake(waiter);
    });
  }

  private _wake(waiter: Waiter): void {
    const result = this._getChanges(waiter);
    if (result.kind === "compacted" || result.changes.length > 0) {
      this._finish(waiter);
    }
  }

  private _finish(waiter: Waiter): void {
    if (this._waiters.delete(waiter)) {
      waiter.onResult(this._getChanges(waiter));
    }
  }

  private _getChanges(waiter: Waiter): ModelWatchResult {
    if (waiter.after < this._compacted) {
      return { kind: "compacted" };
    }
    const first = this._log.findLastIndex((change) => change.revision <= waiter.after) + 1;
    const changes = this._log.slice(first).filter((change) => change.key.startsWith(waiter.prefix));
    return { kind: "changes", changes, revision: this._revision };
  }
}
