/**
 * Monotonic time and timers, replaceable in tests and benchmarks.
 */

/** Handle of a timer. */
export interface Timer {
  /** Cancels the timer; has no effect where it has fired or is cancelled. */
  cancel(): void;
}

/** Monotonic clock with timers. */
export abstract class Clock {
  /** Gets the monotonic time in milliseconds, with fractions. */
  abstract now(): number;

  /**
   * Calls a function once after a delay.
   * @param delayMs - Delay in milliseconds.
   * @param callback - Function to call.
   */
  abstract after(delayMs: number, callback: () => void): Timer;

  /**
   * Resolves after a delay.
   * @param delayMs - Delay in milliseconds.
   */
  async sleep(delayMs: number): Promise<void> {
    await new Promise<void>((resolve) => {
      this.after(delayMs, resolve);
    });
  }
}
