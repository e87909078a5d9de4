/**
 * Waits for states of other processes, which only polling shows.
 */

const INTERVAL_MS = 50;

/**
 * Waits until a condition holds; throws after a while.
 * @param description - What is waited for, for the error.
 * @param timeoutMs - Longest wait, in milliseconds.
 * @param condition - The condition; a failure counts as false.
 */
export async function waitUntil(
  description: string,
  timeoutMs: number,
  condition: () => Promise<boolean>,
): Promise<void> {
  const deadline = performance.now() + timeoutMs;
  while (!(await condition().catch(() => false))) {
    if (performance.now() > deadline) {
      throw new Error(`${description}: not within ${timeoutMs} ms`);
    }
    await new Promise((resolve) => setTimeout(resolve, INTERVAL_MS));
  }
}
