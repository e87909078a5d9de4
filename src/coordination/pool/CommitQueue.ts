/**
 * Writes the progress of jobs to the store for the scheduler of a pool. Changes that arrive while a
 * transaction is in progress are batched into the next one. Each transaction checks that this
 * scheduler is still the elected one. A transaction whose outcome is unknown is retried unchanged,
 * so that it takes effect once, whether or not the first attempt succeeded. Its size is bounded, as
 * one that cannot be sent within the timeout of a call would be retried for ever. One that the store
 * rejects for good is split until the job at fault is found, so that only this job is not recorded.
 */
import type { Clock } from "../../protocol/platform/Clock.ts";
import type { Log } from "../../protocol/platform/Log.ts";
import {
  MAX_TRANSACTION_ROWS,
  type Store,
  type StoreEntry,
  type StoreWrite,
  type TransactionResult,
} from "../../protocol/platform/Store.ts";

/**
 * Maximum number of jobs in one transaction: a job's write and its check take two rows, and the
 * check of the scheduler's key takes one.
 */
const MAX_JOBS_PER_TRANSACTION = Math.floor((MAX_TRANSACTION_ROWS - 1) / 2);
/**
 * Maximum size of the values in one transaction, in bytes; a single job may exceed it. The platform
 * takes values in base64, so that this is 87 KB on the wire: a link of 7 Mbit/s carries it in 100
 * ms, a tenth of the default timeout of a call, and the rest is left for what shares the link.
 */
const MAX_TRANSACTION_BYTES = 65_536;
/** Delay after the first failed attempt, in milliseconds; doubles up to the maximum. */
const INITIAL_RETRY_MS = 40;
const MAX_RETRY_MS = 400;

/** Dependencies of CommitQueue. */
export interface CommitQueueDependencies {
  readonly store: Store;
  readonly clock: Clock;
  readonly log: Log;
  /** Key whose value names the pool's scheduler. */
  readonly schedulerKey: string;
  /** Revision that the key has as long as this scheduler is the elected one. */
  readonly epoch: number;
  /** Minimum time between the starts of two transactions, in milliseconds. */
  readonly intervalMs: number;
  readonly getKey: (job: string) => string;
  /** Gets the current progress of a job as it is to be stored. */
  readonly getValue: (job: string) => string;
  /** Called for each job whose progress was written. */
  readonly onWritten: (job: string, value: string, revision: number) => void;
  /** Called once when the key no longer names this scheduler. */
  readonly onSuperseded: () => void;
  /**
   * Called once when the store holds progress that this scheduler did not write, though it is the
   * elected one: what is known of the jobs is wrong, and no further write is tried.
   */
  readonly onForeignProgress: (reason: string) => void;
}

interface JobWrite {
  readonly job: string;
  readonly write: StoreWrite;
  readonly callbacks: readonly (() => void)[];
}

/** Jobs that are written in one transaction. */
type Batch = readonly JobWrite[];

/** Writes the progress of one scheduler's jobs. */
export class CommitQueue {
  private readonly _deps: CommitQueueDependencies;
  private readonly _revisions = new Map<string, number>();
  /** Jobs with changes that are not written, whether they wait, are being written or were rejected. */
  private readonly _unwritten = new Set<string>();
  private readonly _pending = new Map<string, (() => void)[]>();
  private _isRunning = false;
  private _isClosed = false;
  private _confirmedAt = Number.NEGATIVE_INFINITY;
  private _retryMs = INITIAL_RETRY_MS;
  private _failingSince: number | undefined;

  /**
   * Creates a queue.
   * @param deps - Dependencies.
   * @param revisions - Revisions of the jobs' progress keys as known after the election.
   */
  constructor(deps: CommitQueueDependencies, revisions: ReadonlyMap<string, number>) {
    this._deps = deps;
    revisions.forEach((revision, job) => this._revisions.set(job, revision));
  }

  /** When the last successful transaction was sent, on the monotonic clock, in milliseconds. */
  get confirmedAt(): number {
    return this._confirmedAt;
  }

  /** Whether the last attempt at a transaction failed. */
  get isFailing(): boolean {
    return this._failingSince !== undefined;
  }

  /**
   * When the first of the failed attempts since the last response was sent, on the monotonic clock,
   * in milliseconds; undefined if the last attempt did not fail.
   */
  get failingSince(): number | undefined {
    return this._failingSince;
  }

  /**
   * Schedules a write of a job's progress.
   * @param job - Id of the job.
   * @param onCommitted - Called once the current progress of the job has been written.
   */
  enqueue(job: string, onCommitted?: () => void): void {
    this._unwritten.add(job);
    const callbacks = this._pending.get(job) ?? [];
    this._pending.set(job, onCommitted === undefined ? callbacks : [...callbacks, onCommitted]);
    if (!this._isRunning && !this._isClosed) {
      this._isRunning = true;
      void this._run();
    }
  }

  /**
   * Calls back once the current progress of a job is written: at once if it is, without a write.
   * @param job - Id of the job.
   * @param onWritten - The callback.
   */
  whenWritten(job: string, onWritten: () => void): void {
    if (this._unwritten.has(job)) {
      this.enqueue(job, onWritten);
    } else {
      onWritten();
    }
  }

  /**
   * Removes a job whose keys have been deleted.
   * @param job - Id of the job.
   */
  removeJob(job: string): void {
    this._revisions.delete(job);
    this._unwritten.delete(job);
    this._pending.delete(job);
  }

  /** Stops writing; the result of a transaction in progress is ignored. */
  close(): void {
    this._isClosed = true;
  }

