/**
 * Tests of workers whose capacity shrinks and grows while they run, and that start whatever they are
 * told to, in virtual time: no start may bring such a worker over the capacity that it announced.
 */
import test, { type ExecutionContext } from "ava";
import type { JobDefinition } from "../../../src/protocol/pool/JobDefinition.ts";
import { createJobId, createObserveCall, createStep } from "../../support/poolFixtures.ts";
import { SeededRandom } from "../../support/SeededRandom.ts";
import { PoolSimulation } from "./PoolSimulation.ts";
import {
  QUEUE,
  type SimulatedAgent,
  type SimulatedEntry,
  type SimulatedJob,
} from "./simulatedPool.ts";

const SEEDS = process.env.FIREFLYLB_SEED?.split(",").map(Number) ?? [1, 2, 3];
const AGENT_COUNT = 3;
/** Time in which the entry becomes the scheduler and all agents report, in milliseconds. */
const START_MS = 3_000;
const FULL_MILLI = 8_000;
const SHRUNK_MILLI = 3_000;
/** Runs that a worker has room for at its full capacity. */
const MAX_RUNS = 8;
const HEARTBEAT_MS = 1_000;
/** Jobs that are submitted at once, and how often. */
const JOBS_PER_WAVE = 12;
const TASKS_PER_JOB = 3;
const WAVE_COUNT = 8;
/**
 * Waves between two changes of the capacity: with 3 s each, a smaller capacity counts for most of
 * that time. The jobs of a wave ask for more than the workers have room for.
 */
const WAVES_PER_CHANGE = 4;
/** Time by which an order without a response is executed late at least, in milliseconds. */
const MIN_LATE_MS = 300;
/** Time at which a worker announces a smaller capacity that its scheduler cannot hear of. */
const UNHEARD_AT_MS = 8_000;
/** Time from the start of the cut to the announcement, in milliseconds. */
const CUT_BEFORE_MS = 10;
/** Time from the announcement to the end of the cut, in milliseconds; less than until it counts. */
const CUT_AFTER_MS = 3_980;
/** Times from the announcement to the submission of jobs, in milliseconds. */
const SUBMISSIONS_AFTER_MS = [1_400, 1_500, 1_600, 1_700, 1_750, 1_800, 1_900];
/** Time of a job after whose end the agent reports at intervals of a second, shortly before the cut. */
const PHASE_JOB_AT_MS = 3_900;
/** Longer than the remaining work and every wait for a lease, in milliseconds. */
const RECOVERY_MS = 60_000;

interface Pool {
  readonly simulation: PoolSimulation;
  readonly random: SeededRandom;
  readonly entry: SimulatedEntry;
}

async function createPool(seed: number, agentCount = AGENT_COUNT): Promise<Pool> {
  const simulation = new PoolSimulation(seed);
  const entry = simulation.addEntry("entry-0");
  const names = Array.from({ length: agentCount }, (_, position) => `agent-${position}`);
  await Promise.all(names.map((name) => simulation.addAgent(name, FULL_MILLI)));
  simulation.agents.forEach(({ worker }) => {
    worker.faults.startsWithoutRoom = true;
  });
  await simulation.clock.advance(START_MS);
  return { simulation, random: new SeededRandom(seed), entry };
}

function createJob(taskCount: number): JobDefinition {
  return { payload: "", steps: [createStep({ taskCount })], schedule: undefined };
}

function createJobIds(wave: number): readonly string[] {
  return Array.from({ length: JOBS_PER_WAVE }, (_, position) =>
    createJobId(100 * wave + position + 1),
  );
}

function createJobs({ random }: Pool, wave: number): readonly SimulatedJob[] {
  return createJobIds(wave).map((id) => ({
    id,
    definition: createJob(TASKS_PER_JOB),
    workMs: 500 + random.nextInt(4_000),
  }));
}

/** Submits waves of jobs, and calls a function before each of them. */
async function runWaves(pool: Pool, prepare: (wave: number) => void): Promise<void> {
  await Array.from({ length: WAVE_COUNT }).reduce<Promise<void>>(async (before, _, wave) => {
    await before;
    prepare(wave);
    const { simulation } = pool;
    const [entry = pool.entry] = simulation.entries.filter(({ isStopped }) => !isStopped);
    await simulation.submitAll(entry, createJobs(pool, wave));
  }, Promise.resolve());
  await pool.simulation.clock.advance(RECOVERY_MS);
}

function getUsedMilli({ journal }: PoolSimulation, { worker }: SimulatedAgent): number {
  return journal
    .filter((run) => run.worker === worker.incarnation && run.endedAt === undefined)
    .reduce((sum, { resources }) => sum + resources.processorsMilli, 0);
}

function getCapacityMilli(wave: number): number {
  return Math.floor(wave / WAVES_PER_CHANGE) % 2 === 0 ? SHRUNK_MILLI : FULL_MILLI;
}

function resize({ simulation }: Pool, processorsMilli: number): void {
  simulation.agents.slice(0, 2).forEach(({ worker }) => {
    worker.resize(processorsMilli);
  });
}

