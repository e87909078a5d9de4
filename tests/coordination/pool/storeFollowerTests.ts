/**
 * Tests of following a prefix of the store over a link on which calls fail, in virtual time.
 */
import { errAsync, type ResultAsync } from "neverthrow";
import test from "ava";
import { StoreFollower } from "../../../src/coordination/pool/StoreFollower.ts";
import type {
  StoreChange,
  StoreChanges,
  StoreFailure,
  StorePage,
} from "../../../src/protocol/platform/Store.ts";
import { MemoryStore } from "../../../standins/store/MemoryStore.ts";
import { ManualClock } from "../../support/ManualClock.ts";
import { MemoryLog } from "../../support/MemoryLog.ts";
import { SeededRandom } from "../../support/SeededRandom.ts";

const PREFIX = "jobs/";
const KEYS = 50;
const PAGE_KEYS = 5;
const PAGES = KEYS / PAGE_KEYS;
/** Time in which a follower that makes progress has long synced, in milliseconds. */
const SYNC_MS = 60_000;
/** Longest delay after a failed call that follows a successful one, in milliseconds. */
const FIRST_RETRY_MS = 50;
const TIMEOUT: StoreFailure = { kind: "timeout", mayHaveWritten: false, detail: "no response" };

/** Store whose page calls can fail, and which records those that succeed. */
class UnreliableStore extends MemoryStore {
  /** Returns whether a page call fails, by its number from 1. */
  isFailing: (call: number) => boolean = () => false;
  /** Time for which each watch asked the store to wait, in milliseconds; undefined if it did not say. */
  readonly watchWaits: (number | undefined)[] = [];
  /** Called after each page that was read. */
  onPageRead: (pages: number) => void = () => undefined;
  /** Where the pages that were read begin, in order. */
  readonly readPages: string[] = [];
  private _calls = 0;

  override listPage(prefix: string, after: string): ResultAsync<StorePage, StoreFailure> {
    this._calls += 1;
    if (this.isFailing(this._calls)) {
      return errAsync(TIMEOUT);
    }
    return super.listPage(prefix, after).map((page) => {
      this.readPages.push(after);
      this.onPageRead(this.readPages.length);
      return page;
    });
  }

  override watch(
    prefix: string,
    after: number,
    waitMs?: number,
  ): ResultAsync<StoreChanges, StoreFailure> {
    this.watchWaits.push(waitMs);
    return super.watch(prefix, after, waitMs);
  }

  /**
   * Writes a key unconditionally.
   * @param index - Number of the key.
   * @param value - Value.
   */
  put(index: number, value: string): void {
    const key = getKey(index);
    this.model.write({ key, value, expected: this.model.read(key)?.revision ?? 0 });
  }
}

function getKey(index: number): string {
  return `${PREFIX}${String(index).padStart(3, "0")}`;
}

interface Fixture {
  readonly clock: ManualClock;
  readonly store: UnreliableStore;
  readonly follower: StoreFollower;
  readonly log: MemoryLog;
  /** Keys and values as the follower knows them. */
  readonly known: ReadonlyMap<string, string>;
  /** Numbers of keys of the listings so far. */
  readonly listings: readonly number[];
}

function createFixture(): Fixture {
  const clock = new ManualClock();
  const store = new UnreliableStore(clock);
  store.pageKeys = PAGE_KEYS;
  Array.from({ length: KEYS }, (_, index) => {
    store.put(index, "first");
  });
  const known = new Map<string, string>();
  const listings: number[] = [];
  const apply = (changes: readonly StoreChange[]): void => {
    changes.forEach(({ key, value }) =>
      value === undefined ? known.delete(key) : known.set(key, value),
    );
  };
  const log = new MemoryLog();
  const follower = new StoreFollower({
    store,
    clock,
    random: new SeededRandom(1),
    log,
    prefix: PREFIX,
    minIntervalMs: 0,
    onListing: (entries) => {
      listings.push(entries.length);
      known.clear();
      apply(entries);
    },
    onChanges: apply,
  });
  return { clock, store, follower, log, known, listings };
}

// Guards against a listing that begins anew after each failure and therefore never ends.
test("StoreFollower syncs although every second page fails, and reads no page twice", async (t) => {
  const { clock, store, follower, listings } = createFixture();
  store.isFailing = (call) => call % 2 === 0;
  follower.start();
  await clock.advance(SYNC_MS);
  t.true(follower.isSynced);
  t.deepEqual(listings, [KEYS]);
  t.is(store.readPages.length, PAGES);
  t.is(new Set(store.readPages).size, PAGES);
  follower.stop();
});

