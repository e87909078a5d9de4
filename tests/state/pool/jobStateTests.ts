/**
 * Tests of the state of a job with a schedule: its occurrences open when they are due, in order and
 * in bounded portions.
 */
import test from "ava";
import type { JobSchedule } from "../../../src/protocol/pool/JobDefinition.ts";
import { JobState } from "../../../src/state/pool/JobState.ts";
import { createJobRecord, createStep } from "../../support/poolFixtures.ts";

/** Number of tasks that a call may add to a job whose occurrences are small. */
const MAX_OPENED_TASKS = 1_000;
/** Number of tasks of a job that may be open and not done. */
const MAX_UNFINISHED_TASKS = 10_000;
/** A submission that asks for more occurrences than any process can hold, all due at once. */
const ENDLESS: JobSchedule = { firstRunAtMs: 0, intervalMs: 0, runCount: 1e10 };
const NOW = 1e12;

function createScheduledJob(schedule: JobSchedule, taskCount = 1): JobState {
  const steps = [createStep({ taskCount })];
  return new JobState("1", createJobRecord(steps, { schedule }), undefined, 0);
}

/** Ends the first tasks that are not done. */
function finishTasks(job: JobState, count: number): void {
  [...job.tasks]
    .filter(({ isDone }) => !isDone)
    .slice(0, count)
    .forEach((task) => {
      const { run } = task.addRun({ agent: "a", worker: "a@1" }, 0);
      task.removeRun(run);
      task.markDone(1);
    });
}

// Guards against a scheduler that ends with an exception because of one job, and the next one too.
test("JobState opens the due occurrences of an endless job in bounded portions", (t) => {
  const job = createScheduledJob(ENDLESS);
  const opened = Array.from({ length: 20 }, () => {
    const isOpened = job.openDueOccurrences(NOW);
    return [isOpened, job.steps.length];
  });
  t.deepEqual(
    opened,
    Array.from({ length: 20 }, (_, call) => [
      call < MAX_UNFINISHED_TASKS / MAX_OPENED_TASKS,
      Math.min((call + 1) * MAX_OPENED_TASKS, MAX_UNFINISHED_TASKS),
    ]),
  );
  finishTasks(job, 5);
  t.true(job.openDueOccurrences(NOW));
  t.is(job.steps.length, MAX_UNFINISHED_TASKS + 5);
});

// Guards against occurrences that are skipped or never open because others are not done.
test("JobState opens every due occurrence once and in order", (t) => {
  const runCount = 2.5 * MAX_UNFINISHED_TASKS;
  const job = createScheduledJob({ firstRunAtMs: 0, intervalMs: 0, runCount });
  for (let calls = 0; job.phase !== "completed" && calls < 1_000; calls += 1) {
    job.openDueOccurrences(NOW);
    finishTasks(job, MAX_OPENED_TASKS);
    job.updatePhase();
  }
  t.is(job.phase, "completed");
  t.deepEqual(
    job.steps.map(({ occurrence }) => occurrence),
    Array.from({ length: runCount }, (_, occurrence) => occurrence),
  );
});

test("JobState opens an occurrence that alone exceeds the bounds", (t) => {
  const job = createScheduledJob(ENDLESS, MAX_UNFINISHED_TASKS + 1);
  t.true(job.openDueOccurrences(NOW));
  t.is(job.steps.length, 1);
  t.false(job.openDueOccurrences(NOW));
  finishTasks(job, MAX_UNFINISHED_TASKS + 1);
  t.true(job.openDueOccurrences(NOW));
  t.is(job.steps.length, 2);
});

// Guards against progress that the store rejects for its size after many runs were given up.
test("JobState stores a bounded number of given up runs", (t) => {
  const job = createScheduledJob({ firstRunAtMs: 0, intervalMs: 0, runCount: 1 }, 600);
  job.openDueOccurrences(NOW);
  [...job.tasks].forEach((task) => {
    [1, 2].forEach(() => {
      const { run, worker } = task.addRun({ agent: "a", worker: "a@1" }, 0);
      task.removeRun(run);
      task.rememberGivenUpRun({ run, worker });
    });
  });
  const records = Object.values(job.toRecord().tasks);
  const givenUp = records.map((record) => record.givenUp?.length ?? 0);
  t.deepEqual(givenUp, [...new Array<number>(500).fill(2), ...new Array<number>(100).fill(0)]);
});
