/**
 * Clock of the machine.
 */
import { Clock, type Timer } from "../../protocol/platform/Clock.ts";

/** Monotonic clock and timers of Node. */
export class SystemClock extends Clock {
  override now(): number {
    return performance.now();
  }

  override after(delayMs: number, callback: () => void): Timer {
    const handle = setTimeout(callback, delayMs);
    return {
      cancel: () => {
        clearTimeout(handle);
      },
    };
  }
}
