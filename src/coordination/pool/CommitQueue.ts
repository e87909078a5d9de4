/**
 * Writes the progress of jobs to the store for the scheduler of a pool. Changes that arrive while a
 * transaction is under way go together into the next one. Each transaction checks that this
 * scheduler is still the pool's; one whose outcome is unknown is repeated as it was, so that it is
 * carried out once whatever happened to the first try.
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

/** Jobs in one transaction: a write and its check take two rows, the scheduler's check one. */
const MAX_JOBS_PER_TRANSACTION = Math.floor((MAX_TRANSACTION_ROWS - 1) / 2);
/** First wait after a failed transaction, in milliseconds; doubles up to the longest. */
const INITIAL_RETRY_MS = 40;
const MAX_RETRY_MS = 400;

/** What a queue needs. */
export interface CommitQueueDependencies {
  readonly store: Store;
  readonly clock: Clock;
  readonly log: Log;
  /** Key that names the pool's scheduler. */
  readonly schedulerKey: string;
  /** Revision at which the key names this scheduler. */
  readonly epoch: number;
  /** Least time between two transactions, in milliseconds. */
  readonly intervalMs: number;
  readonly getKey: (job: string) => string;
  /** Gives the value of a job as it is now. */
  readonly getValue: (job: string) => string;
  /** Called for each job that was written. */
  readonly onWritten: (job: string, value: string, revision: number) => void;
  /** Called once when another scheduler, or none, is named. */
  readonly onSuperseded: () => void;
}

interface Batch {
  readonly jobs: readonly string[];
  readonly writes: readonly StoreWrite[];
  readonly callbacks: readonly (() => void)[];
}

/** Transactions of one scheduler. */
export class CommitQueue {
  private readonly _deps: CommitQueueDependencies;
  private readonly _revisions = new Map<string, number>();
  private readonly _pending = new Map<string, (() => void)[]>();
  private _isRunning = false;
  private _isClosed = false;
  private _confirmedAt: number;
  private _retryMs = INITIAL_RETRY_MS;
  private _isFailing = false;

  /**
   * Creates a queue.
   * @param deps - What it needs.
   * @param revisions - Revisions of the jobs' keys as they were read after the claim.
   */
  constructor(deps: CommitQueueDependencies, revisions: ReadonlyMap<string, number>) {
    this._deps = deps;
    this._confirmedAt = deps.clock.now();
    revisions.forEach((revision, job) => this._revisions.set(job, revision));
  }

  /** When the last transaction that succeeded was sent, on the monotonic clock. */
  get confirmedAt(): number {
    return this._confirmedAt;
  }

  /** Whether the store has not taken the last transaction yet. */
  get isFailing(): boolean {
    return this._isFailing;
  }

  /**
   * Has a job written.
   * @param job - Id of the job.
   * @param onCommitted - Called once what the job is now has been written.
   */
  enqueue(job: string, onCommitted?: () => void): void {
    const effects = this._pending.get(job) ?? [];
    this._pending.set(job, onCommitted === undefined ? effects : [...effects, onCommitted]);
    if (!this._isRunning && !this._isClosed) {
      this._isRunning = true;
      void this._run();
    }
  }

  /**
   * Forgets a job whose keys are gone.
   * @param job - Id of the job.
   */
  removeJob(job: string): void {
    this._revisions.delete(job);
    this._pending.delete(job);
  }

  /** Stops writing; a transaction under way has no effect here. */
  close(): void {
    this._isClosed = true;
  }

  private async _run(): Promise<void> {
    // What the same turn of the loop still adds goes into the same transaction.
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
    const { getKey, getValue } = this._deps;
    const jobs = [...this._pending.keys()].slice(0, MAX_JOBS_PER_TRANSACTION);
    const effects = jobs.flatMap((job) => this._pending.get(job) ?? []);
    jobs.forEach((job) => this._pending.delete(job));
    const writes = jobs.map((job) => ({
      key: getKey(job),
      value: getValue(job),
      expected: this._revisions.get(job) ?? 0,
    }));
    return { jobs, writes, callbacks: effects };
  }

  private async _write(batch: Batch): Promise<void> {
    const { store, clock, schedulerKey, epoch } = this._deps;
    while (!this._isClosed) {
      const sentAt = clock.now();
      const checks = [{ key: schedulerKey, expected: epoch }];
      const result = await store.transact({ checks, writes: batch.writes });
      if (result.isOk()) {
        this._handleResult(batch, sentAt, result.value);
        return;
      }
      await this._waitAfterFailure(result.error.detail);
    }
  }

  private _handleResult(batch: Batch, sentAt: number, result: TransactionResult): void {
    if (result.kind === "written") {
      this._completeBatch(batch, sentAt, () => result.revision);
    } else {
      this._handleConflict(batch, sentAt, result.current);
    }
  }

  /** An earlier try of the same transaction may have been carried out. */
  private _handleConflict(batch: Batch, sentAt: number, current: readonly StoreEntry[]): void {
    const { schedulerKey, epoch, log, onSuperseded: onDeposed } = this._deps;
    const byKey = new Map(current.map((entry) => [entry.key, entry]));
    const isNamed = byKey.get(schedulerKey)?.revision === epoch;
    const isWritten = batch.writes.every((write) => byKey.get(write.key)?.value === write.value);
    if (isNamed && isWritten) {
      this._completeBatch(batch, sentAt, (key) => byKey.get(key)?.revision ?? 0);
      return;
    }
    if (isNamed) {
      log.error("The store holds progress that this scheduler did not write.", {
        keys: batch.writes.map((write) => write.key).join(" "),
      });
    }
    this.close();
    onDeposed();
  }

  private _completeBatch(batch: Batch, sentAt: number, getRevision: (key: string) => number): void {
    if (this._isClosed) {
      return;
    }
    this._retryMs = INITIAL_RETRY_MS;
    this._isFailing = false;
    this._confirmedAt = Math.max(this._confirmedAt, sentAt);
    batch.writes.forEach((write, position) => {
      const job = batch.jobs[position] ?? "";
      const revision = getRevision(write.key);
      this._revisions.set(job, revision);
      this._deps.onWritten(job, write.value, revision);
    });
    batch.callbacks.forEach((effect) => {
      effect();
    });
  }

  private async _waitAfterFailure(reason: string): Promise<void> {
    if (!this._isFailing) {
      this._deps.log.warn("The store does not take progress.", { reason });
    }
    this._isFailing = true;
    await this._deps.clock.sleep(this._retryMs);
    this._retryMs = Math.min(2 * this._retryMs, MAX_RETRY_MS);
  }
}
