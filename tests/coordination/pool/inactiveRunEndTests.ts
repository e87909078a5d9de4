/**
 * Tests in virtual time of the end of a run that the scheduler has given up, which its worker lists
 * later, and of an end that is listed again after it was recorded.
 */
import test from "ava";
import type { EndedRun, RunningRun } from "../../../src/protocol/platform/PoolWorker.ts";
import type { WorkerReport } from "../../../src/coordination/pool/AgentChannel.ts";
import type { TaskState } from "../../../src/state/pool/TaskState.ts";
import { createEndedRun, createWorkerReport } from "../../support/poolFixtures.ts";
import {
  addJob,
  createScriptedScheduler,
  HANDLED_MS,
  JOB,
  takeOver,
  type ScriptedScheduler,
} from "./createScriptedScheduler.ts";
import { TIMINGS } from "./simulatedPool.ts";

const { worker: WORKER } = createWorkerReport();
const AGENT_PROCESS = "a";

/** Reports lists of the worker that were made after everything before, and waits until they are handled. */
async function report(
  { clock, channel }: ScriptedScheduler,
  ended: readonly EndedRun[],
  running: readonly RunningRun[] = [],
  state: Partial<WorkerReport> = {},
): Promise<void> {
  channel.orderCallNumber += 1;
  const { orderCallNumber: callNumber } = channel;
  channel.setReport(AGENT_PROCESS, createWorkerReport({ ...state, callNumber, ended, running }));
  await clock.advance(HANDLED_MS);
}

/** Starts the first run of a job's tasks, which are then lost, so that their second run starts. */
async function giveUpFirstRun(fixture: ScriptedScheduler, runCount = 1): Promise<void> {
  await report(fixture, []);
  const { channel } = fixture;
  channel.starts.splice(0, runCount);
}

function createRunning(run: number, index = 0): RunningRun {
  const task = `${JOB}.0.0.${index}`;
  return { task, run, checkpoint: "", percent: 10, measure: 0 };
}

function getTask({ scheduler }: ScriptedScheduler, index = 0): TaskState {
  const task = scheduler.state.getTask(`${JOB}.0.0.${index}`);
  if (task === undefined) {
    throw new Error("the task is unknown");
  }
  return task;
}

function getPhase({ scheduler }: ScriptedScheduler): string | undefined {
  return scheduler.state.getJob(JOB)?.phase;
}

/** Waits for the next call of the scheduler and gets the number that it acknowledges. */
async function getAckedEnd({ clock, channel }: ScriptedScheduler): Promise<number | undefined> {
  await clock.advance(TIMINGS.observeWaitMs + HANDLED_MS);
  return channel.ackedEnds.get(WORKER);
}

// Guards against a task that starts again although it is known to be done.
test("JobUpdater completes a task whose given up run was done and acknowledges it once stored", async (t) => {
  const fixture = await createScriptedScheduler();
  await addJob(fixture);
  await giveUpFirstRun(fixture);
  t.deepEqual(
    getTask(fixture).activeRuns.map(({ run }) => run),
    [2],
  );
  fixture.store.faults.outage = true;
  await report(fixture, [createEndedRun()], [createRunning(2)]);
  t.true(getTask(fixture).isDone);
  t.deepEqual(
    fixture.channel.stops.map(({ run }) => run),
    [2],
  );
  t.is(await getAckedEnd(fixture), 0);
  fixture.store.faults.outage = false;
  t.is(await getAckedEnd(fixture), 1);
  t.is(getPhase(fixture), "completed");
  fixture.scheduler.stop();
});

// Guards against a task that fails more often than its queue allows, as failures are not counted.
test("JobUpdater counts a failure of a given up run once, also over a takeover", async (t) => {
  const fixture = await createScriptedScheduler();
  await addJob(fixture);
  await giveUpFirstRun(fixture);
  await report(fixture, [], [createRunning(2)]);
  const second = await takeOver(fixture);
  second.store.faults.outage = true;
  const ended = [createEndedRun({ outcome: "failed" })];
  await report(second, ended, [createRunning(2)]);
  t.is(getTask(second).failures, 1);
  t.is(await getAckedEnd(second), 0);
  second.store.faults.outage = false;
  t.is(await getAckedEnd(second), 1);
  // The worker may list it to the next scheduler before it has got the acknowledgement.
  const third = await takeOver(second);
  await report(third, ended, [createRunning(2)]);
  t.is(getTask(third).failures, 1);
  t.deepEqual(
    getTask(third).activeRuns.map(({ run }) => run),
    [2],
  );
  t.is(await getAckedEnd(third), 1);
  third.scheduler.stop();
});

// Guards against a task that starts again although its worker says that it is done.
test("JobUpdater completes a task by an end of a run of which nothing is known", async (t) => {
  const fixture = await createScriptedScheduler();
  await addJob(fixture);
  fixture.store.faults.outage = true;
  const [failed, done] = [
    createEndedRun({ run: 7, outcome: "failed" }),
    createEndedRun({ run: 8, number: 2 }),
  ];
  await report(fixture, [failed], [createRunning(1)]);
  t.is(getTask(fixture).failures, 0);
  t.is(await getAckedEnd(fixture), 1);
  await report(fixture, [failed, done], [createRunning(1)]);
  t.true(getTask(fixture).isDone);
  t.is(await getAckedEnd(fixture), 1);
  fixture.store.faults.outage = false;
  t.is(await getAckedEnd(fixture), 2);
  fixture.scheduler.stop();
});

