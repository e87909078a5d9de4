/**
 * State of the key that names a pool's scheduler, as an entry last learned it. Changes, listings
 * and responses reach the entry in any order; what is older than the known state is ignored.
 */
import type { StoreChange, StoreEntry } from "../../protocol/platform/Store.ts";
import { parseSchedulerRecord, type SchedulerRecord } from "../../state/pool/records.ts";

/** Known state of the key of a pool's scheduler. */
export class SchedulerKeyState {
  private _exists = false;
  private _record: SchedulerRecord | undefined;
  private _revision = 0;
  private _version = 0;

  /** Whether the key exists. */
  get exists(): boolean {
    return this._exists;
  }

  /** Value of the key; undefined if the key is absent or its value cannot be parsed. */
  get record(): SchedulerRecord | undefined {
    return this._record;
  }

  /** Revision of the last write to the key, or one at which it was absent. */
  get revision(): number {
    return this._revision;
  }

  /** Number of states learned so far; noted when a read is sent. */
  get version(): number {
    return this._version;
  }

  /**
   * Applies a change or a value that was read.
   * @param change - The change.
   * @returns Whether it is newer than the known state.
   */
  applyChange({ value, revision }: StoreChange): boolean {
    if (revision <= this._revision) {
      return false;
    }
    this._set(value, revision);
    return true;
  }

  /**
   * Applies a listing that does not contain the key.
   * @param revision - Revision of the listing.
   * @returns Whether it is not older than the known state.
   */
  applyAbsence(revision: number): boolean {
    if (revision < this._revision) {
      return false;
    }
    this._set(undefined, revision);
    return true;
  }

  /**
   * Applies the key as the store returned it to a call.
   * @param entry - The key; undefined if it is absent. Absence has no revision here: if another
   * state has become known since the call was sent, it may be the older of the two.
   * @param sentVersion - Version of the state when the call was sent.
   */
  applyRead(entry: StoreEntry | undefined, sentVersion: number): void {
    if (entry !== undefined) {
      this.applyChange(entry);
    } else if (sentVersion === this._version) {
      this._set(undefined, this._revision);
    }
  }

  private _set(value: string | undefined, revision: number): void {
    this._exists = value !== undefined;
    this._record =
      value === undefined ? undefined : parseSchedulerRecord(value).unwrapOr(undefined);
    this._revision = revision;
    this._version += 1;
  }
}
