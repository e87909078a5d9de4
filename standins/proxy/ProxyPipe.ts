/**
 * One direction of a proxied connection: bytes pass in order, late, held back, thrown away or up to
 * a cut.
 */
import type { Socket } from "node:net";
import type { Clock, Timer } from "../../src/protocol/platform/Clock.ts";
import type { ProxyFaults } from "./ProxyFaults.ts";

/** Bytes that wait in the proxy before it stops to read. */
const MAX_QUEUED_BYTES = 1_048_576;

/** What a pipe needs. */
export interface ProxyPipeOptions {
  readonly clock: Clock;
  readonly direction: "up" | "down";
  readonly source: Socket;
  readonly target: Socket;
  /** Gives the faults in force. */
  readonly getFaults: () => ProxyFaults;
  /** Whether the cut after a number of bytes applies to the connection. */
  readonly mayCut: boolean;
  /** Cuts the connection. */
  readonly cut: () => void;
}

interface QueuedChunk {
  /** Bytes; undefined for the end of the direction. */
  readonly bytes: Buffer | undefined;
  readonly dueAt: number;
}

/** One direction of a connection. */
export class ProxyPipe {
  private readonly _options: ProxyPipeOptions;
  private _queue: readonly QueuedChunk[] = [];
  private _queuedBytes = 0;
  private _forwardedBytes = 0;
  private _timer: Timer | undefined;

  /**
   * Creates the pipe and begins to read.
   * @param options - What it needs.
   */
  constructor(options: ProxyPipeOptions) {
    this._options = options;
    options.source.on("data", (bytes: Buffer) => {
      this._enqueue(bytes);
    });
    options.source.on("end", () => {
      this._enqueue(undefined);
    });
    options.target.on("drain", () => {
      this.pump();
    });
  }

  /** Bytes that passed. */
  get forwardedBytes(): number {
    return this._forwardedBytes;
  }

  /** Passes on what may pass under the faults in force. */
  pump(): void {
    this._timer?.cancel();
    const { hold } = this._options.getFaults();
    while (!this._applies(hold) && !this._options.target.writableNeedDrain) {
      const item = this._queue[0];
      if (item === undefined) {
        break;
      }
      if (item.dueAt > this._options.clock.now()) {
        this._pumpAt(item.dueAt);
        break;
      }
      this._queue = this._queue.slice(1);
      this._forward(item);
    }
    this._limitReading();
  }

  private _enqueue(bytes: Buffer | undefined): void {
    const { clock, direction, getFaults } = this._options;
    const faults = getFaults();
    if (this._applies(faults.drop)) {
      return;
    }
    const delayMs = direction === "up" ? faults.delayUpMs : faults.delayDownMs;
    this._queue = [...this._queue, { bytes, dueAt: clock.now() + delayMs }];
    this._queuedBytes += bytes?.length ?? 0;
    this.pump();
  }

  private _forward(item: QueuedChunk): void {
    const { target } = this._options;
    if (item.bytes === undefined) {
      target.end();
      return;
    }
    this._queuedBytes -= item.bytes.length;
    const left = this._getBytesLeft();
    const part = item.bytes.subarray(0, left);
    this._forwardedBytes += part.length;
    if (part.length === item.bytes.length) {
      target.write(part);
    } else {
      this._cutAfter(part);
    }
  }

  private _cutAfter(part: Buffer): void {
    const { target, cut } = this._options;
    this._queue = [];
    if (part.length === 0) {
      cut();
    } else {
      target.write(part, cut);
    }
  }

  private _getBytesLeft(): number {
    const { direction, mayCut, getFaults } = this._options;
    const { cutAfterUpBytes, cutAfterDownBytes } = getFaults();
    const limit = direction === "up" ? cutAfterUpBytes : cutAfterDownBytes;
    return limit === null || !mayCut ? Infinity : Math.max(0, limit - this._forwardedBytes);
  }

  private _applies(fault: ProxyFaults["hold"]): boolean {
    return fault === "both" || fault === this._options.direction;
  }

  private _pumpAt(dueAt: number): void {
    const { clock } = this._options;
    this._timer = clock.after(dueAt - clock.now(), () => {
      this.pump();
    });
  }

  private _limitReading(): void {
    const { source } = this._options;
    if (this._queuedBytes > MAX_QUEUED_BYTES) {
      source.pause();
    } else {
      source.resume();
    }
  }
}