// Guards against a delay that grows with each failed page although others arrive in between.
test("StoreFollower retries soon after a listing that made progress", async (t) => {
  const { clock, store, follower } = createFixture();
  store.isFailing = (call) => call % 2 === 0;
  follower.start();
  await clock.advance(PAGES * FIRST_RETRY_MS);
  t.true(follower.isSynced);
  follower.stop();
});

// Guards against a change that is lost since its page was read before it.
test("StoreFollower sees keys that change between the pages of a resumed listing", async (t) => {
  const { clock, store, follower, known, listings } = createFixture();
  store.isFailing = (call) => call === 3;
  store.onPageRead = (pages) => {
    if (pages !== 2) {
      return;
    }
    store.put(0, "second");
    store.model.remove(getKey(1), store.model.read(getKey(1))?.revision ?? 0);
    store.put(KEYS - 1, "second");
    store.put(KEYS, "new");
  };
  follower.start();
  await clock.advance(SYNC_MS);
  t.is(listings.length, 1);
  const stored = store.model.list(PREFIX).entries.map(({ key, value }) => [key, value] as const);
  t.deepEqual([...known].toSorted(), stored);
  t.is(known.get(getKey(0)), "second");
  t.false(known.has(getKey(1)));
  follower.stop();
});

// Guards against a listing that is handed over before its last page.
test("StoreFollower is not synced and hands nothing over while a page is missing", async (t) => {
  const { clock, store, follower, listings, log } = createFixture();
  store.isFailing = (call) => call >= PAGES;
  follower.start();
  await clock.advance(SYNC_MS);
  t.false(follower.isSynced);
  t.deepEqual(listings, []);
  const reason = `no response (${KEYS - PAGE_KEYS} keys were listed)`;
  t.deepEqual(
    log.lines.map(({ fields }) => fields.reason),
    [reason],
  );
  store.isFailing = () => false;
  await clock.advance(SYNC_MS);
  t.true(follower.isSynced);
  t.deepEqual(listings, [KEYS]);
  follower.stop();
});

// Guards against keys that are kept although they were deleted before the store compacted the change.
test("StoreFollower lists from the start after the store has compacted changes", async (t) => {
  const { clock, store, follower, known, listings } = createFixture();
  store.onPageRead = (pages) => {
    if (pages === 1) {
      store.model.remove(getKey(0), store.model.read(getKey(0))?.revision ?? 0);
      store.model.compact();
    }
  };
  follower.start();
  await clock.advance(SYNC_MS);
  t.deepEqual(listings, [KEYS, KEYS - 1]);
  t.is(store.readPages.filter((after) => after === "").length, 2);
  t.false(known.has(getKey(0)));
  t.true(follower.isSynced);
  follower.stop();
});

// Guards against a return of the store that is noticed only when a call that was sent into the
// silence has timed out, after the whole time for which it asked the store to wait.
test("StoreFollower does not ask the store to wait for changes after a failed call", async (t) => {
  const { clock, store, follower } = createFixture();
  follower.start();
  await clock.advance(SYNC_MS);
  t.true(store.watchWaits.every((waitMs) => waitMs === undefined));
  store.startOutage();
  const before = store.watchWaits.length;
  await clock.advance(SYNC_MS);
  const during = store.watchWaits.slice(before);
  t.true(during.length > 0 && during.every((waitMs) => waitMs === 1));
  store.endOutage();
  await clock.advance(SYNC_MS);
  t.is(store.watchWaits.at(-1), undefined);
  follower.stop();
});

// Guards against a change that was in force late without a line that says how long it had been there.
test("StoreFollower says how long the store was silent before its last response", async (t) => {
  const clock = new ManualClock();
  const store = new UnreliableStore(clock);
  const silences: (number | undefined)[] = [];
  const follower = new StoreFollower({
    ...{ store, clock, random: new SeededRandom(1), log: new MemoryLog() },
    ...{ prefix: PREFIX, minIntervalMs: 0 },
    onListing: () => silences.push(follower.silentBeforeMs),
    onChanges: () => silences.push(follower.silentBeforeMs),
  });
  follower.start();
  await clock.advance(100);
  store.put(1, "a");
  await clock.advance(50);
  follower.stop();
  t.deepEqual(silences, [undefined, 100]);
});
