/**
 * Tests of the store adapter against the store stand-in over loopback.
 */
import test from "ava";
import type { ExecutionContext } from "ava";
import { request } from "undici";
import { StoreProcess } from "../../../standins/store/StoreProcess.ts";
import { findFreeAddresses } from "../../../standins/support/freePorts.ts";
import type { StoreFailure } from "../../../src/protocol/platform/Store.ts";
import { SystemClock } from "../../../src/transport/platform/SystemClock.ts";
import { HttpStore } from "../../../src/transport/store/HttpStore.ts";

const TIMEOUT_MS = 1_000;

interface Fixture {
  readonly store: HttpStore;
  readonly setFaults: (faults: Readonly<Record<string, unknown>>) => Promise<void>;
  readonly getRates: () => Promise<Readonly<Record<string, unknown>>>;
}

async function createFixture(t: ExecutionContext): Promise<Fixture> {
  const [listen = "", control = ""] = await findFreeAddresses(2);
  const process = new StoreProcess(new SystemClock(), listen, control);
  await process.start();
  const store = new HttpStore({ address: listen, timeoutMs: TIMEOUT_MS });
  t.teardown(async () => {
    await store.close();
    await process.stop();
  });
  return {
    store,
    setFaults: async (faults) => {
      const { statusCode, body } = await request(`http://${control}/faults`, {
        method: "PUT",
        body: JSON.stringify(faults),
      });
      t.is(statusCode, 200, await body.text());
    },
    getRates: async () => {
      const { body } = await request(`http://${control}/rates`);
      return (await body.json()) as Readonly<Record<string, unknown>>;
    },
  };
}

const WRITE = { key: "a/1", value: "x", expected: 0 };

function summarize(failure: StoreFailure): readonly [string, boolean] {
  return [failure.kind, failure.mayHaveWritten];
}

test("HttpStore reads, lists, writes and removes", async (t) => {
  const { store } = await createFixture(t);
  t.deepEqual((await store.write(WRITE))._unsafeUnwrap(), { kind: "written", revision: 1 });
  const entry = { key: "a/1", value: "x", revision: 1 };
  t.deepEqual((await store.write(WRITE))._unsafeUnwrap(), { kind: "conflict", current: entry });
  t.deepEqual((await store.read("a/1"))._unsafeUnwrap(), entry);
  t.deepEqual((await store.list("a/"))._unsafeUnwrap(), { entries: [entry], revision: 1 });
  t.is((await store.remove("a/1", 1))._unsafeUnwrap().kind, "written");
  t.is((await store.read("a/1"))._unsafeUnwrap(), undefined);
});

test("HttpStore resolves a pending watch with the change, including a deletion", async (t) => {
  const { store } = await createFixture(t);
  const watch = store.watch("a/", 0);
  await store.write(WRITE);
  const first = (await watch)._unsafeUnwrap();
  t.deepEqual(first, { changes: [{ key: "a/1", value: "x", revision: 1 }], revision: 1 });
  await store.remove("a/1", 1);
  const second = (await store.watch("a/", first.revision))._unsafeUnwrap();
  t.deepEqual(second.changes, [{ key: "a/1", value: undefined, revision: 2 }]);
});

test("HttpStore resolves a watch without changes with an empty list", async (t) => {
  const { store } = await createFixture(t);
  t.deepEqual((await store.watch("a/", 0))._unsafeUnwrap(), { changes: [], revision: 0 });
});

test("HttpStore removes the keys of an expired lease and refuses the lease", async (t) => {
  const { store } = await createFixture(t);
  const lease = (await store.grantLease(1_000))._unsafeUnwrap();
  t.true((await store.renewLease(lease)).isOk());
  await store.write({ ...WRITE, lease });
  const watch = (await store.watch("a/", 1))._unsafeUnwrap();
  t.is(watch.changes.at(0)?.value, undefined);
  t.deepEqual(summarize((await store.renewLease(lease))._unsafeUnwrapErr()), ["lease-lost", false]);
  const late = await store.write({ ...WRITE, lease });
  t.deepEqual(summarize(late._unsafeUnwrapErr()), ["lease-lost", false]);
});

