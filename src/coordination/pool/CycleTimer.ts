/**
 * Timer of a scheduler's cycles: events ask for a cycle within a delay, and one cycle handles all
 * events up to it.
 */
import type { Clock, Timer } from "../../protocol/platform/Clock.ts";

/** Timer of the cycles of one scheduler. */
export class CycleTimer {
  private readonly _clock: Clock;
  private readonly _runCycle: () => void;
  private _timer: Timer | undefined;
  /** When the next cycle is due, on the monotonic clock, in milliseconds. */
  private _dueAt = Number.POSITIVE_INFINITY;
  private _isStopped = false;

  /**
   * Creates a timer; no cycle is due.
   * @param clock - The clock.
   * @param runCycle - Called when a cycle is due.
   */
  constructor(clock: Clock, runCycle: () => void) {
    this._clock = clock;
    this._runCycle = runCycle;
  }

  /**
   * Schedules a cycle, unless one is due by then.
   * @param delayMs - Delay of the cycle, in milliseconds.
   */
  schedule(delayMs: number): void {
    const dueAt = this._clock.now() + delayMs;
    if (this._isStopped || this._dueAt <= dueAt) {
      return;
    }
    this._dueAt = dueAt;
    this._timer?.cancel();
    this._timer = this._clock.after(delayMs, () => {
      this._dueAt = Number.POSITIVE_INFINITY;
      this._runCycle();
    });
  }

  /** Runs no more cycles. */
  stop(): void {
    this._isStopped = true;
    this._timer?.cancel();
  }
}
