/**
 * In-memory log for tests.
 */
import { Log } from "../../src/protocol/platform/Log.ts";
import type { LogFields } from "../../src/protocol/platform/Log.ts";

/** Line of the log. */
export interface MemoryLogLine {
  readonly part: string;
  readonly level: "debug" | "info" | "warn" | "error";
  readonly sentence: string;
  readonly fields: LogFields;
  /** Time of this process, in milliseconds. */
  readonly at: number;
}

/** In-memory log; logs created with `child` share its lines. */
export class MemoryLog extends Log {
  private readonly _component: string;
  private readonly _lines: MemoryLogLine[];

  /**
   * Creates a log.
   * @param component - Name of the component.
   * @param lines - Array to which lines are added.
   */
  constructor(component = "", lines: MemoryLogLine[] = []) {
    super();
    this._component = component;
    this._lines = lines;
  }

  /** Lines written so far, of all components. */
  get lines(): readonly MemoryLogLine[] {
    return this._lines;
  }

  /** Formats the lines, one in a row, with their times in milliseconds. */
  format(): string {
    return this._lines
      .map(({ at, part, level, sentence, fields }) =>
        [at.toFixed(0), level, part, sentence, JSON.stringify(fields)].join(" "),
      )
      .join("\n");
  }

  override child(name: string): Log {
    return new MemoryLog(name, this._lines);
  }

  override debug(sentence: string, fields: LogFields = {}): void {
    this._add("debug", sentence, fields);
  }

  override info(sentence: string, fields: LogFields = {}): void {
    this._add("info", sentence, fields);
  }

  override warn(sentence: string, fields: LogFields = {}): void {
    this._add("warn", sentence, fields);
  }

  override error(sentence: string, fields: LogFields = {}): void {
    this._add("error", sentence, fields);
  }

  private _add(level: MemoryLogLine["level"], sentence: string, fields: LogFields): void {
    this._lines.push({ part: this._component, level, sentence, fields, at: performance.now() });
  }
}