test("HttpStore reports that a call on a refused connection wrote nothing", async (t) => {
  const { store, setFaults } = await createFixture(t);
  await store.read("a");
  await setFaults({ outage: "refuse" });
  await store.read("a");
  const failure = (await store.write(WRITE))._unsafeUnwrapErr();
  t.deepEqual(summarize(failure), ["unavailable", false], failure.detail);
  await setFaults({ outage: "none" });
  t.is((await store.write(WRITE))._unsafeUnwrap().kind, "written");
});

for (const outage of ["reset", "hang"] as const) {
  test(`HttpStore reports that a write may have been applied in an outage of kind ${outage}`, async (t) => {
    const { store, setFaults } = await createFixture(t);
    await setFaults({ outage });
    const kind = outage === "hang" ? "timeout" : "unavailable";
    t.deepEqual(summarize((await store.write(WRITE))._unsafeUnwrapErr()), [kind, true]);
    t.deepEqual(summarize((await store.read("a"))._unsafeUnwrapErr()), [kind, false]);
    await setFaults({ outage: "none" });
    t.is((await store.write(WRITE))._unsafeUnwrap().kind, "written");
  });
}

for (const lostAs of ["cut", "hang"] as const) {
  test(`HttpStore reports that a write with a lost response (${lostAs}) may have been applied`, async (t) => {
    const { store, setFaults } = await createFixture(t);
    await setFaults({ lostAnswers: 1, lostAs });
    t.true((await store.write(WRITE))._unsafeUnwrapErr().mayHaveWritten);
    t.is((await store.read("a/1"))._unsafeUnwrap()?.value, "x");
    await setFaults({ lostRequests: 1, lostAs });
    t.true((await store.remove("a/1", 1))._unsafeUnwrapErr().mayHaveWritten);
    t.is((await store.read("a/1"))._unsafeUnwrap()?.value, "x");
  });
}

test("HttpStore fails a slow call after its timeout, and the late write stays in the store", async (t) => {
  const { store, setFaults } = await createFixture(t);
  await setFaults({ delayMs: TIMEOUT_MS + 100 });
  t.deepEqual(summarize((await store.write(WRITE))._unsafeUnwrapErr()), ["timeout", true]);
  await setFaults({ delayMs: 0 });
  const watch = (await store.watch("a/", 0))._unsafeUnwrap();
  t.is(watch.changes.at(0)?.value, "x");
});

test("HttpStore reports that rate-limited calls wrote nothing", async (t) => {
  const { store, setFaults } = await createFixture(t);
  await setFaults({ writesPerSecond: 1 });
  const writes = await Promise.all(
    [1, 2, 3, 4].map(async (index) => store.write({ ...WRITE, key: `a/${index}` })),
  );
  const refused = writes.filter((write) => write.isErr());
  t.true(refused.length >= 2);
  refused.forEach((write) => {
    t.deepEqual(summarize(write._unsafeUnwrapErr()), ["rate-limited", false]);
  });
  await setFaults({ writesPerSecond: 0 });
  const listed = (await store.list("a/"))._unsafeUnwrap().entries.length;
  t.is(listed, writes.length - refused.length);
});

test("HttpStore reports a value that exceeds the store's size limit", async (t) => {
  const { store } = await createFixture(t);
  const write = await store.write({ ...WRITE, value: "x".repeat(1_048_577) });
  t.deepEqual(summarize(write._unsafeUnwrapErr()), ["rejected", false]);
  const transacted = await store.transact({
    checks: [],
    writes: [{ ...WRITE, value: "x".repeat(1_048_577) }],
  });
  t.deepEqual(summarize(transacted._unsafeUnwrapErr()), ["rejected", false]);
});

test("HttpStore makes one call for each operation, including a pending watch", async (t) => {
  const { store, getRates } = await createFixture(t);
  await store.write(WRITE);
  await store.read("a/1");
  await store.watch("a/", 0);
  const rates = await getRates();
  t.deepEqual([rates.reads, rates.writes, rates.waitingWatches], [2, 1, 0]);
});
