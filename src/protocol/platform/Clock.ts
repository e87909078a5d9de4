/**
 * The clock as the decisions see it: monotonic time and timers, replaceable in tests and benches.
 */

/** Handle of a timer. */
export interface Timer {
  /** Stops the timer; a timer that has fired or is stopped already is left alone. */
  cancel(): void;
}

/** Monotonic clock with timers. */
export abstract class Clock {
  /** Gives the monotonic time in milliseconds, with fractions. */
  abstract now(): number;

  /**
   * Calls back once after a delay.
   * @param delayMs - Delay in milliseconds.
   * @param callback - What to call.
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
