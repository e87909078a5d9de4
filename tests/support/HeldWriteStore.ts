/**
 * A store whose writes can be held back: the caller gets a time-out, and the write lands when the
 * test says so.
 */
import { errAsync, type ResultAsync } from "neverthrow";
import type { StoreFailure, StoreWrite, WriteResult } from "../../src/protocol/platform/Store.ts";
import { MemoryStore } from "../../standins/store/MemoryStore.ts";

/** Memory store with writes that land late. */
export class HeldWriteStore extends MemoryStore {
  /** Number of next writes that are held back. */
  holdNext = 0;
  private readonly _held: StoreWrite[] = [];

  /** Lets the writes that were held back land, in their order. */
  land(): readonly WriteResult["kind"][] {
    return this._held.splice(0).map((write) => {
      const result = this.model.write(write);
      return result.kind === "written" ? "written" : "conflict";
    });
  }

  override write(write: StoreWrite): ResultAsync<WriteResult, StoreFailure> {
    if (this.holdNext === 0) {
      return super.write(write);
    }
    this.holdNext -= 1;
    this._held.push(write);
    return errAsync({ kind: "timeout", mayHaveWritten: true, detail: "no answer in time" });
  }
}
