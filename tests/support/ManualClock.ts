/**
 * Clock for tests: time stands still until the test advances it.
 */
import { Clock } from "../../src/protocol/platform/Clock.ts";
import type { Timer } from "../../src/protocol/platform/Clock.ts";

interface PendingTimer {
  readonly dueAt: number;
  readonly order: number;
  readonly callback: () => void;
}

/** Clock that only a test moves. */
export class ManualClock extends Clock {
  private readonly _timers = new Set<PendingTimer>();
  private _now: number;
  private _order = 0;

  /**
   * Creates a clock.
   * @param now - Time at the start, in milliseconds.
   */
  constructor(now = 0) {
    super();
    this._now = now;
  }

  /** Number of timers that wait. */
  get pendingTimers(): number {
    return this._timers.size;
  }

  override now(): number {
    return this._now;
  }

  override after(delayMs: number, callback: () => void): Timer {
    const timer = { dueAt: this._now + Math.max(0, delayMs), order: this._order, callback };
    this._order += 1;
    this._timers.add(timer);
    return {
      cancel: () => {
        this._timers.delete(timer);
      },
    };
  }

  /**
   * Moves the time on; timers fire in their order, and what they started is run in between.
   * @param durationMs - By how much, in milliseconds.
   */
  async advance(durationMs: number): Promise<void> {
    const end = this._now + durationMs;
    await ManualClock.settle();
    for (let timer = this._next(end); timer !== undefined; timer = this._next(end)) {
      this._timers.delete(timer);
      this._now = Math.max(this._now, timer.dueAt);
      timer.callback();
      await ManualClock.settle();
    }
    this._now = Math.max(this._now, end);
  }

  /**
   * Moves the time on without firing timers, as for a process that was paused; the timers that
   * have become due fire with the next advance.
   * @param durationMs - By how much, in milliseconds.
   */
  pause(durationMs: number): void {
    this._now += durationMs;
  }

  /** Runs everything that waits on settled promises. */
  static async settle(): Promise<void> {
    await new Promise<void>((resolve) => setImmediate(resolve));
  }

  private _next(end: number): PendingTimer | undefined {
    return [...this._timers]
      .filter((timer) => timer.dueAt <= end)
      .sort((a, b) => a.dueAt - b.dueAt || a.order - b.order)
      .at(0);
  }
}
