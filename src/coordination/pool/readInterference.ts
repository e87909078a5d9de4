/**
 * Reads the interference estimates that the last scheduler of a pool has stored.
 */
import type { Log } from "../../protocol/platform/Log.ts";
import type { Store } from "../../protocol/platform/Store.ts";
import { getInterferenceKey } from "../../state/pool/PoolKeys.ts";
import { parseInterferenceRecord, type PairInterference } from "../../state/pool/records.ts";

/**
 * Reads the estimates of a pool. They are optional: without them, interference is estimated anew.
 * @param pool - Name of the pool.
 * @param store - The store.
 * @param log - Log for failures.
 */
export async function readInterference(
  pool: string,
  store: Store,
  log: Log,
): Promise<readonly PairInterference[]> {
  const key = getInterferenceKey(pool);
  const read = await store.read(key);
  if (read.isErr()) {
    log.warn("The interference estimates could not be read; they are made anew.", {
      key,
      reason: read.error.detail,
    });
    return [];
  }
  if (read.value === undefined) {
    return [];
  }
  return parseInterferenceRecord(read.value.value).match(
    ({ pairs }) => pairs,
    ({ detail }) => {
      log.error("A stored value cannot be parsed; it is ignored.", { key, reason: detail });
      return [];
    },
  );
}
