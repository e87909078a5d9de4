/**
 * Keeps the log from holding the process up: lines are written in the background, and where their
 * reader is too slow or stuck they are left out and counted. Ordinary lines are left out before
 * warnings and errors; a line says how many were once there is room again.
 */
import type { DestinationStream } from "pino";

/** Share of the pending bytes that ordinary lines may take; the rest is kept for severe ones. */
const ORDINARY_SHARE = 0.5;
/** Share of the pending bytes below which the lines that were left out are reported. */
const REPORT_SHARE = 0.25;
/** Level from which a line is severe, as pino numbers levels. */
const WARN_LEVEL = 40;
/** Tells pino to note the level of each line at the stream. */
const METADATA = Symbol.for("pino.metadata");

/** Where lines go, in the background. */
export interface LineSink {
  write(line: string): unknown;
  /** Reports how many bytes have been written. */
  on(event: "write", listener: (bytes: number) => void): unknown;
}

/** Stream of log lines that never blocks and holds a bounded number of bytes. */
export class BoundedLogStream implements DestinationStream {
  readonly [METADATA] = true;
  /** Level of the line that is written next; set by pino. */
  lastLevel = 0;
  private readonly _sink: LineSink;
  private readonly _maxPendingBytes: number;
  private _pendingBytes = 0;
  private _droppedLines = 0;
  private _droppedSevereLines = 0;

  /**
   * Creates a stream.
   * @param sink - Where lines go.
   * @param maxPendingBytes - Most bytes that wait for the reader.
   */
  constructor(sink: LineSink, maxPendingBytes: number) {
    this._sink = sink;
    this._maxPendingBytes = maxPendingBytes;
    sink.on("write", (bytes) => {
      this._pendingBytes = Math.max(0, this._pendingBytes - bytes);
    });
  }

  /**
   * Writes a line, or leaves it out where too many wait.
   * @param line - The line with its end.
   */
  write(line: string): void {
    this._reportDropped();
    const isSevere = this.lastLevel >= WARN_LEVEL;
    const limit = (isSevere ? 1 : ORDINARY_SHARE) * this._maxPendingBytes;
    if (this._pendingBytes + Buffer.byteLength(line) <= limit) {
      this._send(line);
    } else {
      this._droppedLines += 1;
      this._droppedSevereLines += isSevere ? 1 : 0;
    }
  }

  private _reportDropped(): void {
    const hasFreeSpace = this._pendingBytes <= REPORT_SHARE * this._maxPendingBytes;
    if (this._droppedLines === 0 || !hasFreeSpace) {
      return;
    }
    const report = {
      level: "warn",
      time: new Date().toISOString(),
      lines: this._droppedLines,
      severe: this._droppedSevereLines,
      msg: "log: Lines were left out because their reader was too slow.",
    };
    this._droppedLines = 0;
    this._droppedSevereLines = 0;
    this._send(`${JSON.stringify(report)}\n`);
  }

  private _send(line: string): void {
    this._pendingBytes += Buffer.byteLength(line);
    this._sink.write(line);
  }
}
