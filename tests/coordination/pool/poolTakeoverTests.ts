/**
 * Tests of which entry schedules a pool and how it gets the pool's state, in virtual time: an entry
 * that cannot do the work must not keep the pool from those that can.
 */
import test from "ava";
import { INTAKE_PREFIX, PROGRESS_PREFIX } from "../../../src/state/pool/PoolKeys.ts";
import { MemoryStore } from "../../../standins/store/MemoryStore.ts";
import { createJobId, POOL } from "../../support/poolFixtures.ts";
import { NarrowLinkStore } from "../../support/NarrowLinkStore.ts";
import { createBusyPool } from "./createBusyPool.ts";
import type { PoolSimulation } from "./PoolSimulation.ts";

const JOB_COUNT = 12;
const TASKS_PER_JOB = 2;
/** Time within which a pool is scheduled again after all entries have restarted, in milliseconds. */
const RECOVERY_MS = 15_000;
/** Longer than the random delay of a claim, in milliseconds. */
const CLAIM_MS = 100;
/** Duration of a call of a slow store, in milliseconds. */
const CALL_MS = 10;
/** Three pages, a lease, a claim and the last changes. */
const CALLS_UNTIL_SCHEDULING = 6;
/** Time within which another entry takes over after a crash of the scheduler, in milliseconds. */
const TAKEOVER_MS = 3_000;

function countRunning({ journal }: PoolSimulation): number {
  return journal.filter(({ endedAt }) => endedAt === undefined).length;
}

// Guards against accepted long-running tasks that never run again after all entries have restarted,
// because an entry that cannot read the pool's state is elected its scheduler and stays it.
test("PoolCoordinator leaves a pool to an entry that can read its state", async (t) => {
  const simulation = await createBusyPool(JOB_COUNT, TASKS_PER_JOB);
  t.is(countRunning(simulation), JOB_COUNT * TASKS_PER_JOB);
  simulation.entries.forEach((entry) => {
    simulation.killEntry(entry);
  });
  // All runs end with their leases.
  await simulation.clock.advance(RECOVERY_MS);
  t.is(countRunning(simulation), 0);
  const { clock, storeModel } = simulation;
  simulation.addEntry("narrow", new NarrowLinkStore(clock, storeModel, JOB_COUNT - 1));
  await clock.advance(300);
  const wide = simulation.addEntry("wide");
  await clock.advance(RECOVERY_MS);
  t.true(wide.coordinator.schedulers.size > 0, "the entry with a wide link does not schedule");
  t.is(countRunning(simulation), JOB_COUNT * TASKS_PER_JOB);
  t.deepEqual(simulation.findViolations(), []);
});

// Guards against an entry that learns only with its next read of the key that it may claim a pool.
test("PoolCoordinator claims a free pool as soon as its entry holds all jobs", async (t) => {
  const simulation = await createBusyPool(JOB_COUNT, TASKS_PER_JOB);
  simulation.entries.forEach((entry) => {
    simulation.killEntry(entry);
  });
  await simulation.clock.advance(RECOVERY_MS);
  // The listing of the jobs takes several calls, so that it ends after that of the pool's key.
  const store = new MemoryStore(simulation.clock, simulation.storeModel);
  store.pageKeys = JOB_COUNT / 3;
  store.faults.delayMs = CALL_MS;
  const successor = simulation.addEntry("successor", store);
  await simulation.clock.advance(CALLS_UNTIL_SCHEDULING * CALL_MS + CLAIM_MS);
  t.is(successor.coordinator.schedulers.size, 1);
});

// Guards against a pool that waits for as long as the last changes take on the elected entry's link.
test("PoolCoordinator gives a pool up whose changes arrive too slowly", async (t) => {
  const simulation = await createBusyPool(JOB_COUNT, TASKS_PER_JOB);
  const { clock, storeModel } = simulation;
  const [leader] = simulation.entries;
  const store = new NarrowLinkStore(clock, storeModel, JOB_COUNT);
  const slow = simulation.addEntry("slow", store);
  await clock.advance(1_000);
  store.changesDelayMs = new Map([[INTAKE_PREFIX, 2 * RECOVERY_MS]]);
  // A change that the entry has not received when it is elected.
  storeModel.write({
    key: `${INTAKE_PREFIX}${POOL}/cancel/${createJobId(1)}`,
    value: "{}",
    expected: 0,
  });
  if (leader !== undefined) {
    simulation.killEntry(leader);
  }
  await clock.advance(TAKEOVER_MS);
  const successor = simulation.addEntry("successor");
  await clock.advance(2 * TAKEOVER_MS);
  t.is(slow.coordinator.schedulers.size, 0);
  t.true(successor.coordinator.schedulers.size > 0, "the successor does not schedule");
});

// Guards against a takeover whose duration grows with the state of the pool.
test("PoolCoordinator takes a pool over without listing its jobs again", async (t) => {
  const simulation = await createBusyPool(JOB_COUNT, TASKS_PER_JOB);
  const { clock, storeModel } = simulation;
  const store = new NarrowLinkStore(clock, storeModel, JOB_COUNT);
  const successor = simulation.addEntry("entry-1", store);
  await clock.advance(1_000);
  store.maxListedKeys = 0;
  simulation.entries
    .filter((entry) => entry !== successor)
    .forEach((entry) => {
      simulation.killEntry(entry);
    });
  await clock.advance(TAKEOVER_MS);
  t.true(successor.coordinator.schedulers.size > 0, "the successor does not schedule");
  await clock.advance(RECOVERY_MS);
  t.is(countRunning(simulation), JOB_COUNT * TASKS_PER_JOB);
  t.is(simulation.journal.length, JOB_COUNT * TASKS_PER_JOB, "a run was started again");
  t.deepEqual(simulation.findViolations(), []);
});

// Guards against a pool that stays with an entry that cannot fetch the last changes of its jobs.
test("PoolCoordinator gives a pool up whose changes it cannot fetch, and another entry takes it", async (t) => {
  const simulation = await createBusyPool(JOB_COUNT, TASKS_PER_JOB);
  const { clock, storeModel } = simulation;
  const [leader] = simulation.entries;
  const store = new NarrowLinkStore(clock, storeModel, JOB_COUNT);
  const stuck = simulation.addEntry("stuck", store);
  await clock.advance(1_000);
  store.silentPrefixes = [INTAKE_PREFIX, PROGRESS_PREFIX];
  if (leader !== undefined) {
    simulation.killEntry(leader);
  }
  await clock.advance(TAKEOVER_MS);
  const successor = simulation.addEntry("successor");
  await clock.advance(2 * TAKEOVER_MS);
  t.is(stuck.coordinator.schedulers.size, 0);
  t.true(successor.coordinator.schedulers.size > 0, "the successor does not schedule");
  await clock.advance(RECOVERY_MS);
  t.is(countRunning(simulation), JOB_COUNT * TASKS_PER_JOB);
  t.deepEqual(simulation.findViolations(), []);
});
