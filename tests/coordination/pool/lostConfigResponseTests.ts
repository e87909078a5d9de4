/**
 * Tests how long a configuration takes to be in effect at an entry if a response of the store is lost.
 */
import { errAsync, ResultAsync } from "neverthrow";
import test from "ava";
import { CONFIG_WATCH_WAIT_MS } from "../../../src/coordination/pool/QueueRegistry.ts";
import { StoreFollower } from "../../../src/coordination/pool/StoreFollower.ts";
import type { StoreChanges, StoreFailure } from "../../../src/protocol/platform/Store.ts";
import { MemoryStore } from "../../../standins/store/MemoryStore.ts";
import { ManualClock } from "../../support/ManualClock.ts";
import { MemoryLog } from "../../support/MemoryLog.ts";
import { SeededRandom } from "../../support/SeededRandom.ts";

const KEY = "op/config";
/** Time for which the platform's store waits by default, in milliseconds. */
const DEFAULT_WAIT_MS = 2_000;
/** Timeout of a call to the store by default, in milliseconds. */
const CALL_TIMEOUT_MS = 1_000;
/** Time within which operators expect a change to be in force everywhere, in milliseconds. */
const MAX_APPLY_MS = 2_000;
const CHANGE_AFTER_MS: readonly number[] = [1, 200, 400, 600, 749];

/** Store of which the responses to watches can be lost. */
class LossyStore extends MemoryStore {
  /** Whether the responses to watches that are sent from now on are lost. */
  isLosing = false;
  private readonly _callerClock: ManualClock;

  constructor(clock: ManualClock) {
    super(clock);
    this._callerClock = clock;
  }

  override watch(
    prefix: string,
    after: number,
    waitMs = DEFAULT_WAIT_MS,
  ): ResultAsync<StoreChanges, StoreFailure> {
    if (!this.isLosing) {
      return super.watch(prefix, after, waitMs);
    }
    const timedOut: StoreFailure = { kind: "timeout", mayHaveWritten: false, detail: "timeout" };
    const timeout = this._callerClock.sleep(waitMs + CALL_TIMEOUT_MS);
    return ResultAsync.fromSafePromise(timeout).andThen(() => errAsync(timedOut));
  }
}

// Guards against a route that is not served in time since one response of the store was lost: the
// entry waited 3 s for it before it asked again.
CHANGE_AFTER_MS.forEach((changeAfterMs) => {
  test(`StoreFollower gets a configuration in time whose response is lost, ${changeAfterMs} ms after its call`, async (t) => {
    const clock = new ManualClock();
    const store = new LossyStore(clock);
    const appliedAt: number[] = [];
    const follower = new StoreFollower({
      ...{ store, clock, random: new SeededRandom(1), log: new MemoryLog() },
      ...{ prefix: KEY, minIntervalMs: 0, watchWaitMs: CONFIG_WATCH_WAIT_MS },
      onListing: () => undefined,
      onChanges: (changes) => {
        appliedAt.push(...changes.map(() => clock.now()));
      },
    });
    store.model.write({ key: KEY, value: "1", expected: 0 });
    store.isLosing = true;
    follower.start();
    await clock.advance(changeAfterMs);
    store.isLosing = false;
    const { revision } = store.model.read(KEY) ?? { revision: 0 };
    store.model.write({ key: KEY, value: "2", expected: revision });
    const changedAt = clock.now();
    await clock.advance(5_000);
    follower.stop();
    const [at = Number.NaN] = appliedAt;
    t.log(`in effect after ${Math.round(at - changedAt)} ms`);
    t.true(at - changedAt <= MAX_APPLY_MS);
  });
});
