/**
 * Clock for tests whose time only changes when the test advances it.
 */
import { Clock } from "../../src/protocol/platform/Clock.ts";
import type { Timer } from "../../src/protocol/platform/Clock.ts";

interface PendingTimer {
  readonly dueAt: number;
  readonly order: number;
  readonly callback: () => void;
}

/** Manually advanced clock. */
export class ManualClock extends Clock {
  private readonly _timers = new Set<PendingTimer>();
  private _now: number;
  private _order = 0;

  /**
   * Creates a clock.
   * @param now - Initial time in milliseconds.
   */
  constructor(now = 0) {
    super();
    this._now = now;
  }

  /** Number of pending timers. */
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
   * Advances the time. Due timers fire in order, and pending promise callbacks run after each.
   * @param durationMs - Time to advance by, in milliseconds.
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
   * Advances the time without firing timers, as for a process that was paused; timers that have
   * become due fire during the next call of advance.
   * @param durationMs - Time to advance by, in milliseconds.
   */
  pause(durationMs: number): void {
    this._now += durationMs;
  }

  /** Lets pending promise callbacks run. */
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
