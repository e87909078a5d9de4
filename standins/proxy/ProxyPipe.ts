/**
 * One direction of a proxied connection: bytes are forwarded in order, after a delay if one is set.
 * They can also be held back or discarded, and the connection can be reset after a number of bytes.
 */
import type { Socket } from "node:net";
import type { Clock, Timer } from "../../src/protocol/platform/Clock.ts";
import type { ProxyFaults } from "./ProxyFaults.ts";

/** Queued bytes above which the proxy stops reading from the source. */
const MAX_QUEUED_BYTES = 1_048_576;

/** Options of a pipe. */
export interface ProxyPipeOptions {
  readonly clock: Clock;
  readonly direction: "up" | "down";
  readonly source: Socket;
  readonly target: Socket;
  /** Gets the faults in effect. */
  readonly getFaults: () => ProxyFaults;
  /** Whether the limits of bytes apply to the connection. */
  readonly mayCut: boolean;
  /** Resets the connection. */
  readonly cut: () => void;
}

interface QueuedChunk {
  /** Bytes; undefined for the end of the stream. */
  readonly bytes: Buffer | undefined;
  readonly dueAt: number;
}

/** One direction of a proxied connection. */
export class ProxyPipe {
  private readonly _options: ProxyPipeOptions;
  private _queue: readonly QueuedChunk[] = [];
  private _queuedBytes = 0;
  private _forwardedBytes = 0;
  private _timer: Timer | undefined;

  /**
   * Creates the pipe and starts reading from the source.
   * @param options - Options of the pipe.
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

  /** Number of bytes forwarded. */
  get forwardedBytes(): number {
    return this._forwardedBytes;
  }

  /** Forwards the queued bytes that the faults in effect let through. */
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
