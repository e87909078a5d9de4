/**
 * Reads which workers get no lease from any scheduler, and until when they may have one, as the
 * former schedulers of a pool have recorded it.
 */
import type { Clock } from "../../protocol/platform/Clock.ts";
import type { Log } from "../../protocol/platform/Log.ts";
import type { Store, StoreEntry } from "../../protocol/platform/Store.ts";
import { getLeaseEndKey } from "../../state/pool/PoolKeys.ts";
import { parseLeaseEndRecord } from "../../state/pool/records.ts";
import type { LeaseEndReceipts } from "./LeaseEndReceipts.ts";
import { MAX_CLOCK_DRIFT } from "./PoolTimings.ts";

/** Delay before a failed read is repeated, in milliseconds. */
const RETRY_MS = 100;

/** The recorded ends of leases as a scheduler finds them. */
export interface KnownLeaseEnds {
  /** Revision of the record; 0 if there is none. */
  readonly revision: number;
  /** By agent: when all leases of its worker have ended, on the monotonic clock, in milliseconds. */
  readonly endsAt: ReadonlyMap<string, number>;
}

/** Dependencies of `readLeaseEnds`. */
export interface LeaseEndReaderDependencies {
  readonly store: Store;
  readonly clock: Clock;
  readonly log: Log;
  readonly receipts: LeaseEndReceipts;
}

/**
 * Reads the record of a pool. It has to be read after the election, when no former scheduler can
 * change it any more.
 * @param pool - Name of the pool.
 * @param deadline - End of the attempts on the monotonic clock, in milliseconds.
 * @param deps - Store, clock, log and receipts.
 * @returns The ends; undefined if the store did not respond by the deadline.
 */
export async function readLeaseEnds(
  pool: string,
  deadline: number,
  deps: LeaseEndReaderDependencies,
): Promise<KnownLeaseEnds | undefined> {
  const { store, clock, log } = deps;
  const key = getLeaseEndKey(pool);
  while (clock.now() < deadline) {
    const read = await store.read(key);
    if (read.isOk()) {
      return read.value === undefined
        ? { revision: 0, endsAt: new Map() }
        : toLeaseEnds(read.value, deps);
    }
    log.warn("The ends of leases could not be read; the call is retried.", {
      ...{ key, reason: read.error.detail },
    });
    await clock.sleep(RETRY_MS);
  }
  return undefined;
}

/** Without a record that can be parsed, nothing is known, and each worker may get leases. */
function toLeaseEnds(
  { key, value, revision }: StoreEntry,
  { log, receipts }: LeaseEndReaderDependencies,
): KnownLeaseEnds {
  const receivedAt = receipts.getReceivedAt(key, revision);
  return parseLeaseEndRecord(value).match(
    ({ agents }) => ({
      revision,
      endsAt: new Map(
        Object.entries(agents).map(([agent, endsInMs]) => [
          agent,
          receivedAt + endsInMs * (1 + MAX_CLOCK_DRIFT),
        ]),
      ),
    }),
    ({ detail }) => {
      log.error("A stored value cannot be parsed; it is ignored.", { key, reason: detail });
      return { revision, endsAt: new Map() };
    },
  );
}
