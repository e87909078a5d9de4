/**
 * Tests of following a prefix of the store with calls that overlap, in virtual time: a long watch is
 * pending while changes are caught up, and responses arrive late and in any order.
 */
import test from "ava";
import { StoreFollower } from "../../../src/coordination/pool/StoreFollower.ts";
import type { StoreChange } from "../../../src/protocol/platform/Store.ts";
import { HeldWatchStore } from "../../support/HeldWatchStore.ts";
import { ManualClock } from "../../support/ManualClock.ts";
import { MemoryLog } from "../../support/MemoryLog.ts";
import { SeededRandom } from "../../support/SeededRandom.ts";

const PREFIX = "jobs/";
const KEY = `${PREFIX}a`;
const OTHER_KEY = `${PREFIX}b`;
/** Time in which every call that is not held has ended, in milliseconds. */
const CALL_MS = 20;
/** Longest delay after a failed call that follows a successful one, in milliseconds. */
const RETRY_MS = 50;
/** Position of the first long watch among the held ones. */
const LONG_WATCH = 0;

interface Fixture {
  readonly clock: ManualClock;
  readonly store: HeldWatchStore;
  readonly follower: StoreFollower;
  /** Keys and values as the follower knows them. */
  readonly known: ReadonlyMap<string, string>;
  /** Values of the changes that were received, in order. */
  readonly received: readonly string[];
  /** Number of listings that were received. */
  readonly countListings: () => number;
}

/** Creates a follower that has listed a key; the response to its pending long watch is held. */
async function createFixture(): Promise<Fixture> {
  const clock = new ManualClock();
  const store = new HeldWatchStore(clock);
  put(store, KEY, "listed");
  store.isHoldingWatches = true;
  const known = new Map<string, string>();
  const received: string[] = [];
  let listings = 0;
  const apply = (changes: readonly StoreChange[]): void => {
    changes.forEach(({ key, value = "" }) => known.set(key, value));
  };
  const follower = new StoreFollower({
    ...{ store, clock, random: new SeededRandom(1), log: new MemoryLog() },
    ...{ prefix: PREFIX, minIntervalMs: 0 },
    onListing: (entries) => {
      listings += 1;
      known.clear();
      apply(entries);
    },
    onChanges: (changes) => {
      received.push(...changes.map(({ value = "" }) => value));
      apply(changes);
    },
  });
  follower.start();
  await clock.advance(CALL_MS);
  return { clock, store, follower, known, received, countListings: () => listings };
}

function put({ model }: HeldWatchStore, key: string, value: string): void {
  model.write({ key, value, expected: model.read(key)?.revision ?? 0 });
}

/** Catches up with a call whose response is not held. */
async function catchUp({ clock, store, follower }: Fixture): Promise<void> {
  store.isHoldingWatches = false;
  const caughtUp = follower.catchUp();
  await clock.advance(CALL_MS);
  await caughtUp;
}

/** Sends a call to catch up whose response is held. */
async function sendHeldCatchUp({ clock, store, follower }: Fixture): Promise<void> {
  store.isHoldingWatches = true;
  void follower.catchUp();
  await clock.advance(CALL_MS);
}

async function release({ clock, store }: Fixture, position: number): Promise<void> {
  store.isHoldingWatches = false;
  store.release(position);
  await clock.advance(CALL_MS);
}

/** Lets the long watch fail; the failure is held as its response is. */
function failLongWatch({ store }: Fixture): void {
  store.startOutage();
  store.endOutage();
}

/**
 * Drops the store's log of changes and lets the failure of the long watch arrive, so that the keys are
 * listed again. The listing is not answered before the gate is opened.
 * @returns Opens the gate.
 */
async function beginListingAgain(fixture: Fixture): Promise<() => Promise<void>> {
  const { clock, store } = fixture;
  const { promise, resolve } = Promise.withResolvers<undefined>();
  store.listingGate = promise;
  store.model.compact();
  await release(fixture, LONG_WATCH);
  await clock.advance(RETRY_MS);
  return async () => {
    resolve(undefined);
    await ManualClock.settle();
  };
}

