/**
 * Bounds the wait for a result by a deadline. The work that produces the result is not stopped.
 */
import type { Clock } from "./Clock.ts";

/**
 * Waits for a result, at most until a deadline.
 * @param clock - Clock of the deadline.
 * @param deadline - Time on the monotonic clock, in milliseconds.
 * @param result - The result; it must not be undefined.
 * @returns The result, or undefined if there is none by the deadline.
 */
export async function waitUntil<T>(
  clock: Clock,
  deadline: number,
  result: PromiseLike<T>,
): Promise<T | undefined> {
  const timeout = Promise.withResolvers<undefined>();
  const timer = clock.after(deadline - clock.now(), () => {
    timeout.resolve(undefined);
  });
  try {
    return await Promise.race([result, timeout.promise]);
  } finally {
    timer.cancel();
  }
}
