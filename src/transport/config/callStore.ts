/**
 * Store calls with a timeout in this process, for connections that hang.
 */
import { err, ResultAsync, type Result } from "neverthrow";
import type { Clock } from "../../protocol/platform/Clock.ts";
import type { StoreFailure } from "../../protocol/platform/Store.ts";

/**
 * Waits for a store call; after the timeout, the failure says that the call may have written.
 * @param call - Store call.
 * @param clock - Clock of the timeout.
 * @param timeoutMs - Timeout in milliseconds.
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
      detail: "no response in time",
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
