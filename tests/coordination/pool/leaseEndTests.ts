/**
 * Tests of the record of workers that get no lease, in virtual time and with the timings of an entry:
 * it must neither end runs that could go on, nor let a task run twice.
 */
import test, { type ExecutionContext } from "ava";
import { getLeaseEndKey } from "../../../src/state/pool/PoolKeys.ts";
import { POOL } from "../../support/poolFixtures.ts";
import { createBusyPool } from "./createBusyPool.ts";
import type { PoolSimulation } from "./PoolSimulation.ts";
import { loseVm } from "./simulatedLosses.ts";
import { ENTRY_TIMINGS, type SimulatedAgent, type SimulatedEntry } from "./simulatedPool.ts";

const JOB_COUNT = 3;
const TASKS_PER_JOB = 8;
/** Longest time in which an agent that does not respond is on record, in milliseconds. */
const RECORDED_MS = 1_000;
/** Longest time from the end of a lease until its runs have been started elsewhere, in ms. */
const REPLACED_MS = 7_500;
/** Longer than the wait for every lease of a former scheduler, in milliseconds. */
const OBSERVATION_MS = 25_000;

interface BusyPool {
  readonly simulation: PoolSimulation;
  readonly leader: SimulatedEntry;
  readonly others: readonly SimulatedEntry[];
  /** An agent whose worker has runs. */
  readonly agent: SimulatedAgent;
  readonly advance: (ms: number) => Promise<void>;
}

async function createPool(): Promise<BusyPool> {
  const simulation = await createBusyPool(JOB_COUNT, TASKS_PER_JOB, ENTRY_TIMINGS);
  const others = ["entry-1", "entry-2"].map((name) => simulation.addEntry(name));
  await simulation.clock.advance(2_000);
  const [leader] = simulation.entries;
  const busy = new Set(simulation.journal.map(({ worker }) => worker));
  const agent = simulation.agents.find(({ worker }) => busy.has(worker.incarnation));
  if (agent === undefined || leader?.coordinator.schedulers.size !== 1) {
    throw new Error("no agent has a run, or the first entry does not schedule the pool");
  }
  const advance = (ms: number): Promise<void> => simulation.clock.advance(ms);
  return { simulation, leader, others, agent, advance };
}

/** Returns the agents on record. */
function getRecorded({ simulation }: BusyPool): readonly string[] {
  const value = simulation.storeModel.read(getLeaseEndKey(POOL))?.value ?? '{"agents":{}}';
  return Object.keys((JSON.parse(value) as { readonly agents: object }).agents);
}

/** Asserts that all tasks run, each once, and returns the longest time that one was without a run. */
function assertAllRun(t: ExecutionContext, { simulation }: BusyPool, lostAt: number): number {
  const { journal } = simulation;
  t.deepEqual(simulation.findViolations(), []);
  const running = journal.filter(({ endedAt }) => endedAt === undefined);
  t.is(running.length, JOB_COUNT * TASKS_PER_JOB, simulation.log.format());
  return Math.max(...running.map(({ startedAt }) => startedAt - lostAt));
}

// Guards against a cut that ends runs although it is shorter than a lease.
[500, 1_400, 2_200, 2_600].forEach((cutMs) => {
  test(`LeaseEndRecorder lets runs go on whose agent is cut off for ${cutMs} ms`, async (t) => {
    const pool = await createPool();
    const { agent, advance, simulation } = pool;
    agent.isDisconnected = true;
    await advance(cutMs);
    agent.isDisconnected = false;
    await advance(OBSERVATION_MS);
    t.deepEqual(getRecorded(pool), []);
    t.is(simulation.journal.length, JOB_COUNT * TASKS_PER_JOB);
    assertAllRun(t, pool, 0);
  });
});

// Guards against the same if the store is away while the agent returns.
test("LeaseEndRecorder lets runs go on whose agent returns while the store is away for less than a lease", async (t) => {
  const pool = await createPool();
  const { agent, advance, simulation } = pool;
  agent.isDisconnected = true;
  await advance(RECORDED_MS);
  t.deepEqual(getRecorded(pool), [agent.name]);
  simulation.entries.forEach(({ store }) => {
    store.startOutage();
  });
  agent.isDisconnected = false;
  await advance(2_500);
  simulation.entries.forEach(({ store }) => {
    store.endOutage();
  });
  await advance(OBSERVATION_MS);
  t.deepEqual(getRecorded(pool), []);
  t.is(simulation.journal.length, JOB_COUNT * TASKS_PER_JOB);
  assertAllRun(t, pool, 0);
});

// Guards against tasks that wait anew for the leases of a former scheduler with each takeover.
test("PoolScheduler replaces long-running runs of a lost VM while one scheduler after the other dies", async (t) => {
  const pool = await createPool();
  const { agent, leader, others, advance, simulation } = pool;
  const lostAt = simulation.clock.now();
  loseVm(agent);
  await advance(RECORDED_MS);
  simulation.killEntry(leader);
  await advance(3_500);
  const next = others.find(({ coordinator }) => coordinator.schedulers.size > 0);
  if (next === undefined) {
    throw new Error("no entry has taken over");
  }
  simulation.killEntry(next);
  await advance(OBSERVATION_MS);
  const idleMs = assertAllRun(t, pool, lostAt);
  t.true(idleMs < REPLACED_MS, `${Math.round(idleMs)} ms without a run`);
});

// Guards against the same if the store is away in between.
test("PoolScheduler replaces long-running runs of a lost VM whose scheduler dies while the store is away", async (t) => {
  const pool = await createPool();
  const { agent, leader, others, advance, simulation } = pool;
  const lostAt = simulation.clock.now();
  loseVm(agent);
  await advance(RECORDED_MS);
  others.forEach(({ store }) => {
    store.startOutage();
  });
  simulation.killEntry(leader);
  await advance(3_000);
  others.forEach(({ store }) => {
    store.endOutage();
  });
  await advance(OBSERVATION_MS);
  const idleMs = assertAllRun(t, pool, lostAt);
  t.true(idleMs < REPLACED_MS, `${Math.round(idleMs)} ms without a run`);
});

// Guards against a task that runs twice: a scheduler that has lost the store reaches a worker again
// whose lease its successors take for ended.
[0, 2_000, 4_500].forEach((awayMs) => {
  test(`PoolScheduler extends no lease on record without the store, agent away for ${RECORDED_MS + awayMs} ms`, async (t) => {
    const pool = await createPool();
    const { agent, leader, others, advance } = pool;
    leader.cutAgents.add(agent.name);
    others.forEach(({ cutAgents }) => {
      cutAgents.add(agent.name);
    });
    await advance(RECORDED_MS);
    t.deepEqual(getRecorded(pool), [agent.name]);
    leader.store.startOutage();
    await advance(awayMs);
    leader.cutAgents.delete(agent.name);
    await advance(OBSERVATION_MS);
    assertAllRun(t, pool, 0);
    leader.store.endOutage();
    others.forEach(({ cutAgents }) => {
      cutAgents.clear();
    });
    await advance(OBSERVATION_MS);
    assertAllRun(t, pool, 0);
  });
});
