/**
 * Tests in virtual time of what the end of a run does to its task and job.
 */
import test from "ava";
import type { StepDefinition } from "../../../src/protocol/pool/JobDefinition.ts";
import { createStep, createWorkerReport } from "../../support/poolFixtures.ts";
import { addJob, AGENT, createScriptedScheduler, HANDLED_MS } from "./createScriptedScheduler.ts";
import { PoolSimulation } from "./PoolSimulation.ts";
import { QUEUE, type SimulatedEntry } from "./simulatedPool.ts";

const TASK_COUNT = 3;
/** Time after which each run of the tests ends by itself, in milliseconds. */
const WORK_MS = 1_000;
/** Number of ends of each task after the submission for which a test waits. */
const MIN_ENDS = 3;
/** Time within which a run is recorded, ordered and listed, or its end is reported, in milliseconds. */
const TURNAROUND_MS = 1_000;
const JOB = "0000000000000001";

interface Fixture {
  readonly simulation: PoolSimulation;
  readonly entry: SimulatedEntry;
}

/** Creates a pool and submits a job of one step, whose runs all end with the outcome "done". */
async function createPool(step: Partial<StepDefinition>): Promise<Fixture> {
  const simulation = new PoolSimulation();
  const entry = simulation.addEntry("entry-0");
  const names = ["agent-0", "agent-1", "agent-2"];
  await Promise.all(names.map((name) => simulation.addAgent(name)));
  await simulation.clock.advance(3_000);
  const steps = [createStep({ taskCount: TASK_COUNT, estimateMs: WORK_MS, ...step })];
  await simulation.submit(entry, JOB, { payload: "", steps, schedule: undefined }, WORK_MS);
  await simulation.clock.advance(MIN_ENDS * (WORK_MS + TURNAROUND_MS));
  return { simulation, entry };
}

async function getPhase({ entry }: Fixture): Promise<string> {
  const found = await entry.submissions.getPhase(QUEUE, JOB, Number.POSITIVE_INFINITY);
  return found.kind === "found" ? found.phase : found.kind;
}

/** Gets the ends with the outcome "done" of each task, by task. */
function countDoneRuns({ simulation }: Fixture): readonly number[] {
  const done = simulation.journal.filter(({ outcome }) => outcome === "done");
  return [...Map.groupBy(done, ({ task }) => task).values()].map((runs) => runs.length);
}

function findOverlaps({ simulation }: Fixture): readonly string[] {
  return simulation.findViolations().filter((violation) => violation.includes("started during"));
}

[
  { title: "a long-running task", step: { longRunning: true } },
  { title: "a long-running gang", step: { longRunning: true, gang: true } },
].forEach(({ title, step }) => {
  // Guards against an accepted long-running task that never runs again since one of its runs ended
  // by itself.
  test(`JobUpdater has ${title} start again after its run is done`, async (t) => {
    const fixture = await createPool(step);
    const counts = countDoneRuns(fixture);
    t.is(counts.length, TASK_COUNT);
    t.true(
      counts.every((count) => count >= MIN_ENDS),
      `runs done by task: ${counts.join(" ")}`,
    );
    t.is(await getPhase(fixture), "running");
    t.deepEqual(findOverlaps(fixture), []);
    const quarantined = fixture.simulation.log.lines.filter(({ sentence }) =>
      sentence.startsWith("Worker is quarantined"),
    );
    t.is(quarantined.length, 0, "a run that is done counts as a failure");
  });

  test(`JobUpdater does not start ${title} again once its job is cancelled`, async (t) => {
    const fixture = await createPool(step);
    const { simulation, entry } = fixture;
    const deadline = simulation.clock.now() + TURNAROUND_MS;
    const cancelled = entry.submissions.cancel(QUEUE, JOB, deadline);
    await simulation.clock.advance(WORK_MS + TURNAROUND_MS);
    t.is((await cancelled).kind, "stored");
    const { length } = simulation.journal;
    await simulation.clock.advance(MIN_ENDS * (WORK_MS + TURNAROUND_MS));
    t.is(simulation.journal.length, length);
    t.is(await getPhase(fixture), "cancelled");
  });
});

test("JobUpdater has other tasks done once, also those of a gang", async (t) => {
  const fixtures = await Promise.all([createPool({}), createPool({ gang: true })]);
  for (const fixture of fixtures) {
    t.deepEqual(countDoneRuns(fixture), [1, 1, 1]);
    t.is(await getPhase(fixture), "completed");
    t.deepEqual(fixture.simulation.findViolations(), []);
  }
});

// Guards against a run that is held lost for a reason that cannot be checked afterwards: whether a
// list was made before the order, by another process of the agent, or by another incarnation.
test("JobUpdater logs what it knew of the worker when it held a run lost", async (t) => {
  const fixture = await createScriptedScheduler();
  const { clock, log, channel, scheduler } = fixture;
  channel.orderCallNumber = 5;
  await addJob(fixture);
  channel.setReport("a", createWorkerReport({ callNumber: 6 }));
  await clock.advance(HANDLED_MS);
  const [lost] = log.lines.filter(({ sentence }) => sentence.startsWith("Run is lost"));
  t.like(lost?.fields, {
    ...{ run: 1, agent: AGENT, worker: createWorkerReport().worker, phase: "ordered", tries: 1 },
    ...{ orderCall: 5, listCall: 6, reportAgeMs: 0, process: "a" },
    presentWorker: createWorkerReport().worker,
  });
  scheduler.stop();
});
