/**
 * Tests of how soon a task runs elsewhere if its start was stopped on a worker without other runs,
 * in virtual time.
 */
import test from "ava";
import { createJobId, createStep } from "../../support/poolFixtures.ts";
import { PoolSimulation } from "./PoolSimulation.ts";
import { QUEUE } from "./simulatedPool.ts";

/** Longer than the test, in milliseconds: the start is not carried out. */
const NEVER_MS = 600_000;
/** Time in which the first order has no response, in milliseconds. */
const FIRST_ORDER_MS = 250;
/** Repetition and stop of the order, lists made right after it, and a margin, in milliseconds. */
const MAX_START_MS = 1_500;
const OBSERVATION_MS = 30_000;
const JOB = createJobId(1);

/** Times of the submission after the start of the pool, in milliseconds. */
const SUBMITTED_AFTER_MS = [3_000, 3_150, 3_300, 3_450, 3_600, 3_750, 3_900];

/** Returns the time from the first order of a task to its start on another worker. */
async function playStop(submittedAfterMs: number): Promise<number> {
  const simulation = new PoolSimulation();
  const { clock } = simulation;
  const entry = simulation.addEntry("entry-0");
  const slow = await simulation.addAgent("agent-0");
  await clock.advance(submittedAfterMs);
  Object.assign(slow.worker.faults, { lateOrders: 2, lateMs: NEVER_MS });
  const job = { payload: "", steps: [createStep()], schedule: undefined };
  simulation.setRequirements(JOB, job, 1_000);
  const submitted = entry.submissions.submit(QUEUE, JOB, job, clock.now() + 2_500);
  await clock.advance(FIRST_ORDER_MS);
  await submitted;
  const orderedAt = clock.now();
  await simulation.addAgent("agent-1");
  slow.worker.drain();
  slow.workerAgent.handleAnnouncement(slow.worker.announce());
  await clock.advance(OBSERVATION_MS);
  const [run] = simulation.journal;
  return Math.round((run?.startedAt ?? Number.POSITIVE_INFINITY) - orderedAt);
}

// Guards against a task that does not run: each repetition of the stop made later lists necessary,
// which took longer to arrive than the time after which a stop is repeated. Guards also against one
// that waits until a call for lists without a change ends.
test("PoolScheduler starts a task elsewhere after its start was stopped on an idle worker", async (t) => {
  const waits = await Promise.all(SUBMITTED_AFTER_MS.map(playStop));
  t.log(`started after ${waits.join(", ")} ms`);
  t.true(
    waits.every((waitMs) => waitMs < MAX_START_MS),
    `started after ${waits.join(", ")} ms`,
  );
});

// Guards against orders and reports in quick succession: each stop of a run was followed by a report
// that listed the run until it had ended, and each report by another stop.
test("PoolScheduler stops a run that is not active once while the worker ends it", async (t) => {
  const simulation = new PoolSimulation();
  const { clock, log } = simulation;
  simulation.addEntry("entry-0");
  const { worker } = await simulation.addAgent("agent-0");
  await clock.advance(SUBMITTED_AFTER_MS[0] ?? 0);
  const { fencingToken } = worker;
  const task = `${JOB}.0.0.0`;
  simulation.setRequirements(JOB, { payload: "", steps: [createStep()], schedule: undefined }, 5e3);
  const started = worker.start({
    ...{ worker: "agent-0", task, run: 1, payload: "", checkpoint: "", ticket: "" },
    ...{ fencingToken, leaseUntilMs: OBSERVATION_MS },
  });
  await clock.advance(MAX_START_MS);
  t.true((await started).isOk());
  const stops = log.lines.filter(({ sentence }) => sentence.startsWith("Worker lists a run that"));
  t.is(simulation.journal[0]?.outcome, "stopped");
  t.true(stops.length > 0 && stops.length <= 2, `stopped ${stops.length} times`);
});
