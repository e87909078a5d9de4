/**
 * Waits for states of other processes, which only polling shows.
 */

const INTERVAL_MS = 50;

/**
 * Waits until a condition holds; throws after a while.
 * @param what - What is waited for, for the error.
 * @param timeoutMs - Longest wait, in milliseconds.
 * @param holds - The condition; a failure counts as false.
 */
export async function waitUntil(
  what: string,
  timeoutMs: number,
  holds: () => Promise<boolean>,
): Promise<void> {
  const deadline = performance.now() + timeoutMs;
  while (!(await holds().catch(() => false))) {
    if (performance.now() > deadline) {
      throw new Error(`${what}: not within ${timeoutMs} ms`);
    }
    await new Promise((resolve) => setTimeout(resolve, INTERVAL_MS));
  }
}
