/**
 * Tests in virtual time of a follower that is asked to list its keys anew while calls are in
 * progress.
 */
import { ok, ResultAsync } from "neverthrow";
import test from "ava";
import { StoreFollower } from "../../../src/coordination/pool/StoreFollower.ts";
import type {
  StoreChanges,
  StoreFailure,
  StorePage,
} from "../../../src/protocol/platform/Store.ts";
import { MemoryStore } from "../../../standins/store/MemoryStore.ts";
import { ManualClock } from "../../support/ManualClock.ts";
import { MemoryLog } from "../../support/MemoryLog.ts";
import { SeededRandom } from "../../support/SeededRandom.ts";

const PREFIX = "jobs/";
/** Duration of a call of the store, in milliseconds. */
const CALL_MS = 100;
/** Time in which a follower has listed and begun to watch, in milliseconds. */
const SYNC_MS = 1_000;
/** Longer than a watch without changes, in milliseconds. */
const LONG_MS = 30_000;

/** Store that records its pages and can hold back the responses to watches. */
class HeldStore extends MemoryStore {
  pageCount = 0;
  /** Ends the hold of responses; undefined if none is held. */
  release: (() => void) | undefined;
  private _held: Promise<void> | undefined;

  /** Holds back the responses to watches that are sent from now on. */
  hold(): void {
    this._held = new Promise((resolve) => {
      this.release = resolve;
    });
  }

  /** Ends the hold for watches that are sent from now on. */
  stopHolding(): void {
    this._held = undefined;
  }

  override listPage(prefix: string, after: string): ResultAsync<StorePage, StoreFailure> {
    this.pageCount += 1;
    return super.listPage(prefix, after);
  }

  override watch(
    prefix: string,
    after: number,
    waitMs?: number,
  ): ResultAsync<StoreChanges, StoreFailure> {
    const held = this._held;
    const response = super.watch(prefix, after, waitMs);
    return held === undefined
      ? response
      : response.andThen((changes) => ResultAsync.fromSafePromise(held).andThen(() => ok(changes)));
  }
}

interface Fixture {
  readonly clock: ManualClock;
  readonly store: HeldStore;
  readonly follower: StoreFollower;
  /** Values of the keys of each listing and change, in order. */
  readonly events: readonly string[];
  readonly put: (value: string) => void;
}

function createFixture(): Fixture {
  const clock = new ManualClock();
  const store = new HeldStore(clock);
  store.faults.delayMs = CALL_MS;
  const events: string[] = [];
  const follower = new StoreFollower({
    ...{ store, clock, random: new SeededRandom(1), log: new MemoryLog(), prefix: PREFIX },
    minIntervalMs: 0,
    onListing: (entries) => {
      events.push(`listed ${entries.map(({ value }) => value).join(" ")}`);
    },
    onChanges: (changes) => {
      events.push(...changes.map(({ value }) => `changed ${value ?? ""}`));
    },
  });
  const key = `${PREFIX}a`;
  const put = (value: string): void => {
    store.model.write({ key, value, expected: store.model.read(key)?.revision ?? 0 });
  };
  put("first");
  return { clock, store, follower, events, put };
}

// Guards against a listing that begins only when the long watch in progress has ended.
test("StoreFollower lists anew on request at once, and is not synced until then", async (t) => {
  const { clock, store, follower, events, put } = createFixture();
  follower.start();
  await clock.advance(SYNC_MS);
  t.true(follower.isSynced);
  follower.relist();
  t.false(follower.isSynced);
  t.is(follower.revision, undefined);
  await clock.advance(2 * CALL_MS);
  t.true(follower.isSynced);
  put("second");
  await clock.advance(LONG_MS);
  t.deepEqual(events, ["listed first", "listed first", "changed second"]);
  t.is(store.pageCount, 2);
  t.is(store.counts.waitingWatches, 1, "more than one loop watches");
  follower.stop();
});

// Guards against a watch from before the request whose late response is applied or whose loop goes on
// beside the new one.
test("StoreFollower ignores the late response to a watch from before the request", async (t) => {
  const { clock, store, follower, events, put } = createFixture();
  store.hold();
  follower.start();
  await clock.advance(SYNC_MS);
  put("second");
  await clock.advance(SYNC_MS);
  store.stopHolding();
  follower.relist();
  await clock.advance(SYNC_MS);
  t.deepEqual(events, ["listed first", "listed second"]);
  const { revision } = follower;
  store.release?.();
  await clock.advance(SYNC_MS);
  t.is(follower.revision, revision);
  put("third");
  await clock.advance(LONG_MS);
  t.deepEqual(events, ["listed first", "listed second", "changed third"]);
  follower.stop();
});

// Guards against a listing from before the request that counts as the one that was requested.
test("StoreFollower drops a listing in progress on request", async (t) => {
  const { clock, store, follower, events } = createFixture();
  follower.start();
  await clock.advance(CALL_MS / 2);
  follower.relist();
  await clock.advance(CALL_MS - 1);
  t.false(follower.isSynced);
  t.deepEqual(events, []);
  await clock.advance(SYNC_MS);
  t.deepEqual(events, ["listed first"]);
  t.is(store.pageCount, 2);
  follower.stop();
});

test("StoreFollower does not list on request after it was stopped", async (t) => {
  const { clock, store, follower } = createFixture();
  follower.start();
  await clock.advance(SYNC_MS);
  follower.stop();
  follower.relist();
  await clock.advance(LONG_MS);
  t.is(store.pageCount, 1);
});
