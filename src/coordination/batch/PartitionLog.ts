/**
 * Log of a partition as its owner writes it. Records are batched for a short interval and committed
 * together, one write at a time. Each write claims the slot of the next sequence number by
 * compare-and-swap; a writer that finds another writer's value there has been superseded. If the
 * response to a write is lost, the write is retried: the slot then holds this writer's nonce, is
 * still free, or belongs to another writer.
 */
import { err, ok, type Result } from "neverthrow";
import type { Clock, Timer } from "../../protocol/platform/Clock.ts";
import type { Store, StoreEntry, WriteResult } from "../../protocol/platform/Store.ts";
import type { BatchRecord, LogValue } from "../../state/batch/BatchRecord.ts";
import { getLogKey, LOG_SLOTS } from "../../state/batch/LogKeys.ts";
import type { PartitionLedger } from "../../state/batch/PartitionLedger.ts";
import type { LoadedPartition } from "./PartitionReader.ts";
import { SnapshotWriter } from "./SnapshotWriter.ts";

const MAX_VALUE_BYTES = 900_000;
const RETRY_MIN_MS = 50;
const RETRY_MAX_MS = 2_000;
/** Factor by which urgent records are committed sooner, down to the minimum interval below. */
const URGENT_INTERVAL_DIVISOR = 5;
const MIN_URGENT_INTERVAL_MS = 25;
const SNAPSHOT_AFTER_VALUES = LOG_SLOTS / 2;
const SNAPSHOT_AFTER_BYTES = 8_000_000;

/**
 * Why records were not committed. With "deposed" (another owner has superseded this one, or the log
 * was closed while the outcome of a write was unknown) they may be in the log if the response to an
 * earlier attempt was lost; otherwise they certainly are not.
 */
export type AppendFailure = "unavailable" | "deposed" | "closed";

/** Dependencies of a log. */
export interface PartitionLogDependencies {
  readonly store: Store;
  readonly clock: Clock;
  readonly partition: number;
  /** Identity of the writing process; never reused by another process. */
  readonly writer: string;
  readonly commitIntervalMs: number;
  /** Called once when another owner has superseded this one. */
  readonly onSuperseded: () => void;
  /** Called with the records of each commit. */
  readonly onCommitted?: ((records: readonly BatchRecord[]) => void) | undefined;
}

/** Number of commits, bytes and records that a log has written. */
export interface PartitionLogCounts {
  readonly commits: number;
  readonly bytes: number;
  readonly records: number;
}

interface PendingAppend {
  readonly records: readonly BatchRecord[];
  readonly text: string;
  readonly resolve: (result: Result<void, AppendFailure>) => void;
}

/** Writes the log of one partition. */
export class PartitionLog {
  private readonly _deps: PartitionLogDependencies;
  private readonly _loaded: LoadedPartition;
  private readonly _epoch: number;
  private readonly _snapshots: SnapshotWriter;
  private readonly _slotRevisions = new Map<number, number>();
  private _nextSequence: number;
  private _queue: PendingAppend[] = [];
  private _urgent = false;
  private _writing = false;
  private _timer: Timer | undefined;
  private _failure: AppendFailure | undefined;
  private _failing = false;
  private _lastWriteAt = Number.NEGATIVE_INFINITY;
  private _confirmedAt: number;
  private _bytesSinceSnapshot = 0;
  private _snapshotting = false;
  private _counts = { commits: 0, bytes: 0, records: 0 };

  /**
   * Creates a log that continues after the last value of a partition.
   * @param deps - Its dependencies.
   * @param loaded - The partition as it was loaded.
   */
  constructor(deps: PartitionLogDependencies, loaded: LoadedPartition) {
    this._deps = deps;
    this._loaded = loaded;
    this._epoch = loaded.ledger.epoch + 1;
    this._nextSequence = loaded.nextSequence;
    this._slotRevisions.set(loaded.nextSequence % LOG_SLOTS, loaded.nextRevision);
    this._confirmedAt = deps.clock.now();
    this._snapshots = new SnapshotWriter({
      store: deps.store,
      partition: deps.partition,
      epoch: this._epoch,
      head: loaded.head,
      headRevision: loaded.headRevision,
    });
  }

