/**
 * A store whose writes can be held back: the caller gets a time-out, and the write lands when the
 * test says so.
 */
import { errAsync, type ResultAsync } from "neverthrow";
import type { StoreFailure, StoreWrite, WriteResult } from "../../src/protocol/platform/Store.ts";
import { MemoryStore } from "../../standins/store/MemoryStore.ts";

/** Memory store with writes that land late. */
export class DelayedWriteStore extends MemoryStore {
  /** Number of next writes that are held back. */
  delayNextWrites = 0;
  private readonly _delayed: StoreWrite[] = [];

  /** Lets the writes that were held back land, in their order. */
  applyDelayedWrites(): readonly WriteResult["kind"][] {
    return this._delayed.splice(0).map((write) => {
      const result = this.model.write(write);
      return result.kind === "written" ? "written" : "conflict";
    });
  }

  override write(write: StoreWrite): ResultAsync<WriteResult, StoreFailure> {
    if (this.delayNextWrites === 0) {
      return super.write(write);
    }
    this.delayNextWrites -= 1;
    this._delayed.push(write);
    return errAsync({ kind: "timeout", mayHaveWritten: true, detail: "no answer in time" });
  }
}
