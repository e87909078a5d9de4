/**
 * Tests of how soon long-running tasks run again whose worker is lost for good around the time at
 * which the scheduler of their pool dies, in virtual time and with the timings of an entry.
 */
import test from "ava";
import { createBusyPool } from "./createBusyPool.ts";
import type { PoolSimulation } from "./PoolSimulation.ts";
import { loseVm, loseWorker } from "./simulatedLosses.ts";
import { ENTRY_TIMINGS, type SimulatedAgent } from "./simulatedPool.ts";

const JOB_COUNT = 6;
const TASKS_PER_JOB = 4;
/** Time after the end of its last run from which a long-running task has to run, in milliseconds. */
const MAX_IDLE_MS = 6_000;
/** Time without an impairment before a task counts as not running, in milliseconds. */
const CALM_BEFORE_MS = 4_000;
/** Time for which a task has to be without a run to count as lost, in milliseconds. */
const MAX_OVERDUE_MS = 3_000;
/** Longer than any wait for the leases of a former scheduler, in milliseconds. */
const OBSERVATION_MS = 25_000;
/** Times of the crash of the scheduler after the loss of the worker, in milliseconds. */
const CRASH_DELAYS_MS = [0, 500, 1_000, 1_500, 2_000, 3_000, 5_000];

/** Creates a pool with two entries and long-running tasks that take a part of its room. */
async function createPool(): Promise<PoolSimulation> {
  const simulation = await createBusyPool(JOB_COUNT, TASKS_PER_JOB, ENTRY_TIMINGS);
  simulation.addEntry("entry-1");
  await simulation.clock.advance(3_000);
  return simulation;
}

/** Returns how long each task was without a run after the loss of its worker, in milliseconds. */
function getIdleTimes({ journal }: PoolSimulation, lostAt: number): readonly number[] {
  return journal
    .filter(({ endedAt }) => endedAt === lostAt)
    .map(({ task }) => {
      const starts = journal
        .filter((run) => run.task === task && run.startedAt > lostAt)
        .map(({ startedAt }) => startedAt - lostAt);
      return Math.min(...starts);
    });
}

/** How long tasks were without a run, and for how long they may be, in milliseconds. */
interface Outage {
  readonly maxIdleMs: number;
  readonly limitMs: number;
  readonly violations: readonly string[];
}

/** Loses what an agent's tasks run on, then the scheduler of the pool. */
async function playLoss(lose: (agent: SimulatedAgent) => void, delayMs: number): Promise<Outage> {
  const simulation = await createPool();
  const { clock, agents, entries } = simulation;
  const [agent] = agents;
  const [leader] = entries;
  if (agent === undefined || leader?.coordinator.schedulers.size !== 1) {
    throw new Error("the pool has no agent, or its first entry does not schedule it");
  }
  const lostAt = clock.now();
  lose(agent);
  await clock.advance(delayMs);
  simulation.killEntry(leader);
  await clock.advance(OBSERVATION_MS);
  const idleTimes = getIdleTimes(simulation, lostAt);
  if (idleTimes.length === 0) {
    throw new Error("the worker had no runs");
  }
  const limitMs = Math.max(MAX_IDLE_MS, delayMs + CALM_BEFORE_MS) + MAX_OVERDUE_MS;
  return { maxIdleMs: Math.max(...idleTimes), limitMs, violations: simulation.findViolations() };
}

CRASH_DELAYS_MS.forEach((delayMs) => {
  // Guards against long-running tasks that wait, with room for them, for leases that nobody can have
  // extended. A task has to run from 6 s after its last run; it counts as lost after 3 s without a
  // run, if those and the 4 s before them are without an impairment.
  test(`PoolScheduler replaces long-running runs if their worker is lost ${delayMs} ms before the scheduler`, async (t) => {
    const { maxIdleMs, limitMs, violations } = await playLoss(loseWorker, delayMs);
    t.log(`tasks without a run for up to ${Math.round(maxIdleMs)} ms`);
    t.deepEqual(violations, []);
    t.true(maxIdleMs < limitMs, `${Math.round(maxIdleMs)} ms without a run, limit ${limitMs} ms`);
  });
});

CRASH_DELAYS_MS.forEach((delayMs) => {
  // Guards against the same if nobody can say any more what leases the worker has got.
  test(`PoolScheduler replaces long-running runs if the VM of their worker is lost ${delayMs} ms before the scheduler`, async (t) => {
    const { maxIdleMs, limitMs, violations } = await playLoss(loseVm, delayMs);
    t.log(`tasks without a run for up to ${Math.round(maxIdleMs)} ms`);
    t.deepEqual(violations, []);
    t.true(maxIdleMs < limitMs, `${Math.round(maxIdleMs)} ms without a run, limit ${limitMs} ms`);
  });
});