  /** State of the jobs and tasks after the committed records. */
  get ledger(): PartitionLedger {
    return this._loaded.ledger;
  }

  /** Epoch under which this log is written. */
  get epoch(): number {
    return this._epoch;
  }

  /** When the last confirmed write was first sent, on the monotonic clock. */
  get confirmedAt(): number {
    return this._confirmedAt;
  }

  /** Whether the last write failed or its outcome is unknown. */
  get isFailing(): boolean {
    return this._failing;
  }

  /** Counters since the log was created. */
  get counts(): PartitionLogCounts {
    return this._counts;
  }

  /** Whether no records are queued or being written. */
  get isIdle(): boolean {
    return this._queue.length === 0 && !this._writing;
  }

  /**
   * Appends records. They are committed together and applied to the ledger before the result
   * resolves.
   * @param records - The records; an empty list tests whether the store accepts writes.
   * @param urgent - Whether to commit sooner than usual.
   */
  append(records: readonly BatchRecord[], urgent = false): Promise<Result<void, AppendFailure>> {
    if (this._failure !== undefined) {
      return Promise.resolve(err(this._failure));
    }
    const text = records.map((record) => JSON.stringify(record)).join(",");
    this._urgent ||= urgent;
    const result = new Promise<Result<void, AppendFailure>>((resolve) => {
      this._queue.push({ records, text, resolve });
    });
    this._schedule();
    return result;
  }

  /** Closes the log. Records whose write has not started are rejected. */
  close(): void {
    this._stop("closed");
  }

  private _schedule(): void {
    if (this._writing || this._queue.length === 0 || this._failure !== undefined) {
      return;
    }
    const { clock, commitIntervalMs } = this._deps;
    const urgentMs = Math.max(commitIntervalMs / URGENT_INTERVAL_DIVISOR, MIN_URGENT_INTERVAL_MS);
    const interval = this._urgent ? Math.min(urgentMs, commitIntervalMs) : commitIntervalMs;
    this._timer?.cancel();
    const delay = Math.max(0, this._lastWriteAt + interval - clock.now());
    this._timer = clock.after(delay, () => {
      this._timer = undefined;
      void this._commit();
    });
  }

  private async _commit(): Promise<void> {
    if (this._writing || this._queue.length === 0 || this._failure !== undefined) {
      return;
    }
    this._writing = true;
    const batch = this._dequeueBatch();
    const result = await this._write(batch);
    this._writing = false;
    if (result.isOk()) {
      this._apply(batch);
    }
    batch.forEach((pending) => {
      pending.resolve(result);
    });
    if (result.isErr() && result.error === "deposed") {
      this._stop("deposed");
      this._deps.onSuperseded();
    }
    this._schedule();
  }

  private _dequeueBatch(): readonly PendingAppend[] {
    let bytes = 0;
    const end = this._queue.findIndex((pending, index) => {
      bytes += Buffer.byteLength(pending.text) + 1;
      return index > 0 && bytes > MAX_VALUE_BYTES;
    });
    const batch = this._queue.slice(0, end < 0 ? undefined : end);
    this._queue = end < 0 ? [] : this._queue.slice(end);
    this._urgent &&= this._queue.length > 0;
    return batch;
  }

  private async _write(batch: readonly PendingAppend[]): Promise<Result<void, AppendFailure>> {
    const sequence = this._nextSequence;
    const nonce = `${this._deps.writer}/${this._epoch}/${sequence}`;
    const records = batch
      .map((pending) => pending.text)
      .filter((text) => text !== "")
      .join(",");
    const value = `{"sequence":${sequence},"epoch":${this._epoch},"nonce":${JSON.stringify(nonce)},"records":[${records}]}`;
    const result = await this._writeValue(sequence, nonce, value);
    if (result.isOk()) {
      this._counts = {
        commits: this._counts.commits + 1,
        bytes: this._counts.bytes + value.length,
        records: this._counts.records + batch.reduce((sum, { records: r }) => sum + r.length, 0),
      };
      this._bytesSinceSnapshot += value.length;
    }
    return result;
  }

