/**
 * Lets waits end before their time when something happens.
 */
import type { Clock } from "../../protocol/platform/Clock.ts";

/** Something that can be waited for, again and again. */
export class Signal {
  private readonly _clock: Clock;
  private readonly _waiters = new Set<() => void>();

  /**
   * Creates a signal.
   * @param clock - Clock of the waits.
   */
  constructor(clock: Clock) {
    this._clock = clock;
  }

  /** Ends all waits. */
  raise(): void {
    [...this._waiters].forEach((wake) => {
      wake();
    });
  }

  /**
   * Waits until the signal is raised, or for a time.
   * @param limitMs - Longest wait, in milliseconds; undefined for no limit.
   */
  async wait(limitMs?: number): Promise<void> {
    await new Promise<void>((resolve) => {
      const wake = (): void => {
        timer?.cancel();
        this._waiters.delete(wake);
        resolve();
      };
      const timer = limitMs === undefined ? undefined : this._clock.after(limitMs, wake);
      this._waiters.add(wake);
    });
  }
}
