/**
 * Tests of the store adapter over a link with faults that the store itself cannot detect.
 */
import test from "ava";
import type { ExecutionContext } from "ava";
import { FaultProxy } from "../../../standins/proxy/FaultProxy.ts";
import { StoreProcess } from "../../../standins/store/StoreProcess.ts";
import { findFreeAddresses } from "../../../standins/support/freePorts.ts";
import { MachineClock } from "../../../standins/support/MachineClock.ts";
import type { StoreFailure } from "../../../src/protocol/platform/Store.ts";
import { HttpStore } from "../../../src/transport/store/HttpStore.ts";

const TIMEOUT_MS = 1_000;
const WRITE = { key: "a/1", value: "x", expected: 0 };

interface Fixture {
  /** Store called through the proxy. */
  readonly store: HttpStore;
  /** Store called directly. */
  readonly direct: HttpStore;
  readonly proxy: FaultProxy;
  readonly process: StoreProcess;
}

async function createFixture(t: ExecutionContext): Promise<Fixture> {
  const clock = new MachineClock();
  const [listen = "", control = "", proxied = ""] = await findFreeAddresses(3);
  const process = new StoreProcess(clock, listen, control);
  const proxy = new FaultProxy(clock, proxied, listen);
  await process.start();
  await proxy.start();
  const store = new HttpStore({ address: proxied, timeoutMs: TIMEOUT_MS });
  const direct = new HttpStore({ address: listen, timeoutMs: TIMEOUT_MS });
  t.teardown(async () => {
    await Promise.all([store.close(), direct.close()]);
    await proxy.stop();
    await process.stop();
  });
  return { store, direct, proxy, process };
}

function summarize(failure: StoreFailure): readonly [string, boolean] {
  return [failure.kind, failure.mayHaveWritten];
}

test("HttpStore reports that a write delayed on the link may still be applied, and it is", async (t) => {
  const { store, direct, proxy } = await createFixture(t);
  await store.read("a/1");
  await proxy.setFaults({ hold: "up" });
  const watch = direct.watch("a/", 0);
  t.deepEqual(summarize((await store.write(WRITE))._unsafeUnwrapErr()), ["timeout", true]);
  t.is((await direct.read("a/1"))._unsafeUnwrap(), undefined);
  await proxy.clearFaults();
  t.is((await watch)._unsafeUnwrap().changes.at(0)?.value, "x");
});

test("HttpStore reports that a write whose response is dropped may have been applied", async (t) => {
  const { store, direct, proxy } = await createFixture(t);
  await store.read("a/1");
  await proxy.setFaults({ drop: "down" });
  t.deepEqual(summarize((await store.write(WRITE))._unsafeUnwrapErr()), ["timeout", true]);
  t.is((await direct.read("a/1"))._unsafeUnwrap()?.value, "x");
});

test("HttpStore reports that a write whose connection is cut before the response may have been applied", async (t) => {
  const { store, direct, proxy } = await createFixture(t);
  await proxy.setFaults({ cutAfterDownBytes: 0 });
  t.deepEqual(summarize((await store.write(WRITE))._unsafeUnwrapErr()), ["unavailable", true]);
  t.is((await direct.read("a/1"))._unsafeUnwrap()?.value, "x");
  await proxy.clearFaults();
  t.is((await store.read("a/1"))._unsafeUnwrap()?.value, "x");
});

test("HttpStore does not accept a truncated response as complete", async (t) => {
  const { store, direct, proxy } = await createFixture(t);
  await direct.write({ ...WRITE, value: "x".repeat(10_000) });
  await proxy.setFaults({ cutAfterDownBytes: 5_000 });
  t.deepEqual(summarize((await store.read("a/1"))._unsafeUnwrapErr()), ["unavailable", false]);
});

test("HttpStore reports a write correctly if the store has closed the idle connection before it", async (t) => {
  const { store, direct, process } = await createFixture(t);
  await store.read("a/1");
  await process.stop();
  await process.start();
  const write = await store.write(WRITE);
  const known = write.isOk() || write.error.mayHaveWritten || !(await hasKey(direct));
  t.true(known);
  t.true((await store.write({ ...WRITE, key: "a/2" })).isOk());
});

test("HttpStore ends a watch on an unresponsive link within its wait time and timeout", async (t) => {
  const { store, proxy } = await createFixture(t);
  await store.read("a/1");
  await proxy.setFaults({ hold: "both" });
  const startedAt = performance.now();
  t.deepEqual(summarize((await store.watch("a/", 0))._unsafeUnwrapErr()), ["timeout", false]);
  t.true(performance.now() - startedAt < 4_000);
  await proxy.clearFaults();
  t.true((await store.watch("a/", 0)).isOk());
});

async function hasKey(store: HttpStore): Promise<boolean> {
  return (await store.read(WRITE.key))._unsafeUnwrap() !== undefined;
}
