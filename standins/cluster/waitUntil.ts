/**
 * Waits for states of other processes, which can only be polled.
 */

const INTERVAL_MS = 50;

/**
 * Polls until a condition holds; throws after a timeout.
 * @param description - Description of the condition, for the error message.
 * @param timeoutMs - Timeout in milliseconds.
 * @param condition - Condition; a rejected promise counts as false.
 */
export async function waitUntil(
  description: string,
  timeoutMs: number,
  condition: () => Promise<boolean>,
): Promise<void> {
  const deadline = performance.now() + timeoutMs;
  while (!(await condition().catch(() => false))) {
    if (performance.now() > deadline) {
      throw new Error(`${description}: condition not met within ${timeoutMs} ms`);
    }
    await new Promise((resolve) => setTimeout(resolve, INTERVAL_MS));
  }
}
