/**
 * Tests in virtual time of a scheduler that meets progress in the store which it did not write: the
 * pool must not be elected a scheduler again and again, and all other jobs must run.
 */
import test from "ava";
import { formatJobKey } from "../../../src/state/pool/PoolKeys.ts";
import { createJobId, createStep, POOL } from "../../support/poolFixtures.ts";
import { PoolSimulation } from "./PoolSimulation.ts";
import { QUEUE, TIMINGS, type SimulatedEntry } from "./simulatedPool.ts";

const TASK_COUNT = 3;
/** Time for which an entry that gave a pool up claims nothing, in milliseconds. */
const HOLD_OFF_MS = TIMINGS.schedulerLeaseMs + 1_000;
/** Time within which a free pool is claimed and its changes are fetched, in milliseconds. */
const CLAIM_MS = 2_000;
/** Time within which another entry takes over after a crash of the scheduler, in milliseconds. */
const TAKEOVER_MS = 3_000;
/** Run time of tasks that end after the fault of a test has begun, in milliseconds. */
const WORK_MS = 8_000;
/** Time in which an entry that claims again at once is elected many times, in milliseconds. */
const OBSERVED_MS = 30_000;
const FAULTY_JOB = createJobId(1);

/** Creates a pool with entries, and submits the job that becomes the faulty one. */
async function createPool(entryCount: number): Promise<PoolSimulation> {
  const simulation = new PoolSimulation();
  const entry = simulation.addEntry("entry-0");
  const names = ["agent-0", "agent-1", "agent-2", "agent-3"];
  await Promise.all(names.map((name) => simulation.addAgent(name)));
  await simulation.clock.advance(3_000);
  Array.from({ length: entryCount - 1 }, (_, position) =>
    simulation.addEntry(`entry-${position + 1}`),
  );
  const steps = [createStep({ taskCount: TASK_COUNT, estimateMs: WORK_MS })];
  const definition = { payload: "", steps, schedule: undefined };
  await simulation.submit(entry, FAULTY_JOB, definition, WORK_MS);
  return simulation;
}

/** Submits a job of long-running tasks to an entry that has not been killed. */
async function submitLongRunning(simulation: PoolSimulation, number: number): Promise<void> {
  const steps = [createStep({ taskCount: TASK_COUNT, longRunning: true })];
  const definition = { payload: "", steps, schedule: undefined };
  const entry = simulation.entries.find(({ isStopped }) => !isStopped);
  if (entry !== undefined) {
    await simulation.submit(entry, createJobId(number), definition, undefined);
  }
}

/** Writes a value under the key of the faulty job's progress as somebody else would. */
function overwriteProgress({ storeModel }: PoolSimulation, value: string): void {
  const key = formatJobKey({ kind: "progress", pool: POOL, job: FAULTY_JOB });
  storeModel.write({ key, value, expected: storeModel.read(key)?.revision ?? 0 });
}

function countLines({ log }: PoolSimulation, start: string): number {
  return log.lines.filter(({ sentence }) => sentence.startsWith(start)).length;
}

function countElections(simulation: PoolSimulation): number {
  return countLines(simulation, "This entry was elected scheduler");
}

function countRunning({ journal }: PoolSimulation, number: number): number {
  const runs = journal.filter(({ task }) => task.startsWith(createJobId(number)));
  return runs.filter(({ endedAt }) => endedAt === undefined).length;
}

function isScheduler({ coordinator }: SimulatedEntry): boolean {
  return coordinator.schedulers.size > 0;
}

[1, 2].forEach((entryCount) => {
  // Guards against a pool in which no accepted job starts any more and which is claimed every 30 ms,
  // because the progress of one job cannot be parsed.
  test(`PoolCoordinator runs all other jobs when the progress of one is foreign, entries: ${entryCount}`, async (t) => {
    const simulation = await createPool(entryCount);
    await submitLongRunning(simulation, 2);
    const before = countElections(simulation);
    overwriteProgress(simulation, "foreign");
    await simulation.clock.advance(OBSERVED_MS);
    await submitLongRunning(simulation, 3);
    const elections = countElections(simulation) - before;
    t.true(elections <= Math.ceil(OBSERVED_MS / HOLD_OFF_MS), `elections: ${elections}`);
    t.is(elections, 1, "the pool was given up more than once");
    t.is(countRunning(simulation, 2), TASK_COUNT);
    t.is(countRunning(simulation, 3), TASK_COUNT);
    const leftOut = simulation.log.lines.filter(
      ({ level, fields }) => level === "error" && fields.job !== undefined,
    );
    t.deepEqual(
      leftOut.map(({ fields }) => fields.job),
      [FAULTY_JOB],
    );
    t.deepEqual(simulation.findViolations(), []);
  });
});

// Guards against an entry that is elected again and again with the same wrong revision in its
// catalog.
test("PoolCoordinator corrects a wrong revision of progress with one resignation", async (t) => {
  const simulation = await createPool(2);
  const { clock, entries } = simulation;
  await submitLongRunning(simulation, 2);
  const leader = entries.find(isScheduler);
  const successor = entries.find((entry) => entry !== leader);
  const job = successor?.coordinator.catalog.getJob(FAULTY_JOB);
  if (leader === undefined || successor === undefined || job?.progress === undefined) {
    t.fail("the job is not known at a second entry");
    return;
  }
  const { progress, progressRevision } = job;
  successor.coordinator.catalog.updateProgress(FAULTY_JOB, progress, progressRevision + 1);
  const before = countElections(simulation);
  simulation.killEntry(leader);
  await clock.advance(TAKEOVER_MS);
  t.is(countElections(simulation) - before, 1);
  await clock.advance(WORK_MS + HOLD_OFF_MS + CLAIM_MS);
  t.true(isScheduler(successor));
  t.is(countLines(simulation, "This entry gives up a pool"), 1);
  t.is(countElections(simulation) - before, 2);
  const found = await successor.submissions.getPhase(QUEUE, FAULTY_JOB, Number.POSITIVE_INFINITY);
  t.deepEqual(found.kind === "found" ? found.phase : found.kind, "completed");
  await submitLongRunning(simulation, 3);
  t.is(countRunning(simulation, 2), TASK_COUNT);
  t.is(countRunning(simulation, 3), TASK_COUNT);
  t.deepEqual(simulation.findViolations(), []);
});
