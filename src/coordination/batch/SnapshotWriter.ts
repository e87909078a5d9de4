/**
 * Writes snapshots of a partition, so that the slots of its log can be reused. The chunks are
 * written under a new snapshot id; a compare-and-swap of the head then makes them the current
 * snapshot.
 */
import type { Store } from "../../protocol/platform/Store.ts";
import { getChunkKey, getChunkPrefix, getHeadKey } from "../../state/batch/LogKeys.ts";
import type { JobSnapshot, PartitionLedger } from "../../state/batch/PartitionLedger.ts";
import type { SnapshotHead } from "../../state/batch/SnapshotHead.ts";

const MAX_CHUNK_BYTES = 900_000;

/** Dependencies of a snapshot writer. */
export interface SnapshotWriterDependencies {
  readonly store: Store;
  readonly partition: number;
  readonly epoch: number;
  /** Head of the newest snapshot at the takeover, with its store revision. */
  readonly head: SnapshotHead;
  readonly headRevision: number;
}

/** Writes the snapshots of one partition owner. */
export class SnapshotWriter {
  private readonly _deps: SnapshotWriterDependencies;
  private _head: SnapshotHead;
  private _headRevision: number;
  private _count = 0;
  private _strayChunksRemoved = false;
  private _bytes = 0;

  /**
   * Creates a writer.
   * @param deps - Its dependencies.
   */
  constructor(deps: SnapshotWriterDependencies) {
    this._deps = deps;
    this._head = deps.head;
    this._headRevision = deps.headRevision;
  }

  /** Sequence number of the last log value in the newest snapshot. */
  get sequence(): number {
    return this._head.sequence;
  }

  /** Size of the last snapshot that this owner wrote; 0 if it has written none. */
  get bytes(): number {
    return this._bytes;
  }

  /**
   * Writes a snapshot.
   * @param ledger - The ledger; read synchronously, before the first write.
   * @param sequence - Sequence number of the last log value in the ledger.
   * @returns Whether the snapshot is the current one.
   */
  async write(ledger: PartitionLedger, sequence: number): Promise<boolean> {
    const { store, partition, epoch } = this._deps;
    const chunks = SnapshotWriter._serializeChunks(ledger.getJobSnapshots());
    const snapshot = `${epoch}-${this._count}`;
    const { epochs } = ledger;
    this._count += 1;
    for (const [index, value] of chunks.entries()) {
      const key = getChunkKey(partition, snapshot, index);
      const written = await store.write({ key, value, expected: 0 });
      if (written.isErr() || written.value.kind !== "written") {
        this._strayChunksRemoved = false;
        return false;
      }
    }
    const previous = this._head;
    const replaced = await this._replace({ sequence, snapshot, chunks: chunks.length, epochs });
    if (!replaced) {
      this._strayChunksRemoved = false;
      return false;
    }
    this._bytes = chunks.reduce((sum, chunk) => sum + chunk.length, 0);
    await this._removeOldChunks(previous);
    return true;
  }

  private async _replace(head: SnapshotHead): Promise<boolean> {
    const key = getHeadKey(this._deps.partition);
    const value = JSON.stringify(head);
    const result = await this._deps.store.write({ key, value, expected: this._headRevision });
    if (result.isOk() && result.value.kind === "written") {
      this._setHead(head, result.value.revision);
      return true;
    }
    // The response was lost or a previous owner changed the head: read the current head.
    const current = await this._deps.store.read(key);
    if (current.isErr() || current.value === undefined) {
      return false;
    }
    const found = JSON.parse(current.value.value) as SnapshotHead;
    if (found.sequence >= this._head.sequence) {
      this._setHead(found, current.value.revision);
    }
    return found.snapshot === head.snapshot;
  }

  private _setHead(head: SnapshotHead, revision: number): void {
    this._head = head;
    this._headRevision = revision;
  }

  private async _removeOldChunks(previous: SnapshotHead): Promise<void> {
    const { store, partition } = this._deps;
    const keys = this._strayChunksRemoved
      ? Array.from({ length: previous.chunks }, (_, index) =>
          getChunkKey(partition, previous.snapshot, index),
        )
      : await this._findOldChunks();
    this._strayChunksRemoved = true;
    for (const key of keys) {
      const entry = await store.read(key);
      if (entry.isOk() && entry.value !== undefined) {
        await store.remove(key, entry.value.revision);
      }
    }
  }

  private async _findOldChunks(): Promise<readonly string[]> {
    const { store, partition, epoch } = this._deps;
    const prefix = getChunkPrefix(partition);
    const listing = await store.list(prefix);
    if (listing.isErr()) {
      return [];
    }
    // Chunks of later epochs belong to a later owner and must not be removed.
    return listing.value.entries
      .map((entry) => entry.key)
      .filter((key) => !key.startsWith(`${prefix}${this._head.snapshot}/`))
      .filter((key) => Number.parseInt(key.slice(prefix.length), 10) <= epoch);
  }

  private static _serializeChunks(jobSnapshots: readonly JobSnapshot[]): readonly string[] {
    const chunks: string[][] = [[]];
    let size = 0;
    jobSnapshots.forEach((jobSnapshot) => {
      const text = JSON.stringify(jobSnapshot);
      if (size > 0 && size + text.length > MAX_CHUNK_BYTES) {
        chunks.push([]);
        size = 0;
      }
      chunks.at(-1)?.push(text);
      size += Buffer.byteLength(text) + 1;
    });
    return chunks.map((texts) => `{"images":[${texts.join(",")}]}`);
  }
}
