/**
 * Tests that interference estimates outlive the scheduler that made them.
 */
import test from "ava";
import { InterferenceWriter } from "../../../src/coordination/pool/InterferenceWriter.ts";
import { getInterferenceKey } from "../../../src/state/pool/PoolKeys.ts";
import { parseInterferenceRecord, type PairInterference } from "../../../src/state/pool/records.ts";
import { MemoryStore } from "../../../standins/store/MemoryStore.ts";
import { ManualClock } from "../../support/ManualClock.ts";
import { MemoryLog } from "../../support/MemoryLog.ts";
import { POOL } from "../../support/poolFixtures.ts";

const SAVE_INTERVAL_MS = 3_000;

function createPair(mean: number): PairInterference {
  return { serving: "serving-a", image: "idle-a", mean, variance: 0.1 };
}

function createFixture() {
  const clock = new ManualClock();
  const store = new MemoryStore(clock);
  const deps = { pool: POOL, store, clock, log: new MemoryLog() };
  const read = async (): Promise<readonly PairInterference[]> => {
    const entry = (await store.read(getInterferenceKey(POOL))).unwrapOr(undefined);
    return parseInterferenceRecord(entry?.value ?? "").unwrapOr({ pairs: [] }).pairs;
  };
  return { clock, store, deps, read };
}

test("InterferenceWriter saves the estimates and their changes", async (t) => {
  const { clock, deps, read } = createFixture();
  let pairs = [createPair(1)];
  const writer = new InterferenceWriter({ ...deps, getPairs: () => pairs });
  writer.tick();
  await clock.advance(SAVE_INTERVAL_MS);
  t.deepEqual(await read(), pairs);
  pairs = [createPair(2)];
  writer.tick();
  await clock.advance(SAVE_INTERVAL_MS);
  t.deepEqual(await read(), pairs);
});

test("InterferenceWriter continues after an outage and overwrites what a previous scheduler saved", async (t) => {
  const { clock, store, deps, read } = createFixture();
  await store.write({ key: getInterferenceKey(POOL), value: '{"pairs":[]}', expected: 0 });
  const writer = new InterferenceWriter({ ...deps, getPairs: () => [createPair(3)] });
  store.startOutage();
  writer.tick();
  await clock.advance(SAVE_INTERVAL_MS);
  store.endOutage();
  await [1, 2, 3].reduce(async (before) => {
    await before;
    writer.tick();
    await clock.advance(SAVE_INTERVAL_MS);
  }, Promise.resolve());
  t.deepEqual(await read(), [createPair(3)]);
});
