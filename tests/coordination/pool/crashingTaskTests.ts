/**
 * Tests of tasks that crash each worker that starts them, in virtual time: such a task must not take
 * one worker down after the other, and the tasks that are beside it, or on workers that end for
 * other reasons, must not be blamed.
 */
import test, { type ExecutionContext } from "ava";
import type { JournalRun } from "../../../standins/pool/poolJournal.ts";
import { createJobId } from "../../support/poolFixtures.ts";
import type { SeededRandom } from "../../support/SeededRandom.ts";
import {
  CRASHES_UNTIL_LIMIT,
  createJob,
  createPool,
  getPhase,
  getPhases,
  RECOVERY_MS,
  type Pool,
} from "./crashFixtures.ts";
import type { PoolSimulation } from "./PoolSimulation.ts";
import type { SimulatedJob } from "./simulatedPool.ts";

const SEEDS = process.env.FIREFLYLB_SEED?.split(",").map(Number) ?? [1, 2, 3];
/** Starts of a task that are allowed after these crashes. */
const MAX_STARTS_AFTER_LIMIT = 2;
/** Crashed workers after which a task may be given up. */
const MIN_CRASHES_TO_GIVE_UP = 2;
const INNOCENT_JOB_COUNT = 12;
const TASKS_PER_JOB = 4;
/** Waves of innocent jobs, so that work waits whenever a worker is back. */
const WAVE_COUNT = 10;

interface CrashingTask {
  readonly task: string;
  readonly crashes: readonly JournalRun[];
  readonly startsAfterLimit: number;
}

function createInnocentJobs(random: SeededRandom, wave: number): readonly SimulatedJob[] {
  return Array.from({ length: INNOCENT_JOB_COUNT }, (_, position) => ({
    id: createJobId(100 * (wave + 1) + position),
    definition: createJob(TASKS_PER_JOB),
    workMs: 1_000 + random.nextInt(1_800),
  }));
}

function createCrashingJobs(
  random: SeededRandom,
  count: number,
  minMs = 200,
  spreadMs = 800,
): readonly SimulatedJob[] {
  return Array.from({ length: count }, (_, position) => ({
    ...{ id: createJobId(position + 1), definition: createJob(1), workMs: minMs + spreadMs },
    crashesWorkerAfterMs: minMs + random.nextInt(spreadMs),
  }));
}

/** Returns the task that crashed workers, with the starts after the limit. */
function findCrashingTasks({ journal }: PoolSimulation): readonly CrashingTask[] {
  const tasks = new Set(journal.flatMap(({ crashedBy }) => crashedBy ?? []));
  return [...tasks].map((task) => {
    const runs = journal.filter((run) => run.task === task);
    const crashes = runs
      .filter(({ crashedBy }) => crashedBy === task)
      .toSorted((a, b) => (a.endedAt ?? 0) - (b.endedAt ?? 0));
    const limitedAt = crashes[CRASHES_UNTIL_LIMIT - 1]?.endedAt ?? Number.POSITIVE_INFINITY;
    const startsAfterLimit = runs.filter(({ startedAt }) => startedAt > limitedAt).length;
    return { task, crashes, startsAfterLimit };
  });
}

/** Logs what the crashing tasks cost. */
function logCost(
  t: ExecutionContext,
  { simulation }: Pool,
  seed: number,
  innocent: readonly SimulatedJob[],
): void {
  const { journal } = simulation;
  const innocentIds = new Set(innocent.map(({ id }) => id));
  const found = findCrashingTasks(simulation);
  const workersDown = found.reduce((sum, { crashes }) => sum + crashes.length, 0);
  const lost = journal.filter(
    ({ task, crashedBy }) => crashedBy !== undefined && innocentIds.has(task.split(".")[0] ?? ""),
  );
  const hits = [...Map.groupBy(lost, ({ task }) => task).values()].map(({ length }) => length);
  t.log(
    `seed ${seed}: ${workersDown} workers went down, ${lost.length} innocent runs were lost, ` +
      `${Math.max(0, ...hits)} at most of one task; by crashing task: ` +
      found
        .map(
          (one) => `${one.crashes.length} crashes, ${one.startsAfterLimit} starts after the limit`,
        )
        .join("; "),
  );
}

async function checkJobs(
  t: ExecutionContext,
  pool: Pool,
  innocent: readonly SimulatedJob[],
  crashing: readonly SimulatedJob[],
): Promise<void> {
  const found = findCrashingTasks(pool.simulation);
  t.true(found.length > 0, "no worker crashed, so that the test shows nothing");
  t.deepEqual(
    found
      .filter(({ startsAfterLimit }) => startsAfterLimit > MAX_STARTS_AFTER_LIMIT)
      .map(({ task, startsAfterLimit }) => `${task} was started ${startsAfterLimit} times more`),
    [],
    "a task was started too often after three workers had crashed under it",
  );
  t.deepEqual(
    await getPhases(pool, innocent),
    innocent.map(({ id }) => `${id} completed`),
  );
  const phases = await Promise.all(crashing.map(async ({ id }) => getPhase(pool, id)));
  t.false(phases.includes("completed"), "a job whose task never ends is shown as completed");
  crashing.forEach(({ id }, position) => {
    const crashes = pool.simulation.journal.filter(
      ({ task, crashedBy }) => task.startsWith(id) && crashedBy !== undefined,
    ).length;
    t.false(
      phases[position] === "failed" && crashes < MIN_CRASHES_TO_GIVE_UP,
      `${id} is shown as failed after ${crashes} crashes`,
    );
  });
  t.deepEqual(pool.simulation.findViolations(), []);
}

