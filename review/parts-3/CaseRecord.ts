/**
 * Record of a case: what was sent, answered and run, one line each, with the time since the start.
 */
import { writeFileSync } from "node:fs";

/** Lines of one case, written to a file at the end. */
export class CaseRecord {
  private readonly _startedAt = performance.now();
  private readonly _lines: string[] = [];

  /** Time since the start of the case, in milliseconds. */
  get now(): number {
    return performance.now() - this._startedAt;
  }

  /**
   * Adds a line.
   * @param text - What happened.
   */
  add(text: string): void {
    this._lines.push(`${(this.now / 1_000).toFixed(3).padStart(8)} s  ${text}`);
  }

  /**
   * Writes the lines.
   * @param file - Path of the file.
   */
  write(file: string): void {
    writeFileSync(file, `${this._lines.join("\n")}\n`);
  }
}
