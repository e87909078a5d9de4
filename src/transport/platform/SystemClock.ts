/**
 * Clock of the machine.
 */
import { Clock, type Timer } from "../../protocol/platform/Clock.ts";

/** Longest delay of a timer of Node; one that is longer would fire at once. */
const MAX_DELAY_MS = 2 ** 31 - 1;

/** Monotonic clock and timers of Node. */
export class SystemClock extends Clock {
  override now(): number {
    return performance.now();
  }

  override after(delayMs: number, callback: () => void): Timer {
    const handle = setTimeout(callback, Math.min(delayMs, MAX_DELAY_MS));
    return {
      cancel: () => {
        clearTimeout(handle);
      },
    };
  }
}
