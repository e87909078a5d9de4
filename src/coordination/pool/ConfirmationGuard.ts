/**
 * Tells whether a confirmation by the store is recent enough to act on. The monotonic clock does
 * not count time in which the machine was suspended, the time of day does; where the two part, only
 * a confirmation asked for afterwards counts.
 */
import type { Clock } from "../../protocol/platform/Clock.ts";

/** Difference between the clocks that is taken for a suspension, in milliseconds. */
const MIN_SUSPENSION_MS = 300;

/** Age of confirmations. */
export class ConfirmationGuard {
  private readonly _clock: Clock;
  private readonly _getTimeOfDay: () => number;
  private _offsetMs: number;
  private _resumedAt = Number.NEGATIVE_INFINITY;

  /**
   * Creates a guard.
   * @param clock - Monotonic clock.
   * @param getTimeOfDay - Gives the time of day in Unix milliseconds.
   */
  constructor(clock: Clock, getTimeOfDay: () => number) {
    this._clock = clock;
    this._getTimeOfDay = getTimeOfDay;
    this._offsetMs = getTimeOfDay() - clock.now();
  }

  /**
   * Tells whether a confirmation is no older than a bound.
   * @param requestedAt - When it was asked for, on the monotonic clock, in milliseconds.
   * @param maxAgeMs - Greatest age, in milliseconds.
   */
  isRecent(requestedAt: number, maxAgeMs: number): boolean {
    const now = this._clock.now();
    const offsetMs = this._getTimeOfDay() - now;
    if (offsetMs - this._offsetMs > MIN_SUSPENSION_MS) {
      this._resumedAt = now;
    }
    this._offsetMs = offsetMs;
    return requestedAt >= this._resumedAt && now - requestedAt < maxAgeMs;
  }
}
