import test from "ava";
import { ActiveConfig } from "../../../src/coordination/config/ActiveConfig.ts";
import type { ChangeOutcome } from "../../../src/protocol/config/ConfigChange.ts";
import type { StoredConfig } from "../../../src/protocol/config/StoredConfig.ts";
import { ConfigWriter } from "../../../src/transport/config/ConfigWriter.ts";
import { createChange, createHeatOperation } from "../../support/configSamples.ts";
import { DelayedWriteStore } from "../../support/DelayedWriteStore.ts";
import { ManualClock } from "../../support/ManualClock.ts";
import { MemoryLog } from "../../support/MemoryLog.ts";
import { SeededRandom } from "../../support/SeededRandom.ts";

const TIMEOUT_MS = 3000;

function createSetup(clock = new ManualClock(), shared?: DelayedWriteStore) {
  const store = new DelayedWriteStore(clock, shared?.model);
  const activeConfig = new ActiveConfig();
  const writer = new ConfigWriter({
    store,
    activeConfig,
    clock,
    random: new SeededRandom(1),
    log: new MemoryLog(),
    getTimeOfDay: () => "2026-01-01T00:00:00.000Z",
  });
  const finish = async <T>(call: Promise<T>): Promise<T> => {
    await clock.advance(2 * TIMEOUT_MS);
    return call;
  };
  const submit = (changeId: string, level: number, base?: number): Promise<ChangeOutcome> =>
    writer.submit(createChange(changeId, [createHeatOperation("a", level)], base), TIMEOUT_MS);
  const readStored = async (): Promise<StoredConfig> => {
    const stored = await finish(writer.read(TIMEOUT_MS));
    if (typeof stored === "string") {
      throw new Error(stored);
    }
    return stored;
  };
  return { clock, store, activeConfig, writer, finish, submit, readStored };
}

test("ConfigWriter accepts a change with one read and one write", async (t) => {
  const { finish, submit, store, activeConfig } = createSetup();
  t.deepEqual(await finish(submit("change-1", 1)), {
    kind: "accepted",
    changeId: "change-1",
    revision: 1,
  });
  t.is(activeConfig.getRevision(), 1);
  t.like(store.counts, { reads: 1, writes: 1 });
});

test("ConfigWriter refuses one of two concurrent changes of the same setting", async (t) => {
  const one = createSetup();
  const two = createSetup(one.clock, one.store);
  one.store.faults.delayMs = 10;
  two.store.faults.delayMs = 11;
  const both = Promise.all([one.submit("change-1", 1), two.submit("change-2", 2)]);
  const [won, lost] = await one.finish(both);
  t.is(won.kind, "accepted");
  t.like(lost, { kind: "refused", reason: "conflict" });
  t.deepEqual((await one.readStored()).document.heatLevels, { a: 1 });
});

test("ConfigWriter determines by reading back the outcome of a change whose response was lost", async (t) => {
  const { finish, submit, store, readStored } = createSetup();
  store.faults.lostAnswers = 1;
  t.like(await finish(submit("change-1", 1)), { kind: "accepted", revision: 1 });
  t.is((await readStored()).revision, 1);
});

test("ConfigWriter repeats the write of a change whose request was lost", async (t) => {
  const { finish, submit, store } = createSetup();
  store.faults.lostRequests = 2;
  t.like(await finish(submit("change-1", 1)), { kind: "accepted", revision: 1 });
});

test("ConfigWriter applies a repeated change once", async (t) => {
  const { finish, submit, readStored } = createSetup();
  await finish(submit("change-1", 1));
  await finish(submit("change-2", 2));
  t.like(await finish(submit("change-1", 1)), { kind: "accepted", revision: 1 });
  t.deepEqual((await readStored()).document.heatLevels, { a: 2 });
});

test("ConfigWriter refuses changes during an outage, since no write was sent", async (t) => {
  const { finish, submit, store } = createSetup();
  store.startOutage();
  t.like(await finish(submit("change-1", 1)), { kind: "refused", reason: "store-unavailable" });
});

test("ConfigWriter reports unknown within its deadline and settles a write that was applied", async (t) => {
  const { clock, finish, submit, store, writer } = createSetup();
  store.faults.lostAnswers = 1;
  const call = submit("change-1", 1);
  await clock.advance(0);
  store.startOutage();
  await clock.advance(TIMEOUT_MS);
  const outcome = await call;
  t.like(outcome, {
    kind: "unknown",
    settlePath: "/v1/config/changes/change-1/settle?since=0",
  });
  store.endOutage();
  t.like(await finish(writer.settle("change-1", 0, TIMEOUT_MS)), { kind: "accepted", revision: 1 });
});

test("ConfigWriter settles a delayed write as refused, and it is never applied", async (t) => {
  const { clock, finish, submit, store, writer, readStored } = createSetup();
  await finish(submit("change-0", 5));
  store.delayNextWrites = 1;
  const call = submit("change-1", 1);
  await clock.advance(0);
  store.startOutage();
  await clock.advance(TIMEOUT_MS);
  t.is((await call).kind, "unknown");
  store.endOutage();
  t.like(await finish(writer.settle("change-1", 1, TIMEOUT_MS)), {
    kind: "refused",
    reason: "barred",
  });
  t.deepEqual(store.applyDelayedWrites(), ["conflict"]);
  t.like(await finish(submit("change-1", 1)), { kind: "refused", reason: "barred" });
  t.like(await readStored(), { revision: 1, document: { heatLevels: { a: 5 } } });
});

test("ConfigWriter applies a change once if a delayed write and its repetition race", async (t) => {
  const { finish, submit, store, readStored } = createSetup();
  store.delayNextWrites = 1;
  t.like(await finish(submit("change-1", 1)), { kind: "accepted", revision: 1 });
  t.deepEqual(store.applyDelayedWrites(), ["conflict"]);
  t.is((await readStored()).history.length, 1);
});

test("ConfigWriter accepts a delayed write that is applied before its repetition", async (t) => {
  const { clock, finish, submit, store, readStored } = createSetup();
  store.delayNextWrites = 1;
  const call = submit("change-1", 1);
  await clock.advance(0);
  t.deepEqual(store.applyDelayedWrites(), ["written"]);
  t.like(await finish(call), { kind: "accepted", revision: 1 });
  t.is((await readStored()).history.length, 1);
});

test("ConfigWriter refuses a change while the store has an earlier revision than the active one", async (t) => {
  const { finish, submit, activeConfig } = createSetup();
  activeConfig.applyIfNewer({ revision: 7, document: (await createSetup().readStored()).document });
  t.like(await finish(submit("change-1", 1)), { kind: "refused", reason: "store-unavailable" });
  t.is(activeConfig.getRevision(), 7);
});

test("ConfigWriter reports a change as unknown if it cannot be settled during an outage", async (t) => {
  const { finish, store, writer } = createSetup();
  store.startOutage();
  t.is((await finish(writer.settle("change-1", 0, TIMEOUT_MS))).kind, "unknown");
});
