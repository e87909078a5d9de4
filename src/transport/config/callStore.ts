/**
 * Store calls with a time limit of this process, for connections that hang.
 */
import { err, ResultAsync, type Result } from "neverthrow";
import type { Clock } from "../../protocol/platform/Clock.ts";
import type { StoreFailure } from "../../protocol/platform/Store.ts";

/**
 * Waits for a store call; the failure of a call that took too long may have written.
 * @param call - The call.
 * @param clock - Clock that limits it.
 * @param timeoutMs - Time limit in milliseconds.
 */
export function callStore<T>(
  call: ResultAsync<T, StoreFailure>,
  clock: Clock,
  timeoutMs: number,
): ResultAsync<T, StoreFailure> {
  const limited = new Promise<Result<T, StoreFailure>>((resolve) => {
    const timeoutFailure: StoreFailure = {
      kind: "timeout",
      mayHaveWritten: true,
      detail: "no answer in time",
    };
    const timer = clock.after(timeoutMs, () => {
      resolve(err(timeoutFailure));
    });
    void call.then((result) => {
      timer.cancel();
      resolve(result);
    });
  });
  return new ResultAsync(limited);
}
