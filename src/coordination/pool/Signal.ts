/**
 * A notification that ends waits before their timeout.
 */
import type { Clock } from "../../protocol/platform/Clock.ts";

/** Notification that can be raised and waited for repeatedly. */
export class Signal {
  private readonly _clock: Clock;
  private readonly _waiters = new Set<() => void>();

  /**
   * Creates a signal.
   * @param clock - Clock for timeouts.
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
   * Waits until the signal is raised or a timeout has passed.
   * @param timeoutMs - Timeout, in milliseconds; undefined for none.
   */
  async wait(timeoutMs?: number): Promise<void> {
    await new Promise<void>((resolve) => {
      const wake = (): void => {
        timer?.cancel();
        this._waiters.delete(wake);
        resolve();
      };
      const timer = timeoutMs === undefined ? undefined : this._clock.after(timeoutMs, wake);
      this._waiters.add(wake);
    });
  }
}
