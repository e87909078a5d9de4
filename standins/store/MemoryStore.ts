/**
 * In-process store stand-in for tests and benchmarks: implements the abstract Store on a StoreModel,
 * with faults that can be set at any time and counters of the calls.
 */
import { err, errAsync, ok, okAsync, ResultAsync } from "neverthrow";
import type { Result } from "neverthrow";
import type { Clock } from "../../src/protocol/platform/Clock.ts";
import { Store } from "../../src/protocol/platform/Store.ts";
import type {
  StoreChanges,
  StoreEntry,
  StoreFailure,
  StorePage,
  StoreTransaction,
  StoreWrite,
  TransactionResult,
  WriteResult,
} from "../../src/protocol/platform/Store.ts";
import { MAX_VALUE_BYTES, StoreModel } from "./StoreModel.ts";
import type { ModelWatchResult } from "./StoreModel.ts";

/** Time after which a watch without changes returns. */
const WATCH_WAIT_MS = 10_000;

/** Maximum number of keys in a page of a listing unless a test sets another. */
const DEFAULT_PAGE_KEYS = 1_000_000;

const VALUE_TOO_LARGE: StoreFailure = {
  kind: "rejected",
  mayHaveWritten: false,
  detail: "value larger than 1 MB",
};

/** Faults of a memory store; each can be changed at any time. */
export interface MemoryStoreFaults {
  /** Every call fails immediately and has no effect. */
  outage: boolean;
  /** Delay of every call before it takes effect, in milliseconds. */
  delayMs: number;
  /** Number of further writes, removals and lease calls that take effect but time out. */
  lostAnswers: number;
  /** Number of further writes, removals and lease calls that have no effect and time out. */
  lostRequests: number;
  /** Number of further calls that are refused by the rate limit. */
  rateLimited: number;
}

/** Counters of a memory store. */
export interface MemoryStoreCounts {
  /** Number of reads, pages of listings and watches. */
  readonly reads: number;
  /** Number of writes, removals and lease calls. */
  readonly writes: number;
  /** Number of pending watches. */
  readonly waitingWatches: number;
}

/** In-process store with faults. */
export class MemoryStore extends Store {
  /** Faults in effect. */
  readonly faults: MemoryStoreFaults = {
    outage: false,
    delayMs: 0,
    lostAnswers: 0,
    lostRequests: 0,
    rateLimited: 0,
  };
  /** State of the store. */
  readonly model: StoreModel;
  /** Maximum number of keys in a page of a listing. */
  pageKeys = DEFAULT_PAGE_KEYS;
  private readonly _clock: Clock;
  private readonly _openWatches = new Set<() => void>();
  private _reads = 0;
  private _writes = 0;

  /**
   * Creates a store.
   * @param clock - Clock of leases, delays and pending watches.
   * @param model - State; several memory stores, each with its own faults, can share one.
   */
  constructor(clock: Clock, model: StoreModel = new StoreModel(clock)) {
    super();
    this._clock = clock;
    this.model = model;
  }

  /** Number of calls so far and of pending watches. */
  get counts(): MemoryStoreCounts {
    return {
      reads: this._reads,
      writes: this._writes,
      waitingWatches: this._openWatches.size,
    };
  }

  /** Starts an outage: all calls fail immediately, including pending watches. */
  startOutage(): void {
    this.faults.outage = true;
    [...this._openWatches].forEach((fail) => {
      fail();
    });
  }

  /** Ends the outage. */
  endOutage(): void {
    this.faults.outage = false;
  }

  override read(key: string): ResultAsync<StoreEntry | undefined, StoreFailure> {
    return this._read(() => ok(this.model.read(key)));
  }

  override listPage(prefix: string, after: string): ResultAsync<StorePage, StoreFailure> {
    return this._read(() => {
      const { entries, revision } = this.model.list(prefix);
      const rest = entries.filter(({ key }) => key > after);
      const page = rest.slice(0, this.pageKeys);
      const next = rest.length > page.length ? page.at(-1)?.key : undefined;
      return ok({ entries: page, revision, next });
    });
  }

  override write(write: StoreWrite): ResultAsync<WriteResult, StoreFailure> {
    return this._write(() => {
      if (isTooLarge(write)) {
        return err(VALUE_TOO_LARGE);
      }
      const result = this.model.write(write);
      return result.kind === "lease-lost" ? err(leaseLost(write.lease)) : ok(result);
    });
  }

