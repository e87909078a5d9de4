/**
 * Counts the calls to the store stand-in, for rate limits and reports. A watch counts as one call
 * however long it waits.
 */
import type { Clock } from "../../src/protocol/platform/Clock.ts";

const WINDOW_MS = 1_000;

/** Kind of a call; each kind has its own rate limit. */
export type CallKind = "read" | "write";

/** Number of calls in one second. */
export interface RateWindow {
  readonly reads: number;
  readonly writes: number;
}

/** Numbers of calls since the start or the last reset. */
export interface RateReport {
  readonly elapsedMs: number;
  readonly reads: number;
  readonly writes: number;
  /** Number of calls by operation. */
  readonly operations: Readonly<Record<string, number>>;
  /** Highest number of calls in any second. */
  readonly peak: RateWindow;
  /** Number of calls in the last complete second. */
  readonly last: RateWindow;
}

const NO_CALLS: RateWindow = { reads: 0, writes: 0 };

/** Counter of calls, in windows of one second. */
export class CallRateCounter {
  private readonly _clock: Clock;
  private readonly _operations = new Map<string, number>();
  private _startedAt: number;
  private _windowStart: number;
  private _window = NO_CALLS;
  private _last = NO_CALLS;
  private _peak = NO_CALLS;
  private _total = NO_CALLS;

  /**
   * Creates a counter at zero.
   * @param clock - Clock of the windows.
   */
  constructor(clock: Clock) {
    this._clock = clock;
    this._startedAt = clock.now();
    this._windowStart = this._startedAt;
  }

  /**
   * Counts a call and returns the number of calls of its kind in the current second, including it.
   * @param kind - Kind of the call.
   * @param operation - Name of the operation.
   */
  count(kind: CallKind, operation: string): number {
    this._roll();
    this._operations.set(operation, (this._operations.get(operation) ?? 0) + 1);
    this._window = add(this._window, kind);
    this._total = add(this._total, kind);
    this._peak = getMaximum(this._peak, this._window);
    return kind === "read" ? this._window.reads : this._window.writes;
  }

  /** Gets the numbers since the start or the last reset. */
  report(): RateReport {
    this._roll();
    return {
      elapsedMs: this._clock.now() - this._startedAt,
      ...this._total,
      operations: Object.fromEntries(this._operations),
      peak: this._peak,
      last: this._last,
    };
  }

  /** Resets all numbers to zero. */
  reset(): void {
    this._startedAt = this._clock.now();
    this._windowStart = this._startedAt;
    this._operations.clear();
    this._window = NO_CALLS;
    this._last = NO_CALLS;
    this._peak = NO_CALLS;
    this._total = NO_CALLS;
  }

  private _roll(): void {
    const windows = Math.floor((this._clock.now() - this._windowStart) / WINDOW_MS);
    if (windows === 0) {
      return;
    }
    this._last = windows === 1 ? this._window : NO_CALLS;
    this._window = NO_CALLS;
    this._windowStart += windows * WINDOW_MS;
  }
}

function add(window: RateWindow, kind: CallKind): RateWindow {
  return kind === "read"
    ? { ...window, reads: window.reads + 1 }
    : { ...window, writes: window.writes + 1 };
}

function getMaximum(a: RateWindow, b: RateWindow): RateWindow {
  return { reads: Math.max(a.reads, b.reads), writes: Math.max(a.writes, b.writes) };
}