function checkRuns(t: ExecutionContext, { simulation }: Pool, minJobCount: number): void {
  const over = simulation.findOverCapacity();
  const done = new Set(
    simulation.journal.filter(({ outcome }) => outcome === "done").map(({ task }) => task),
  ).size;
  t.log(
    `${simulation.journal.length} starts, ${done} tasks done, ${over.length} over the capacity`,
  );
  t.deepEqual(over, []);
  t.is(done, minJobCount * TASKS_PER_JOB, "not all tasks were done");
  t.deepEqual(simulation.findViolations(), []);
}

SEEDS.forEach((seed) => {
  // Guards against starts into room that a worker has announced to be gone.
  test(`PoolScheduler fills a worker that shrinks only up to its capacity, seed ${seed}`, async (t) => {
    const pool = await createPool(seed);
    await runWaves(pool, (wave) => {
      // Shrinks in the middle of a wave, while room is being filled.
      pool.simulation.clock.after(pool.random.nextInt(2_000), () => {
        resize(pool, getCapacityMilli(wave));
      });
    });
    checkRuns(t, pool, WAVE_COUNT * JOBS_PER_WAVE);
  });

  // Guards against starts that replace ended runs on a worker that is still over its capacity.
  test(`PoolScheduler starts nothing on a worker that runs more than it has room for, seed ${seed}`, async (t) => {
    const pool = await createPool(seed, 1);
    const [agent] = pool.simulation.agents;
    const jobs = Array.from({ length: 3 * MAX_RUNS }, (_, position) => ({
      id: createJobId(position + 1),
      definition: createJob(1),
      workMs: 4_000 + 700 * (position % MAX_RUNS) + pool.random.nextInt(300),
    }));
    await pool.simulation.submitAll(pool.entry, jobs);
    t.is(agent && getUsedMilli(pool.simulation, agent), FULL_MILLI);
    agent?.worker.resize(SHRUNK_MILLI);
    await pool.simulation.clock.advance(2 * RECOVERY_MS);
    t.is(agent && getUsedMilli(pool.simulation, agent), 0);
    const over = pool.simulation.findOverCapacity();
    t.log(`${pool.simulation.journal.length} starts, ${over.length} over the capacity`);
    t.deepEqual(over, []);
    t.is(pool.simulation.journal.filter(({ outcome }) => outcome === "done").length, jobs.length);
  });

  // Guards against room that is given away while an order without a response may still be executed,
  // and against repeated orders that no longer fit.
  test(`PoolScheduler counts orders without a response against a worker that shrinks, seed ${seed}`, async (t) => {
    const pool = await createPool(seed);
    const { simulation, random } = pool;
    await runWaves(pool, (wave) => {
      resize(pool, getCapacityMilli(wave));
      simulation.agents.slice(0, 2).forEach(({ worker: { faults } }) => {
        faults.lateOrders = Number.POSITIVE_INFINITY;
        // A call that the worker answers meanwhile would bar the late orders.
        faults.stallsWithLateOrders = true;
        faults.lateMs = MIN_LATE_MS + random.nextInt(2_500);
        simulation.clock.after(faults.lateMs + 200 + random.nextInt(1_000), () => {
          faults.lateOrders = 0;
        });
      });
    });
    const late = simulation.journal.filter(
      ({ orderedAt, startedAt }) => startedAt - orderedAt >= MIN_LATE_MS,
    ).length;
    t.log(`${late} starts were executed late`);
    t.true(late > 0, "no start was executed late");
    checkRuns(t, pool, WAVE_COUNT * JOBS_PER_WAVE);
  });

  // Guards against room that is given away while a run that is being stopped still uses it.
  test(`PoolScheduler counts runs that are being stopped on a worker that shrinks, seed ${seed}`, async (t) => {
    const pool = await createPool(seed);
    const { simulation, random, entry } = pool;
    await runWaves(pool, (wave) => {
      simulation.clock.after(random.nextInt(2_000), () => {
        resize(pool, getCapacityMilli(wave));
      });
      createJobIds(wave).forEach((id, position) => {
        if (position % 2 === 0) {
          simulation.clock.after(1_000 + random.nextInt(1_500), () => {
            void entry.submissions.cancel(QUEUE, id, simulation.clock.now() + 2_000);
          });
        }
      });
    });
    const stopped = simulation.journal.filter(({ outcome }) => outcome === "stopped").length;
    const over = simulation.findOverCapacity();
    t.log(
      `${simulation.journal.length} starts, ${stopped} stopped, ${over.length} over the capacity`,
    );
    t.true(stopped > 0, "no run was stopped");
    t.deepEqual(over, []);
    t.deepEqual(simulation.findViolations(), []);
  });

  // Guards against a new scheduler that takes recorded runs for less than they use, or an old
  // capacity for the current one.
  test(`PoolScheduler starts nothing beyond a shrunk capacity after a takeover, seed ${seed}`, async (t) => {
    const pool = await createPool(seed);
    const { simulation, random } = pool;
    simulation.addEntry("entry-1");
    simulation.addEntry("entry-2");
    await runWaves(pool, (wave) => {
      resize(pool, getCapacityMilli(wave));
      simulation.clock.after(random.nextInt(3_000), () => {
        const scheduling = simulation.entries.find(
          ({ isStopped, coordinator }) => !isStopped && coordinator.schedulers.size > 0,
        );
        if (wave % 2 === 0 && scheduling !== undefined) {
          simulation.killEntry(scheduling);
          simulation.addEntry(`${scheduling.name}-${wave}`);
        }
      });
    });
    checkRuns(t, pool, WAVE_COUNT * JOBS_PER_WAVE);
  });
});

