/**
 * Tests of the metrics of store calls.
 */
import test from "ava";
import { MemoryCounters } from "../../../src/state/metrics/MemoryCounters.ts";
import { CountingStore } from "../../../src/transport/store/CountingStore.ts";
import { HttpStore } from "../../../src/transport/store/HttpStore.ts";
import { MemoryStore } from "../../../standins/store/MemoryStore.ts";
import { findFreeAddress } from "../../../standins/support/freePorts.ts";
import { ManualClock } from "../../support/ManualClock.ts";

test("CountingStore delegates calls and counts them by operation and outcome", async (t) => {
  const counters = new MemoryCounters();
  const store = new CountingStore(new MemoryStore(new ManualClock()), counters);
  const written = await store.write({ key: "a", value: "1", expected: 0 });
  t.is(written._unsafeUnwrap().kind, "written");
  t.is((await store.read("a"))._unsafeUnwrap()?.value, "1");
  const calls = { outcome: "done" };
  t.is(counters.get("fireflylb_store_calls_total", { ...calls, operation: "write" }), 1);
  t.is(counters.get("fireflylb_store_calls_total", { ...calls, operation: "read" }), 1);
});

test("CountingStore counts calls to an unreachable store by kind of failure", async (t) => {
  const counters = new MemoryCounters();
  const unreachable = new HttpStore({ address: await findFreeAddress(), timeoutMs: 1000 });
  const result = await new CountingStore(unreachable, counters).read("a");
  const { kind } = result._unsafeUnwrapErr();
  t.is(kind, "unavailable");
  const labels = { operation: "read", outcome: kind };
  t.is(counters.get("fireflylb_store_calls_total", labels), 1);
});