// Guards against a failed run that is not counted although the limit of failures is reached.
test("JobUpdater has a job fail by ends of given up runs", async (t) => {
  const fixture = await createScriptedScheduler();
  await addJob(fixture);
  await report(fixture, []);
  await report(fixture, []);
  await report(fixture, []);
  t.deepEqual(
    getTask(fixture).activeRuns.map(({ run }) => run),
    [4],
  );
  const ended = [1, 2, 3].map((run) => createEndedRun({ run, number: run, outcome: "failed" }));
  await report(fixture, ended, [createRunning(4)]);
  t.is(getPhase(fixture), "failed");
  t.deepEqual(
    fixture.channel.stops.map(({ run }) => run),
    [4],
  );
  t.is(await getAckedEnd(fixture), 3);
  fixture.scheduler.stop();
});

// Guards against a long-running task that never runs again, or is stopped, after such an end.
test("JobUpdater leaves a long-running task at work after an end of a given up run", async (t) => {
  const step = { longRunning: true };
  const fixture = await createScriptedScheduler();
  await addJob(fixture, step);
  await giveUpFirstRun(fixture);
  await report(fixture, [createEndedRun()], [createRunning(2)]);
  t.false(getTask(fixture).isDone);
  t.is(await getAckedEnd(fixture), 1);
  await report(fixture, [createEndedRun({ run: 7, number: 2 })], [createRunning(2)]);
  t.false(getTask(fixture).isDone);
  t.is(await getAckedEnd(fixture), 2);
  t.deepEqual(fixture.channel.stops, []);
  t.is(getPhase(fixture), "running");
  fixture.scheduler.stop();
});

// Guards against a gang of which the next run goes on although an earlier one is done, and against
// members that are stopped while they end by themselves.
test("JobUpdater completes a gang by the end of a given up run and stops its next run", async (t) => {
  const step = { taskCount: 2, gang: true };
  const fixture = await createScriptedScheduler();
  await addJob(fixture, step);
  await giveUpFirstRun(fixture, 2);
  const running = [createRunning(2, 0), createRunning(2, 1)];
  await report(fixture, [createEndedRun()], running);
  t.deepEqual(
    [0, 1].map((index) => getTask(fixture, index).isDone),
    [true, true],
  );
  t.deepEqual(
    fixture.channel.stops.map(({ run }) => run),
    [2, 2],
  );
  t.is(getPhase(fixture), "completed");
  fixture.scheduler.stop();
});

// Guards against a job that has ended and is changed, or blocks acknowledgements, by a late end.
test("JobUpdater acknowledges ends of an ended job without effect", async (t) => {
  const fixture = await createScriptedScheduler();
  await addJob(fixture);
  await giveUpFirstRun(fixture);
  fixture.scheduler.cancelJob(JOB);
  await report(fixture, [createEndedRun({ run: 2, outcome: "stopped" })]);
  await report(fixture, [createEndedRun({ run: 1, number: 2 })]);
  t.is(getPhase(fixture), "cancelled");
  t.is(await getAckedEnd(fixture), 2);
  fixture.scheduler.stop();
});

// Guards against work that is lost, or done again, because of the checkpoint of a given up run.
test("JobUpdater uses the checkpoint of a given up run only where no later run was ordered", async (t) => {
  const fixture = await createScriptedScheduler();
  await addJob(fixture);
  const ended = createEndedRun({ outcome: "stopped", checkpoint: "first" });
  await giveUpFirstRun(fixture);
  await report(fixture, [ended], [createRunning(2)]);
  t.is(getTask(fixture).checkpoint, "");
  // No run starts on a worker that drains, so that the second run stays the last one.
  const draining = { draining: true, drainRemainingMs: 60_000 };
  await report(fixture, [], [], draining);
  t.deepEqual(getTask(fixture).activeRuns, []);
  const later = createEndedRun({ run: 2, number: 2, outcome: "stopped", checkpoint: "second" });
  await report(fixture, [later], [], draining);
  t.is(getTask(fixture).checkpoint, "second");
  fixture.scheduler.stop();
});

// Guards against an end that is acknowledged while what it is thought to have changed is not stored.
test("JobUpdater acknowledges an end that changes nothing once its job is stored", async (t) => {
  const fixture = await createScriptedScheduler();
  await addJob(fixture);
  fixture.store.faults.outage = true;
  await report(fixture, [createEndedRun()]);
  t.true(getTask(fixture).isDone);
  const later = { worker: "i-1@200" };
  await report(fixture, [createEndedRun({ run: 7 })], [], later);
  await fixture.clock.advance(TIMINGS.observeWaitMs);
  t.is(fixture.channel.ackedEnds.get(later.worker), 0);
  fixture.store.faults.outage = false;
  await fixture.clock.advance(TIMINGS.observeWaitMs + HANDLED_MS);
  t.is(fixture.channel.ackedEnds.get(later.worker), 1);
  fixture.scheduler.stop();
});