  override transact(transaction: StoreTransaction): ResultAsync<TransactionResult, StoreFailure> {
    return this._write(() => {
      if (transaction.writes.some(isTooLarge)) {
        return err(VALUE_TOO_LARGE);
      }
      const result = this.model.transact(transaction);
      return result.kind === "lease-lost" ? err(leaseLost(undefined)) : ok(result);
    });
  }

  override remove(key: string, expected: number): ResultAsync<WriteResult, StoreFailure> {
    return this._write(() => ok(this.model.remove(key, expected)));
  }

  override watch(
    prefix: string,
    after: number,
    waitMs = WATCH_WAIT_MS,
  ): ResultAsync<StoreChanges, StoreFailure> {
    return this._read(() => ok(undefined)).andThen(() => this._wait(prefix, after, waitMs));
  }

  override grantLease(ttlMs: number): ResultAsync<string, StoreFailure> {
    return this._write(() => ok(this.model.grantLease(ttlMs)));
  }

  override renewLease(lease: string): ResultAsync<void, StoreFailure> {
    return this._write(() => (this.model.renewLease(lease) ? ok() : err(leaseLost(lease))));
  }

  override revokeLease(lease: string): ResultAsync<void, StoreFailure> {
    return this._write(() => (this.model.revokeLease(lease) ? ok() : err(leaseLost(lease))));
  }

  private _read<T>(call: () => Result<T, StoreFailure>): ResultAsync<T, StoreFailure> {
    this._reads += 1;
    return this._applyCallFaults().andThen(call);
  }

  private _write<T>(call: () => Result<T, StoreFailure>): ResultAsync<T, StoreFailure> {
    this._writes += 1;
    const timeout = failure("timeout", true, "the store did not respond in time");
    if (this.faults.lostRequests > 0 && !this.faults.outage) {
      this.faults.lostRequests -= 1;
      return errAsync(timeout);
    }
    return this._applyCallFaults().andThen(() => {
      const result = call();
      if (this.faults.lostAnswers === 0) {
        return result;
      }
      this.faults.lostAnswers -= 1;
      return err(timeout);
    });
  }

  private _applyCallFaults(): ResultAsync<void, StoreFailure> {
    if (this.faults.rateLimited > 0) {
      this.faults.rateLimited -= 1;
      return errAsync(failure("rate-limited", false, "too many calls"));
    }
    if (this.faults.outage || this.faults.delayMs === 0) {
      return this._checkOutage();
    }
    return ResultAsync.fromSafePromise(this._clock.sleep(this.faults.delayMs)).andThen(() =>
      this._checkOutage(),
    );
  }

  private _checkOutage(): ResultAsync<void, StoreFailure> {
    return this.faults.outage ? errAsync(unreachable()) : okAsync(undefined);
  }

  private _wait(
    prefix: string,
    after: number,
    waitMs: number,
  ): ResultAsync<StoreChanges, StoreFailure> {
    return new ResultAsync(
      new Promise<Result<StoreChanges, StoreFailure>>((resolve) => {
        const timer = this._clock.after(waitMs, () => {
          pending.finish();
        });
        const fail = (): void => {
          settle(err(unreachable()));
          pending.finish();
        };
        const settle = (result: Result<StoreChanges, StoreFailure>): void => {
          timer.cancel();
          this._openWatches.delete(fail);
          resolve(result);
        };
        this._openWatches.add(fail);
        const pending = this.model.watch(prefix, after, (result) => {
          settle(toWatchResult(result));
        });
      }),
    );
  }
}

function toWatchResult(result: ModelWatchResult): Result<StoreChanges, StoreFailure> {
  if (result.kind === "compacted") {
    return err(
      failure("compacted", false, "the log no longer contains the changes after the revision"),
    );
  }
  return ok({ changes: result.changes, revision: result.revision });
}

function isTooLarge({ value }: StoreWrite): boolean {
  return Buffer.byteLength(value) > MAX_VALUE_BYTES;
}

function leaseLost(lease: string | undefined): StoreFailure {
  return failure("lease-lost", false, `lease ${lease ?? ""} has expired`);
}

function unreachable(): StoreFailure {
  return failure("unavailable", false, "the store is unreachable");
}

function failure(
  kind: StoreFailure["kind"],
  mayHaveWritten: boolean,
  detail: string,
): StoreFailure {
  return { kind, mayHaveWritten, detail };
}
