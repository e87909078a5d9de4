/**
 * Record of a case: what was sent, answered and run, with the time since its start.
 */
import { appendFileSync, writeFileSync } from "node:fs";

/** Record of one case in a file. */
export class CaseRecord {
  private readonly _file: string;
  private readonly _startedAt = performance.now();
  private readonly _last = new Map<string, string>();

  /**
   * Begins the record anew.
   * @param file - Path of the file.
   */
  constructor(file: string) {
    this._file = file;
    writeFileSync(file, "");
  }

  /**
   * Adds a line.
   * @param text - What happened.
   */
  add(text: string): void {
    const seconds = ((performance.now() - this._startedAt) / 1_000).toFixed(2);
    appendFileSync(this._file, `${seconds.padStart(7)} s  ${text}\n`);
  }

  /**
   * Adds a line if the value under its name has changed.
   * @param name - The name.
   * @param value - The value.
   */
  addChange(name: string, value: string): void {
    if (this._last.get(name) !== value) {
      this._last.set(name, value);
      this.add(`${name}: ${value}`);
    }
  }

  /**
   * Adds the first line with a name.
   * @param name - The name.
   * @param value - The value.
   */
  addOnce(name: string, value: string): void {
    if (!this._last.has(name)) {
      this.addChange(name, value);
    }
  }
}
