/**
 * Record of a case: what was sent, answered and run, one line each, with the time since the start.
 */
import { appendFileSync, writeFileSync } from "node:fs";

/** Appends events to the record file of a case. */
export class CaseRecord {
  private readonly _file: string;
  private readonly _startedAt = performance.now();

  /**
   * Creates an empty record.
   * @param file - Path of the file.
   */
  constructor(file: string) {
    this._file = file;
    writeFileSync(file, "");
  }

  /** Time since the start, in milliseconds. */
  get nowMs(): number {
    return Math.round(performance.now() - this._startedAt);
  }

  /**
   * Adds an event.
   * @param source - Who has seen it: client, platform, operator or a worker.
   * @param text - What was seen.
   */
  add(source: string, text: string): void {
    const line = `${(this.nowMs / 1_000).toFixed(3).padStart(8)} ${source}: ${text}`;
    appendFileSync(this._file, `${line}\n`);
    console.log(line);
  }
}