/** Returns the starts over the capacity after a worker shrank while its agent was cut off. */
async function findUnheardStarts(t: ExecutionContext, afterMs: number): Promise<readonly string[]> {
  const { simulation, entry } = await createPool(1, 1);
  const { clock } = simulation;
  await clock.advance(PHASE_JOB_AT_MS - clock.now());
  const phaseJob = { id: createJobId(99), definition: createJob(1), workMs: 1_000 };
  await simulation.submitAll(entry, [phaseJob]);
  await clock.advance(UNHEARD_AT_MS - CUT_BEFORE_MS - clock.now());
  simulation.agents.forEach((agent) => {
    agent.isDisconnected = true;
    agent.worker.resize(SHRUNK_MILLI);
    clock.after(CUT_BEFORE_MS + CUT_AFTER_MS, () => {
      agent.isDisconnected = false;
    });
  });
  await clock.advance(CUT_BEFORE_MS + afterMs);
  const jobs = Array.from({ length: MAX_RUNS }, (_, position) => ({
    ...{ id: createJobId(position + 1), definition: createJob(1), workMs: 2_000 },
  }));
  await simulation.submitAll(entry, jobs);
  await clock.advance(RECOVERY_MS);
  const done = new Set(
    simulation.journal.filter(({ outcome }) => outcome === "done").map(({ task }) => task),
  );
  t.is(done.size, MAX_RUNS + 1);
  const over = simulation.findOverCapacity();
  t.log(`submission ${afterMs} ms after the announcement: ${over.length} over the capacity`);
  return over;
}

// Guards against orders that were placed before the scheduler learnt that their worker had shrunk,
// got lost, and are repeated although the worker has no room for them any more.
test("PoolScheduler repeats no lost order that no longer fits its worker", async (t) => {
  const found = await SUBMISSIONS_AFTER_MS.reduce<Promise<readonly string[]>>(
    async (before, afterMs) => [...(await before), ...(await findUnheardStarts(t, afterMs))],
    Promise.resolve([]),
  );
  t.deepEqual(found, []);
});

// Guards against room that stays unused after it has been announced again.
test("PoolScheduler uses a capacity that has grown again within two heartbeats", async (t) => {
  const pool = await createPool(1, 1);
  const { simulation, entry } = pool;
  const [agent] = simulation.agents;
  agent?.worker.resize(SHRUNK_MILLI);
  await simulation.clock.advance(2 * HEARTBEAT_MS);
  const jobs = Array.from({ length: MAX_RUNS }, (_, position) => ({
    ...{ id: createJobId(position + 1), definition: createJob(1), workMs: 60_000 },
  }));
  await simulation.submitAll(entry, jobs);
  t.is(agent && getUsedMilli(simulation, agent), SHRUNK_MILLI);
  agent?.worker.resize(FULL_MILLI);
  await simulation.clock.advance(2 * HEARTBEAT_MS);
  t.is(agent && getUsedMilli(simulation, agent), FULL_MILLI);
  t.deepEqual(simulation.findOverCapacity(), []);
});

// Guards against a scheduler that learns of a changed capacity only when its call ends, so that it
// goes on to place runs into room that is gone.
test("PoolWorkerAgent reports a changed capacity as soon as it is announced", async (t) => {
  const simulation = new PoolSimulation();
  const agent = await simulation.addAgent("agent-0", FULL_MILLI);
  const call = createObserveCall();
  await agent.workerAgent.observe(call);
  await simulation.clock.advance(2 * HEARTBEAT_MS);
  const first = await agent.workerAgent.observe(call);
  const known =
    first.kind === "answered"
      ? { knownVersion: first.value.version, knownProcess: first.value.process }
      : {};
  const answers: number[] = [];
  void agent.workerAgent.observe({ ...call, ...known, waitMs: 10_000 }).then((outcome) => {
    if (outcome.kind === "answered") {
      answers.push(outcome.value.worker?.capacity.processorsMilli ?? 0);
    }
  });
  await simulation.clock.advance(HEARTBEAT_MS);
  t.deepEqual(answers, [], "the agent reported although nothing had changed");
  agent.worker.resize(SHRUNK_MILLI);
  await simulation.clock.advance(HEARTBEAT_MS);
  t.deepEqual(answers, [SHRUNK_MILLI]);
});
