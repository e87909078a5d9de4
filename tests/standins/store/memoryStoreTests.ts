/**
 * Tests of the in-process store stand-in.
 */
import test from "ava";
import { MemoryStore } from "../../../standins/store/MemoryStore.ts";
import { StoreModel } from "../../../standins/store/StoreModel.ts";
import { ManualClock } from "../../support/ManualClock.ts";

test("MemoryStore writes a key only if it has the expected revision", async (t) => {
  const store = new MemoryStore(new ManualClock());
  const first = await store.write({ key: "a", value: "1", expected: 0 });
  t.deepEqual(first._unsafeUnwrap(), { kind: "written", revision: 1 });
  const lost = await store.write({ key: "a", value: "2", expected: 0 });
  t.deepEqual(lost._unsafeUnwrap(), {
    kind: "conflict",
    current: { key: "a", value: "1", revision: 1 },
  });
  const second = await store.write({ key: "a", value: "2", expected: 1 });
  t.is(second._unsafeUnwrap().kind, "written");
  t.is((await store.remove("a", 1))._unsafeUnwrap().kind, "conflict");
  t.is((await store.remove("a", 2))._unsafeUnwrap().kind, "written");
  t.is((await store.read("a"))._unsafeUnwrap(), undefined);
});

test("MemoryStore reports every change of a prefix to watches once and in order", async (t) => {
  const store = new MemoryStore(new ManualClock());
  const waiting = store.watch("a/", 0);
  await store.write({ key: "b/1", value: "x", expected: 0 });
  await store.write({ key: "a/1", value: "y", expected: 0 });
  const first = (await waiting)._unsafeUnwrap();
  t.deepEqual(first.changes, [{ key: "a/1", value: "y", revision: 2 }]);
  await store.remove("a/1", 2);
  await store.write({ key: "a/2", value: "z", expected: 0 });
  const second = (await store.watch("a/", first.revision))._unsafeUnwrap();
  t.deepEqual(
    second.changes.map((change) => [change.key, change.value]),
    [
      ["a/1", undefined],
      ["a/2", "z"],
    ],
  );
  t.is(store.counts.waitingWatches, 0);
});

test("MemoryStore ends a watch without changes after 10 s", async (t) => {
  const clock = new ManualClock();
  const store = new MemoryStore(clock);
  const waiting = store.watch("a/", 0);
  await clock.advance(1);
  t.is(store.counts.waitingWatches, 1);
  await clock.advance(10_000);
  t.deepEqual((await waiting)._unsafeUnwrap(), { changes: [], revision: 0 });
});

test("MemoryStore fails a watch from a revision that its log no longer covers", async (t) => {
  const clock = new ManualClock();
  const store = new MemoryStore(clock, new StoreModel(clock, 2));
  for (const index of [1, 2, 3, 4, 5]) {
    await store.write({ key: `a/${index}`, value: "", expected: 0 });
  }
  t.is((await store.watch("a/", 2))._unsafeUnwrapErr().kind, "compacted");
  const rest = (await store.watch("a/", 3))._unsafeUnwrap();
  t.deepEqual(
    rest.changes.map((change) => change.key),
    ["a/4", "a/5"],
  );
});

test("MemoryStore deletes the keys of an expired lease", async (t) => {
  const clock = new ManualClock();
  const store = new MemoryStore(clock);
  const lease = (await store.grantLease(1_000))._unsafeUnwrap();
  await store.write({ key: "owner", value: "me", expected: 0, lease });
  await clock.advance(900);
  t.true((await store.renewLease(lease)).isOk());
  await clock.advance(900);
  t.is((await store.read("owner"))._unsafeUnwrap()?.value, "me");
  const watch = store.watch("owner", 1);
  await clock.advance(100);
  t.deepEqual((await watch)._unsafeUnwrap().changes, [
    { key: "owner", value: undefined, revision: 2 },
  ]);
  t.is((await store.renewLease(lease))._unsafeUnwrapErr().kind, "lease-lost");
  const late = await store.write({ key: "owner", value: "me", expected: 0, lease });
  t.deepEqual(
    [late._unsafeUnwrapErr().kind, late._unsafeUnwrapErr().mayHaveWritten],
    ["lease-lost", false],
  );
});

test("MemoryStore applies a write whose response is lost, but not one whose request is lost", async (t) => {
  const store = new MemoryStore(new ManualClock());
  store.faults.lostAnswers = 1;
  const kept = await store.write({ key: "a", value: "1", expected: 0 });
  t.true(kept._unsafeUnwrapErr().mayHaveWritten);
  t.is((await store.read("a"))._unsafeUnwrap()?.value, "1");
  store.faults.lostRequests = 1;
  const dropped = await store.write({ key: "b", value: "1", expected: 0 });
  t.true(dropped._unsafeUnwrapErr().mayHaveWritten);
  t.is((await store.read("b"))._unsafeUnwrap(), undefined);
});

test("MemoryStore fails calls and pending watches during an outage and counts each call", async (t) => {
  const clock = new ManualClock();
  const store = new MemoryStore(clock);
  const waiting = store.watch("a", 0);
  await clock.advance(0);
  store.startOutage();
  t.is((await waiting)._unsafeUnwrapErr().kind, "unavailable");
  const write = await store.write({ key: "a", value: "1", expected: 0 });
  t.deepEqual(
    [write._unsafeUnwrapErr().kind, write._unsafeUnwrapErr().mayHaveWritten],
    ["unavailable", false],
  );
  store.endOutage();
  t.is((await store.read("a"))._unsafeUnwrap(), undefined);
  t.deepEqual(store.counts, { reads: 2, writes: 1, waitingWatches: 0 });
});

// Guards against a revision after the first page, from which a watch would miss changes.
test("Store.list joins the pages and has the revision of the first one", async (t) => {
  const store = new MemoryStore(new ManualClock());
  store.pageKeys = 2;
  const keys = ["a/1", "a/2", "a/3"];
  await Promise.all(keys.map((key) => store.write({ key, value: "x", expected: 0 })));
  const listing = store.list("a/");
  await store.write({ key: "a/4", value: "late", expected: 0 });
  const { entries, revision } = (await listing)._unsafeUnwrap();
  t.deepEqual(
    entries.map(({ key }) => key),
    [...keys, "a/4"],
  );
  t.is(revision, keys.length);
  t.is(store.counts.reads, 2);
});
