/**
 * Checks whether a confirmation by the store is recent enough to act on. The monotonic clock does
 * not advance while the machine is suspended, but the time of day does. If the two diverge, only a
 * confirmation requested afterwards counts.
 */
import type { Clock } from "../../protocol/platform/Clock.ts";

/** Divergence of the two clocks that counts as a suspension, in milliseconds. */
const MIN_SUSPENSION_MS = 300;

/** Checks the age of confirmations and detects suspensions of the machine. */
export class ConfirmationGuard {
  private readonly _clock: Clock;
  private readonly _getTimeOfDay: () => number;
  private _offsetMs: number;
  private _resumedAt = Number.NEGATIVE_INFINITY;

  /**
   * Creates a guard.
   * @param clock - Monotonic clock.
   * @param getTimeOfDay - Gets the time of day in Unix milliseconds.
   */
  constructor(clock: Clock, getTimeOfDay: () => number) {
    this._clock = clock;
    this._getTimeOfDay = getTimeOfDay;
    this._offsetMs = getTimeOfDay() - clock.now();
  }

  /**
   * Returns whether a confirmation is younger than a maximum age.
   * @param requestedAt - When it was requested, on the monotonic clock, in milliseconds.
   * @param maxAgeMs - Maximum age, in milliseconds.
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