  /** Retries a write until its outcome is certain. */
  private async _writeValue(
    sequence: number,
    nonce: string,
    value: string,
  ): Promise<Result<void, AppendFailure>> {
    const { clock, store, partition } = this._deps;
    const key = getLogKey(partition, sequence);
    /** When the first attempt that may have been executed was sent. */
    let inDoubtSince: number | undefined;
    for (let delay = RETRY_MIN_MS; ; delay = Math.min(delay * 2, RETRY_MAX_MS)) {
      const expected = await this._getSlotRevision(sequence);
      if (expected === "deposed") {
        return err("deposed");
      }
      const sentAt = clock.now();
      this._lastWriteAt = sentAt;
      if (expected !== "unknown") {
        const written = await store.write({ key, value, expected });
        if (written.isOk()) {
          // Another owner may have taken over between the attempt that was executed and this one.
          const confirmedAt = written.value.kind === "written" ? sentAt : (inDoubtSince ?? sentAt);
          return this._handleWriteResult(written.value, sequence, nonce, confirmedAt);
        }
        inDoubtSince ??= written.error.mayHaveWritten ? sentAt : undefined;
      }
      this._failing = true;
      if (inDoubtSince === undefined) {
        return err("unavailable");
      }
      if (this._failure !== undefined) {
        return err("deposed");
      }
      await clock.sleep(delay);
    }
  }

  private _handleWriteResult(
    result: WriteResult,
    sequence: number,
    nonce: string,
    confirmedAt: number,
  ): Result<void, AppendFailure> {
    const revision =
      result.kind === "written"
        ? result.revision
        : PartitionLog._findOwnRevision(result.current, nonce);
    if (revision === undefined) {
      return err("deposed");
    }
    this._failing = false;
    this._confirmedAt = confirmedAt;
    this._slotRevisions.set(sequence % LOG_SLOTS, revision);
    this._nextSequence = sequence + 1;
    return ok();
  }

  /**
   * Gets the revision that the slot must have; reads the slot if this writer has not written it
   * yet.
   */
  private async _getSlotRevision(sequence: number): Promise<number | "unknown" | "deposed"> {
    if (sequence - this._snapshots.sequence > LOG_SLOTS) {
      // The slot still holds a value that no snapshot contains.
      void this._writeSnapshot();
      return "unknown";
    }
    const known = this._slotRevisions.get(sequence % LOG_SLOTS);
    if (known !== undefined) {
      return known;
    }
    const entry = await this._deps.store.read(getLogKey(this._deps.partition, sequence));
    if (entry.isErr()) {
      return "unknown";
    }
    if (entry.value !== undefined && PartitionLog._parse(entry.value).sequence >= sequence) {
      return "deposed";
    }
    const revision = entry.value?.revision ?? 0;
    this._slotRevisions.set(sequence % LOG_SLOTS, revision);
    return revision;
  }

  private _apply(batch: readonly PendingAppend[]): void {
    const sequence = this._nextSequence - 1;
    const records = batch.flatMap((pending) => pending.records);
    records.forEach((record) => {
      this.ledger.apply(record, this._epoch, sequence);
    });
    this._deps.onCommitted?.(records);
    const due =
      sequence - this._snapshots.sequence >= SNAPSHOT_AFTER_VALUES ||
      this._bytesSinceSnapshot > Math.max(SNAPSHOT_AFTER_BYTES, 2 * this._snapshots.bytes);
    if (due) {
      void this._writeSnapshot();
    }
  }

  private async _writeSnapshot(): Promise<void> {
    if (this._snapshotting || this._failure !== undefined) {
      return;
    }
    this._snapshotting = true;
    const bytes = this._bytesSinceSnapshot;
    const written = await this._snapshots.write(this.ledger, this._nextSequence - 1);
    if (written) {
      this._bytesSinceSnapshot -= bytes;
    }
    this._snapshotting = false;
  }

  private _stop(failure: AppendFailure): void {
    this._failure ??= failure;
    this._timer?.cancel();
    const rejected = this._queue;
    this._queue = [];
    rejected.forEach((pending) => {
      pending.resolve(err(failure));
    });
  }

  private static _findOwnRevision(
    current: StoreEntry | undefined,
    nonce: string,
  ): number | undefined {
    return current !== undefined && PartitionLog._parse(current).nonce === nonce
      ? current.revision
      : undefined;
  }

  private static _parse(entry: StoreEntry): LogValue {
    return JSON.parse(entry.value) as LogValue;
  }
}
