/**
 * Tests of what a task remembers of runs that were given up, in memory and in its record.
 */
import test from "ava";
import { formatProgress, parseProgress } from "../../../src/state/pool/progressValue.ts";
import type { TaskRecord } from "../../../src/state/pool/records.ts";
import { TaskState } from "../../../src/state/pool/TaskState.ts";
import { createStep } from "../../support/poolFixtures.ts";

const ADDRESS = { job: "0000000000000001", occurrence: 0, step: 0, index: 0 };
const WORKER = "i-1@100";

/** Creates a task of which the given runs were given up. */
function createTask(givenUp: readonly number[]): TaskState {
  const task = new TaskState(ADDRESS, createStep());
  givenUp.forEach((run) => {
    task.addRun({ agent: "a", worker: WORKER }, 0, run);
    task.removeRun(run);
    task.rememberGivenUpRun({ run, worker: WORKER });
  });
  return task;
}

/** Restores a task from what another one would store. */
function restore(task: TaskState): TaskState {
  const restored = new TaskState(ADDRESS, createStep());
  const value = formatProgress({ phase: "running", tasks: { "0.0.0": task.toRecord() ?? {} } });
  const record = parseProgress(value)._unsafeUnwrap().tasks["0.0.0"];
  restored.restore(record ?? {}, 0);
  return restored;
}

test("TaskState remembers a given up run, also in its record, until its end is known", (t) => {
  const task = restore(createTask([1, 2]));
  t.false(task.forgetGivenUpRun({ run: 1, worker: "i-1@200" }));
  t.true(task.forgetGivenUpRun({ run: 1, worker: WORKER }));
  t.false(task.forgetGivenUpRun({ run: 1, worker: WORKER }));
  t.deepEqual(task.toRecord(), { run: 2, givenUp: [{ run: 2, worker: WORKER }] });
});

// Guards against progress that grows with each start of a task until the store rejects it.
test("TaskState remembers a few given up runs, and none of a task that is done", (t) => {
  const task = createTask([1, 2, 3, 4, 5, 6]);
  t.deepEqual(
    task.toRecord()?.givenUp?.map(({ run }) => run),
    [3, 4, 5, 6],
  );
  task.markDone(1);
  t.deepEqual(task.toRecord(), { run: 6, done: true });
  task.rememberGivenUpRun({ run: 7, worker: WORKER });
  t.is(task.toRecord()?.givenUp, undefined);
});

// Guards against jobs that are left out because an earlier build stored their progress.
test("TaskState is restored from a record of an earlier build", (t) => {
  const record: TaskRecord = {
    run: 3,
    failures: 1,
    active: [{ run: 3, agent: "a", worker: WORKER }],
  };
  const value = JSON.stringify({ phase: "running", tasks: { "0.0.0": record } });
  const parsed = parseProgress(value)._unsafeUnwrap().tasks["0.0.0"];
  const task = new TaskState(ADDRESS, createStep());
  task.restore(parsed ?? {}, 0);
  t.deepEqual(task.toRecord(), record);
});
