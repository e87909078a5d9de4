/**
 * Tests of a listing that is resumed after a failure.
 */
import test from "ava";
import { ListingReader } from "../../../src/coordination/pool/ListingReader.ts";
import { MemoryStore } from "../../../standins/store/MemoryStore.ts";
import { ManualClock } from "../../support/ManualClock.ts";

const KEYS = ["a/1", "a/2", "a/3", "a/4", "a/5"] as const;
const PAGE_KEYS = 2;
const PAGES = 3;
const DELAY_MS = 10;

async function createStore(clock: ManualClock): Promise<MemoryStore> {
  const store = new MemoryStore(clock);
  await Promise.all(KEYS.map((key) => store.write({ key, value: "x", expected: 0 })));
  store.pageKeys = PAGE_KEYS;
  store.faults.delayMs = DELAY_MS;
  return store;
}

/** Reads the first page, lets the second one fail, and returns the detail of the failure. */
async function readPartly(
  reader: ListingReader,
  store: MemoryStore,
  clock: ManualClock,
): Promise<string> {
  const read = reader.read();
  await clock.advance(DELAY_MS);
  store.startOutage();
  await clock.advance(DELAY_MS);
  store.endOutage();
  return (await read)._unsafeUnwrapErr().detail;
}

test("ListingReader goes on with the page that failed, and begins anew after a success", async (t) => {
  const clock = new ManualClock();
  const store = await createStore(clock);
  const reader = new ListingReader(store, "a/");
  const detail = await readPartly(reader, store, clock);
  t.is(detail, `the store is unreachable (${PAGE_KEYS} keys were listed)`);
  t.is(reader.keptPages, 1);
  const readsBefore = store.counts.reads;
  store.faults.delayMs = 0;
  const { entries, revision } = (await reader.read())._unsafeUnwrap();
  t.deepEqual(
    entries.map(({ key }) => key),
    KEYS,
  );
  t.is(revision, KEYS.length);
  t.is(store.counts.reads - readsBefore, PAGES - 1);
  t.true((await reader.read()).isOk());
  t.is(store.counts.reads - readsBefore, 2 * PAGES - 1);
});

test("ListingReader begins from the start after a reset", async (t) => {
  const clock = new ManualClock();
  const store = await createStore(clock);
  const reader = new ListingReader(store, "a/");
  await readPartly(reader, store, clock);
  reader.reset();
  store.faults.delayMs = 0;
  const readsBefore = store.counts.reads;
  t.is((await reader.read())._unsafeUnwrap().entries.length, KEYS.length);
  t.is(store.counts.reads - readsBefore, PAGES);
});

// Guards against a listing with a gap when a reset comes during a read.
test("ListingReader completes a read in progress although it is reset meanwhile", async (t) => {
  const clock = new ManualClock();
  const store = await createStore(clock);
  const reader = new ListingReader(store, "a/");
  const read = reader.read();
  await clock.advance(DELAY_MS);
  reader.reset();
  await clock.advance(PAGES * DELAY_MS);
  t.is((await read)._unsafeUnwrap().entries.length, KEYS.length);
  t.is(reader.keptPages, 0);
});
