/**
 * Journal of a stand-in's events with their times, in memory and optionally in a file that outlives
 * the process.
 */
import { appendFileSync } from "node:fs";

/** Journal of entries of one type. */
export class Journal<T> {
  private readonly _file: string | undefined;
  private readonly _entries: T[] = [];

  /**
   * Creates a journal.
   * @param file - Path of a file to append to, with one JSON object per line; undefined for none.
   */
  constructor(file?: string) {
    this._file = file;
  }

  /** Entries so far. */
  get entries(): readonly T[] {
    return this._entries;
  }

  /**
   * Adds an entry.
   * @param entry - The entry.
   */
  add(entry: T): void {
    this._entries.push(entry);
    if (this._file !== undefined) {
      appendFileSync(this._file, `${JSON.stringify(entry)}\n`);
    }
  }
}
