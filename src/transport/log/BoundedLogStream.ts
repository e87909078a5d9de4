/**
 * Keeps the log from blocking the process: lines are written in the background, and if their reader
 * is too slow or stuck they are dropped and counted. Ordinary lines are dropped before warnings and
 * errors. A log line reports the number of dropped lines once there is free space again.
 */
import type { DestinationStream } from "pino";

/** Share of the maximum pending bytes available to ordinary lines; the rest is for severe ones. */
const ORDINARY_SHARE = 0.5;
/** Share of the maximum pending bytes below which dropped lines are reported. */
const REPORT_SHARE = 0.25;
/** Lowest pino level at which a line is severe. */
const WARN_LEVEL = 40;
/** Makes pino set `lastLevel` of the stream before each line. */
const METADATA = Symbol.for("pino.metadata");

/** Writes lines in the background. */
export interface LineSink {
  write(line: string): unknown;
  /** Emits the number of bytes that have been written. */
  on(event: "write", listener: (bytes: number) => void): unknown;
}

/** Stream of log lines that never blocks and buffers a limited number of bytes. */
export class BoundedLogStream implements DestinationStream {
  readonly [METADATA] = true;
  /** Level of the next line; set by pino. */
  lastLevel = 0;
  private readonly _sink: LineSink;
  private readonly _maxPendingBytes: number;
  private _pendingBytes = 0;
  private _droppedLines = 0;
  private _droppedSevereLines = 0;
  private _flushCallbacks: readonly (() => void)[] = [];

  /**
   * Creates a stream.
   * @param sink - Writes the lines.
   * @param maxPendingBytes - Maximum number of bytes that wait for the reader.
   */
  constructor(sink: LineSink, maxPendingBytes: number) {
    this._sink = sink;
    this._maxPendingBytes = maxPendingBytes;
    sink.on("write", (bytes) => {
      this._pendingBytes = Math.max(0, this._pendingBytes - bytes);
      this._callBackIfFlushed();
    });
  }

  /**
   * Waits until no line waits for the reader; called by pino.
   * @param callback - Called then, which may be never if the reader is stuck.
   */
  flush(callback: () => void): void {
    this._flushCallbacks = [...this._flushCallbacks, callback];
    this._callBackIfFlushed();
  }

  /**
   * Writes a line, or drops it if too many bytes wait.
   * @param line - Line with its line break.
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

  private _callBackIfFlushed(): void {
    if (this._pendingBytes > 0) {
      return;
    }
    const callbacks = this._flushCallbacks;
    this._flushCallbacks = [];
    callbacks.forEach((callback) => {
      callback();
    });
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
      msg: "log: Lines were dropped because their reader was too slow.",
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
