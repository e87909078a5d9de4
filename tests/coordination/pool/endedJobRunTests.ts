/**
 * Tests in virtual time of runs that are still there although what was decided about their job or task
 * says that they should not be: the scheduler that decided could not stop them any more, so that the
 * next one has to.
 */
import test from "ava";
import type { CatalogJob } from "../../../src/state/pool/JobCatalog.ts";
import { formatJobKey } from "../../../src/state/pool/PoolKeys.ts";
import type { ProgressRecord, TaskRecord } from "../../../src/state/pool/records.ts";
import { MemoryStore } from "../../../standins/store/MemoryStore.ts";
import { ManualClock } from "../../support/ManualClock.ts";
import {
  createJobId,
  createJobRecord,
  createStep,
  createWorkerReport,
  POOL,
} from "../../support/poolFixtures.ts";
import { createBusyPool } from "./createBusyPool.ts";
import { createScriptedScheduler, HANDLED_MS, JOB } from "./createScriptedScheduler.ts";
import type { PoolSimulation } from "./PoolSimulation.ts";
import { QUEUE, type SimulatedAgent } from "./simulatedPool.ts";
import { ScriptedChannel } from "./ScriptedChannel.ts";

/** Time from a cancellation to the crash of the scheduler, in milliseconds. */
const CRASH_DELAY_MS = 500;
/** Time for which an agent is out of reach, in milliseconds; shorter than a lease. */
const AWAY_MS = 2_000;
/** Longest time from a takeover, with all agents in reach, until stopped runs are gone, in ms. */
const STOPPED_MS = 4_000;
const WORKER = createWorkerReport().worker;
const TASK = `${JOB}.0.0.0`;

/** Keeps an agent from the entries for some time, unless it was replaced by a new process meanwhile. */
async function cutAgent(simulation: PoolSimulation, agent: SimulatedAgent, restarts: boolean) {
  agent.isDisconnected = true;
  await simulation.clock.advance(AWAY_MS);
  if (restarts) {
    await simulation.restartAgent(agent);
  }
  agent.isDisconnected = false;
}

function countRunning({ journal }: PoolSimulation): number {
  return journal.filter(({ endedAt }) => endedAt === undefined).length;
}

[
  { title: "cut off", restarts: false },
  { title: "replaced by a new process", restarts: true },
].forEach(({ title, restarts }) => {
  // Guards against a cancelled job that works on for ever: the scheduler that recorded it as cancelled
  // could not reach the agent of a run, and the next one took the run for any other.
  test(`PoolScheduler stops the runs of a job that was cancelled under a former scheduler while an agent was ${title}`, async (t) => {
    const simulation = await createBusyPool(1, 12);
    const { clock, agents, entries } = simulation;
    const other = simulation.addEntry("entry-1");
    await clock.advance(2_000);
    const [leader] = entries;
    const busy = new Set(simulation.journal.map(({ worker }) => worker));
    const agent = agents.find(({ worker }) => busy.has(worker.incarnation));
    if (agent === undefined || leader?.coordinator.schedulers.size !== 1) {
      throw new Error("no agent has a run, or the first entry does not schedule the pool");
    }
    const isBack = cutAgent(simulation, agent, restarts);
    const cancelled = other.submissions.cancel(QUEUE, createJobId(1), clock.now() + 1_000);
    await clock.advance(CRASH_DELAY_MS);
    t.deepEqual(await cancelled, { kind: "stored", known: false });
    t.true(countRunning(simulation) > 0, "no run is out of reach");
    simulation.killEntry(leader);
    await clock.advance(AWAY_MS);
    await isBack;
    await clock.advance(STOPPED_MS);
    t.true(other.coordinator.schedulers.size > 0, "no other entry has taken over");
    t.is(countRunning(simulation), 0, simulation.log.format());
  });
});

interface LeftRun {
  readonly title: string;
  readonly progress: ProgressRecord;
  readonly isCancelled?: boolean;
}

/** Creates the progress of a job with one run that is not known to have ended. */
function createProgress(
  phase: ProgressRecord["phase"],
  task: Partial<TaskRecord> = {},
): ProgressRecord {
  const active = [{ run: 1, agent: "agent-a", worker: WORKER }];
  return { phase, tasks: { "0.0.0": { run: 1, active, ...task } } };
}

const LEFT_RUNS: readonly LeftRun[] = [
  { title: "a cancelled job", progress: createProgress("cancelled"), isCancelled: true },
  {
    title: "a job whose cancelling was not recorded",
    progress: createProgress("running"),
    isCancelled: true,
  },
  { title: "a failed job", progress: createProgress("failed", { failures: 3 }) },
  {
    title: "a job that failed and was cancelled then",
    progress: createProgress("failed"),
    isCancelled: true,
  },
  { title: "a completed job", progress: createProgress("completed", { done: true }) },
  {
    title: "a task of a running job that is done",
    progress: createProgress("running", { done: true }),
  },
];

/** Starts a scheduler with a job that a former one left, whose run the worker lists. */
async function restore({ progress, isCancelled = false }: Omit<LeftRun, "title">) {
  const clock = new ManualClock();
  const store = new MemoryStore(clock);
  const key = formatJobKey({ kind: "progress", pool: POOL, job: JOB });
  await store.write({ key, value: JSON.stringify(progress), expected: 0 });
  const progressRevision = (await store.read(key))._unsafeUnwrap()?.revision ?? 0;
  const step = createStep({ taskCount: 2, longRunning: progress.tasks["0.0.0"]?.done !== true });
  const job: CatalogJob = {
    ...{ id: JOB, pool: POOL, acceptedRevision: 1, isCancelled, progress, progressRevision },
    cancelledQueues: new Set(),
    ...{ record: createJobRecord([step]), phase: progress.phase, isProgressUnreadable: false },
  };
  const channel = new ScriptedChannel(clock);
  const running = [{ task: TASK, run: 1, checkpoint: "", percent: 100, measure: 0 }];
  channel.setReport("a", createWorkerReport({ running }));
  return createScriptedScheduler(clock, store, [job], channel);
}

LEFT_RUNS.forEach((left) => {
  // Guards against the same for whatever else was decided about a run's job or task.
  test(`PoolScheduler stops a run that a former scheduler left of ${left.title}`, async (t) => {
    const { clock, channel, scheduler } = await restore(left);
    await clock.advance(3 * HANDLED_MS);
    t.deepEqual(channel.stops[0], { task: TASK, run: 1 });
    scheduler.stop();
  });
});

// Guards against a run that is stopped although nothing was decided about its job and task.
test("PoolScheduler keeps a run that a former scheduler left of a running job", async (t) => {
  const { clock, channel, scheduler } = await restore({ progress: createProgress("running") });
  await clock.advance(10 * HANDLED_MS);
  t.deepEqual(channel.stops, []);
  scheduler.stop();
});

// Guards against a run that works on after its job is forgotten: its worker was out of reach for
// longer than the job is kept, so that no scheduler knows the job any more.
test("PoolScheduler stops a run of a job that is not kept any more", async (t) => {
  const { clock, channel, scheduler } = await createScriptedScheduler();
  const running = [{ task: TASK, run: 1, checkpoint: "", percent: 100, measure: 0 }];
  channel.setReport("a", createWorkerReport({ running }));
  await clock.advance(HANDLED_MS);
  t.deepEqual(channel.stops, [{ task: TASK, run: 1 }]);
  scheduler.stop();
});