// Guards against a response that arrives after a later one and moves the revision back, so that changes
// are reported twice and an entry counts as complete that has yet to fetch them.
test("StoreFollower ignores a late response whose changes it has received", async (t) => {
  const fixture = await createFixture();
  const { store, follower, received } = fixture;
  put(store, KEY, "first");
  await catchUp(fixture);
  put(store, KEY, "second");
  await catchUp(fixture);
  const { revision } = store.model;
  t.is(follower.revision, revision);
  // The watch that follows the late response would otherwise correct the revision at once.
  store.isHoldingWatches = true;
  store.release(LONG_WATCH);
  await ManualClock.settle();
  t.is(follower.revision, revision);
  await release(fixture, LONG_WATCH + 1);
  t.deepEqual(received, ["first", "second"]);
  follower.stop();
});

// Guards against a change that is reported again since a response contains it beside a new one.
test("StoreFollower takes from a late response only the changes that it has not received", async (t) => {
  const fixture = await createFixture();
  const { store, follower, received } = fixture;
  put(store, KEY, "first");
  await sendHeldCatchUp(fixture);
  put(store, OTHER_KEY, "second");
  await sendHeldCatchUp(fixture);
  await release(fixture, LONG_WATCH + 1);
  t.deepEqual(received, ["first"]);
  await release(fixture, LONG_WATCH + 2);
  t.deepEqual(received, ["first", "second"]);
  t.is(follower.revision, store.model.revision);
  await release(fixture, LONG_WATCH);
  t.deepEqual(received, ["first", "second"]);
  t.is(follower.revision, store.model.revision);
  follower.stop();
});

// Guards against a late response that moves the revision back behind a listing made since its call was
// sent, or replaces what was listed.
test("StoreFollower keeps what it has listed again since a late response's call was sent", async (t) => {
  const fixture = await createFixture();
  const { store, follower, known, received, countListings } = fixture;
  failLongWatch(fixture);
  put(store, KEY, "first");
  await sendHeldCatchUp(fixture);
  put(store, KEY, "second");
  const openGate = await beginListingAgain(fixture);
  await openGate();
  t.is(countListings(), 2);
  await release(fixture, LONG_WATCH + 1);
  t.is(follower.revision, store.model.revision);
  t.is(known.get(KEY), "second");
  t.deepEqual(received, []);
  follower.stop();
});

// Guards against a follower that counts as complete by a late response while it does not know the keys.
test("StoreFollower is not synced by a late response while the keys are listed again", async (t) => {
  const fixture = await createFixture();
  const { store, follower, known, received } = fixture;
  failLongWatch(fixture);
  put(store, KEY, "first");
  await sendHeldCatchUp(fixture);
  put(store, OTHER_KEY, "second");
  const openGate = await beginListingAgain(fixture);
  t.false(follower.isSynced);
  await release(fixture, LONG_WATCH + 1);
  t.false(follower.isSynced);
  t.deepEqual(received, []);
  await openGate();
  t.is(follower.revision, store.model.revision);
  t.deepEqual(Object.fromEntries(known), { [KEY]: "first", [OTHER_KEY]: "second" });
  follower.stop();
});

// Guards against the loss of the changes between a listing and a later revision, after which the call of
// a late response asked: a replica that lags may answer a listing.
test("StoreFollower ignores a late response that does not follow on what it has listed again", async (t) => {
  const fixture = await createFixture();
  const { clock, store, follower, known, received } = fixture;
  const { entries, revision } = store.model.list(PREFIX);
  failLongWatch(fixture);
  put(store, KEY, "first");
  await catchUp(fixture);
  put(store, OTHER_KEY, "second");
  await sendHeldCatchUp(fixture);
  const openGate = await beginListingAgain(fixture);
  store.listedPage = { entries, revision, next: undefined };
  store.isHoldingWatches = true;
  await openGate();
  t.is(follower.revision, revision);
  store.release(LONG_WATCH + 1);
  await ManualClock.settle();
  t.is(follower.revision, revision);
  t.deepEqual(received, ["first"]);
  store.listedPage = undefined;
  await release(fixture, LONG_WATCH + 2);
  await clock.advance(RETRY_MS);
  t.deepEqual(Object.fromEntries(known), { [KEY]: "first", [OTHER_KEY]: "second" });
  t.is(follower.revision, store.model.revision);
  follower.stop();
});
