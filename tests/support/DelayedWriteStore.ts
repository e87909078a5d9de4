/**
 * Store whose writes can be delayed: the caller gets a timeout, and the write takes effect when the
 * test applies it.
 */
import { errAsync, type ResultAsync } from "neverthrow";
import type { StoreFailure, StoreWrite, WriteResult } from "../../src/protocol/platform/Store.ts";
import { MemoryStore } from "../../standins/store/MemoryStore.ts";

/** Memory store with writes that take effect late. */
export class DelayedWriteStore extends MemoryStore {
  /** Number of further writes to delay. */
  delayNextWrites = 0;
  private readonly _delayed: StoreWrite[] = [];

  /** Applies the delayed writes in order and returns their results. */
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
    return errAsync({
      kind: "timeout",
      mayHaveWritten: true,
      detail: "the store did not respond in time",
    });
  }
}
