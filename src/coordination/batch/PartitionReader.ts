/**
 * Loads a partition from the store: its newest snapshot and the log values after it.
 */
import { err, ok, type Result } from "neverthrow";
import type { Store, StoreEntry, StoreFailure } from "../../protocol/platform/Store.ts";
import type { LogValue } from "../../state/batch/BatchRecord.ts";
import { getChunkKey, getHeadKey, getLogKey } from "../../state/batch/LogKeys.ts";
import { PartitionLedger } from "../../state/batch/PartitionLedger.ts";
import {
  EMPTY_HEAD,
  type SnapshotChunk,
  type SnapshotHead,
} from "../../state/batch/SnapshotHead.ts";

const READ_WINDOW = 16;
const MAX_READ_ATTEMPTS = 10;

/** A partition as it was loaded, up to the first free sequence number. */
export interface LoadedPartition {
  readonly ledger: PartitionLedger;
  /** First sequence number that is not in the log. */
  readonly nextSequence: number;
  /** Store revision of the slot of the next sequence number; 0 if the slot is absent. */
  readonly nextRevision: number;
  readonly head: SnapshotHead;
  /** Store revision of the snapshot head; 0 if the head is absent. */
  readonly headRevision: number;
}

type ReadResult = Result<LoadedPartition | "moved", StoreFailure>;

/** Loads a partition from the store. */
export class PartitionReader {
  private readonly _store: Store;
  private readonly _partition: number;

  /**
   * Creates a reader.
   * @param store - The store.
   * @param partition - Number of the partition.
   */
  constructor(store: Store, partition: number) {
    this._store = store;
    this._partition = partition;
  }

  /** Loads the partition; starts again if its owner changed the snapshot meanwhile. */
  async read(): Promise<Result<LoadedPartition, StoreFailure>> {
    for (let attempt = 0; attempt < MAX_READ_ATTEMPTS; attempt += 1) {
      const result = await this._readOnce();
      if (result.isErr()) {
        return err(result.error);
      }
      if (result.value !== "moved") {
        return ok(result.value);
      }
    }
    return err({
      kind: "unavailable",
      mayHaveWritten: false,
      detail: `partition ${this._partition} changed while it was read`,
    });
  }

  private async _readOnce(): Promise<ReadResult> {
    const entry = await this._store.read(getHeadKey(this._partition));
    if (entry.isErr()) {
      return err(entry.error);
    }
    const head =
      entry.value === undefined ? EMPTY_HEAD : (JSON.parse(entry.value.value) as SnapshotHead);
    const ledger = new PartitionLedger();
    const restored = await this._restore(ledger, head);
    if (restored.isErr()) {
      return err(restored.error);
    }
    if (!restored.value) {
      return ok("moved");
    }
    return this._replay(ledger, head, entry.value?.revision ?? 0);
  }

  private async _restore(
    ledger: PartitionLedger,
    head: SnapshotHead,
  ): Promise<Result<boolean, StoreFailure>> {
    const keys = Array.from({ length: head.chunks }, (_, index) =>
      getChunkKey(this._partition, head.snapshot, index),
    );
    ledger.restore(head.epochs, []);
    for (const key of keys) {
      const chunk = await this._store.read(key);
      if (chunk.isErr()) {
        return err(chunk.error);
      }
      if (chunk.value === undefined) {
        return ok(false);
      }
      const { images } = JSON.parse(chunk.value.value) as SnapshotChunk;
      ledger.restore(head.epochs, images);
    }
    return ok(true);
  }

  private async _replay(
    ledger: PartitionLedger,
    head: SnapshotHead,
    headRevision: number,
  ): Promise<ReadResult> {
    for (let windowStart = head.sequence + 1; ; windowStart += READ_WINDOW) {
      const window = await this._readWindow(windowStart);
      if (window.isErr()) {
        return err(window.error);
      }
      for (const [offset, entry] of window.value.entries()) {
        const sequence = windowStart + offset;
        const value = entry === undefined ? undefined : (JSON.parse(entry.value) as LogValue);
        if (value === undefined || value.sequence < sequence) {
          const nextRevision = entry?.revision ?? 0;
          return ok({ ledger, nextSequence: sequence, nextRevision, head, headRevision });
        }
        if (value.sequence > sequence) {
          return ok("moved");
        }
        value.records.forEach((record) => {
          ledger.apply(record, value.epoch, sequence);
        });
      }
    }
  }

  private async _readWindow(
    first: number,
  ): Promise<Result<readonly (StoreEntry | undefined)[], StoreFailure>> {
    const reads = await Promise.all(
      Array.from({ length: READ_WINDOW }, (_, offset) =>
        this._store.read(getLogKey(this._partition, first + offset)),
      ),
    );
    const failed = reads.find((read) => read.isErr());
    if (failed?.isErr() === true) {
      return err(failed.error);
    }
    return ok(reads.map((read) => read._unsafeUnwrap()));
  }
}