/** Submits waves of innocent jobs, each with the next crashing one, and returns the innocent ones. */
async function runWaves(
  pool: Pool,
  crashing: readonly SimulatedJob[],
): Promise<readonly SimulatedJob[]> {
  const waves = Array.from({ length: WAVE_COUNT }, (_, wave) =>
    createInnocentJobs(pool.random, wave),
  );
  await waves.reduce<Promise<void>>(async (before, jobs, wave) => {
    await before;
    const [entry = pool.entry] = pool.simulation.entries.filter(({ isStopped }) => !isStopped);
    await pool.simulation.submitAll(entry, [...jobs, ...crashing.slice(wave, wave + 1)]);
  }, Promise.resolve());
  return waves.flat();
}

SEEDS.forEach((seed) => {
  // Guards against a task that is started without end although each worker that starts it crashes,
  // since a run that is lost with its worker counted for nothing.
  test(`PoolScheduler stops starting a task that crashes its workers, seed ${seed}`, async (t) => {
    const pool = await createPool(seed);
    const crashing = createCrashingJobs(pool.random, 1);
    const innocent = await runWaves(pool, crashing);
    await pool.simulation.clock.advance(RECOVERY_MS);
    logCost(t, pool, seed, innocent);
    await checkJobs(t, pool, innocent, crashing);
  });

  // Guards against the same where the next incarnation of the worker has another id.
  test(`PoolScheduler stops starting a task that crashes its workers, which come back under other ids, seed ${seed}`, async (t) => {
    const pool = await createPool(seed);
    pool.simulation.changesWorkerIds = true;
    const crashing = createCrashingJobs(pool.random, 1);
    const innocent = await runWaves(pool, crashing);
    await pool.simulation.clock.advance(RECOVERY_MS);
    logCost(t, pool, seed, innocent);
    await checkJobs(t, pool, innocent, crashing);
  });

  // Guards against counts of crashed workers that are lost with the scheduler that made them.
  test(`PoolScheduler counts crashed workers beyond a takeover, seed ${seed}`, async (t) => {
    const { simulation, random, entry } = await createPool(seed);
    const successor = simulation.addEntry("entry-1");
    const last = simulation.addEntry("entry-2");
    const pool = { simulation, random, entry: last };
    const crashing = createCrashingJobs(random, 1);
    // The scheduler is killed after the first, the second and the third crash.
    const restarted = [entry, successor];
    const killed: number[] = [];
    const kill = (): void => {
      const count = findCrashingTasks(simulation)[0]?.crashes.length ?? 0;
      const scheduling = simulation.entries.find(
        ({ isStopped, coordinator }) => !isStopped && coordinator.schedulers.size > 0,
      );
      if (count > killed.length && scheduling !== undefined && killed.length < 3) {
        killed.push(count);
        simulation.killEntry(scheduling);
        restarted.push(simulation.addEntry(`${scheduling.name}-again-${killed.length}`));
      }
      simulation.clock.after(500, kill);
    };
    kill();
    const innocent = await runWaves(pool, crashing);
    await simulation.clock.advance(RECOVERY_MS);
    logCost(t, pool, seed, innocent);
    t.log(`schedulers were killed at ${killed.join(", ")} crashes`);
    t.true(killed.length > 0, "no scheduler was killed");
    const [live = last] = simulation.entries.filter(({ isStopped }) => !isStopped);
    await checkJobs(t, { ...pool, entry: live }, innocent, crashing);
  });

  // Guards against several crashing tasks that keep most of the pool down.
  test(`PoolScheduler stops starting several tasks that crash their workers, seed ${seed}`, async (t) => {
    const pool = await createPool(seed);
    const crashing = createCrashingJobs(pool.random, 4);
    const innocent = await runWaves(pool, crashing);
    await pool.simulation.clock.advance(RECOVERY_MS);
    logCost(t, pool, seed, innocent);
    await checkJobs(t, pool, innocent, crashing);
  });

  [2_000, 8_000].forEach((afterMs) => {
    // Guards against such tasks that cannot be told from others because they are never tried alone:
    // innocent ones were given up, and a crashing one was started three times more.
    test(`PoolScheduler stops starting several tasks that crash their workers after ${afterMs} ms, seed ${seed}`, async (t) => {
      const pool = await createPool(seed, 2);
      const crashing = createCrashingJobs(pool.random, 4, afterMs, afterMs / 10);
      const innocent = await runWaves(pool, crashing);
      await pool.simulation.clock.advance(2 * RECOVERY_MS);
      logCost(t, pool, seed, innocent);
      await checkJobs(t, pool, innocent, crashing);
    });
  });

  // Guards against innocent tasks that are given up because they were beside crashing ones. With two
  // workers, long tasks cannot avoid them.
  test(`PoolScheduler completes tasks that were on workers that other tasks crashed, seed ${seed}`, async (t) => {
    const pool = await createPool(seed, 2);
    const { simulation, random, entry } = pool;
    const crashing = createCrashingJobs(random, 3);
    const innocent = [1, 2].map((number) => ({
      id: createJobId(100 + number),
      definition: createJob(3),
      workMs: 6_000,
    }));
    await simulation.submitAll(entry, [...innocent, ...crashing]);
    await simulation.clock.advance(RECOVERY_MS);
    logCost(t, pool, seed, innocent);
    await checkJobs(t, pool, innocent, crashing);
  });
});