  private async _run(): Promise<void> {
    // Jobs that the running code adds after this one go into the same transaction.
    await Promise.resolve();
    while (this._pending.size > 0 && !this._isClosed) {
      const startedAt = this._deps.clock.now();
      await this._write(this._createBatch());
      const leftMs = startedAt + this._deps.intervalMs - this._deps.clock.now();
      await (leftMs > 0 ? this._deps.clock.sleep(leftMs) : undefined);
    }
    this._isRunning = false;
  }

  private _createBatch(): Batch {
    const batch = [...this._createWrites()].map(([job, write]) => ({
      job,
      write,
      callbacks: this._pending.get(job) ?? [],
    }));
    batch.forEach(({ job }) => this._pending.delete(job));
    return batch;
  }

  /** Creates the writes of as many pending jobs as one transaction may carry, at least of one. */
  private _createWrites(): ReadonlyMap<string, StoreWrite> {
    const writes = new Map<string, StoreWrite>();
    let bytes = 0;
    for (const job of [...this._pending.keys()].slice(0, MAX_JOBS_PER_TRANSACTION)) {
      const write = this._createWrite(job);
      bytes += Buffer.byteLength(write.value);
      if (bytes > MAX_TRANSACTION_BYTES && writes.size > 0) {
        return writes;
      }
      writes.set(job, write);
    }
    return writes;
  }

  private _createWrite(job: string): StoreWrite {
    const { getKey, getValue } = this._deps;
    return { key: getKey(job), value: getValue(job), expected: this._revisions.get(job) ?? 0 };
  }

  private async _write(batch: Batch): Promise<void> {
    const { store, clock, schedulerKey, epoch } = this._deps;
    while (!this._isClosed) {
      const sentAt = clock.now();
      const checks = [{ key: schedulerKey, expected: epoch }];
      const writes = batch.map(({ write }) => write);
      const result = await store.transact({ checks, writes });
      if (result.isOk()) {
        this._handleResult(batch, sentAt, result.value);
        return;
      }
      if (result.error.kind === "rejected") {
        await this._handleRejection(batch, result.error.detail);
        return;
      }
      await this._waitAfterFailure(sentAt, result.error.detail);
    }
  }

  /** Writes the halves of a rejected batch on their own, or gives up the write of a single job. */
  private async _handleRejection(batch: Batch, reason: string): Promise<void> {
    this._noteResponse();
    const [first] = batch;
    if (first !== undefined && batch.length === 1) {
      this._deps.log.error(
        "The store rejects the progress of a job; it is not recorded, and its new runs do not start.",
        { job: first.job, bytes: Buffer.byteLength(first.write.value), reason },
      );
      return;
    }
    const half = Math.ceil(batch.length / 2);
    await this._write(batch.slice(0, half));
    await this._write(batch.slice(half));
  }

  private _handleResult(batch: Batch, sentAt: number, result: TransactionResult): void {
    if (result.kind === "written") {
      this._completeBatch(batch, sentAt, () => result.revision);
    } else {
      this._handleConflict(batch, sentAt, result.current);
    }
  }

  /** Handles a conflict; an earlier attempt at the same transaction may have succeeded. */
  private _handleConflict(batch: Batch, sentAt: number, current: readonly StoreEntry[]): void {
    if (this._isClosed) {
      return;
    }
    const { schedulerKey, epoch, onSuperseded } = this._deps;
    const byKey = new Map(current.map((entry) => [entry.key, entry]));
    const isElected = byKey.get(schedulerKey)?.revision === epoch;
    const isWritten = batch.every(({ write }) => byKey.get(write.key)?.value === write.value);
    if (isElected && isWritten) {
      this._completeBatch(batch, sentAt, (key) => byKey.get(key)?.revision ?? 0);
      return;
    }
    this.close();
    if (!isElected) {
      onSuperseded();
      return;
    }
    const foreign = batch.filter(
      ({ write }) => (byKey.get(write.key)?.revision ?? 0) !== write.expected,
    );
    this._reportForeignProgress(foreign.map(({ write }) => write.key).join(" "));
  }

  private _reportForeignProgress(keys: string): void {
    const { log, onForeignProgress } = this._deps;
    log.error("The store holds progress that this scheduler did not write; the scheduler stops.", {
      keys,
    });
    onForeignProgress("the store holds progress that this scheduler did not write");
  }

  private _completeBatch(batch: Batch, sentAt: number, getRevision: (key: string) => number): void {
    if (this._isClosed) {
      return;
    }
    this._noteResponse();
    this._confirmedAt = Math.max(this._confirmedAt, sentAt);
    batch.forEach(({ job, write }) => {
      const revision = getRevision(write.key);
      this._revisions.set(job, revision);
      if (!this._pending.has(job)) {
        this._unwritten.delete(job);
      }
      this._deps.onWritten(job, write.value, revision);
    });
    batch
      .flatMap(({ callbacks }) => callbacks)
      .forEach((callback) => {
        callback();
      });
  }

  private _noteResponse(): void {
    this._retryMs = INITIAL_RETRY_MS;
    this._failingSince = undefined;
  }

  private async _waitAfterFailure(sentAt: number, reason: string): Promise<void> {
    if (!this.isFailing) {
      this._deps.log.warn("Writing progress to the store failed; it is retried.", { reason });
    }
    this._failingSince ??= sentAt;
    await this._deps.clock.sleep(this._retryMs);
    this._retryMs = Math.min(2 * this._retryMs, MAX_RETRY_MS);
  }
}
