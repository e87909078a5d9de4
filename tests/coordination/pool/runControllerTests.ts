/**
 * Tests of what the results of start orders say about a run whose start was ordered more than once,
 * in virtual time, with scripted results.
 */
import test from "ava";
import type { RunResult } from "../../../src/coordination/pool/AgentChannel.ts";
import type { ActiveRun } from "../../../src/state/pool/TaskState.ts";
import {
  AGENT,
  createRunController,
  PROCESS,
  REPEATED_MS,
  RUN,
  SENT_MS,
  type RunControllerFixture,
} from "./createRunController.ts";

const CALL_NUMBER = 50;

interface Fixture extends RunControllerFixture {
  /** Executes what is due after the time. */
  readonly advance: (durationMs: number) => Promise<void>;
  /** Hands in the result of a start order. */
  readonly handleStart: (failure: RunResult["failure"]) => void;
  /** Stops the run and hands in the result of an executed stop order. */
  readonly handleStop: (callNumber: number, process?: string) => void;
  /** Hands in the first report of another process of the agent. */
  readonly replaceProcess: (process: string) => void;
}

/** Creates a controller that has ordered the start of a run once. */
async function createFixture(): Promise<Fixture> {
  const created = createRunController();
  const { clock, task, worker, controller, addRun, report } = created;
  addRun();
  controller.startRecorded(task.id, RUN);
  await clock.advance(SENT_MS);
  return {
    ...created,
    advance: async (durationMs) => {
      await clock.advance(durationMs);
      controller.tick();
      await clock.advance(SENT_MS);
    },
    handleStart: (failure) => {
      const starts = [{ task: task.id, run: RUN, failure }];
      const result = { process: PROCESS, callNumber: CALL_NUMBER, starts, stops: [], paces: [] };
      controller.handleOrderReport(AGENT, worker, result);
    },
    handleStop: (callNumber, process = PROCESS) => {
      task.activeRuns.forEach((active) => {
        controller.stop({ task, active }, "");
      });
      const stops = [{ task: task.id, run: RUN, failure: undefined }];
      const result = { process, callNumber, starts: [], stops, paces: [] };
      controller.handleOrderReport(AGENT, worker, result);
    },
    replaceProcess: report,
  };
}

function getRun({ task }: Fixture): Partial<ActiveRun> {
  return task.getRun(RUN) ?? {};
}

const REFUSALS = ["no-room", "unhealthy", "late", "no-ticket", "rejected", "draining"] as const;

REFUSALS.forEach((refusal) => {
  test(`RunController drops a run at once whose only start order is refused as ${refusal}`, async (t) => {
    const fixture = await createFixture();
    fixture.handleStart(refusal);
    t.deepEqual(fixture.lost, [`refused: ${refusal}`]);
  });

  // Guards against tasks that run twice: the refusal of a repeated order was taken for the fate of
  // the first one, which had no response and was carried out seconds later.
  test(`RunController stops a run whose repeated start order is refused as ${refusal}`, async (t) => {
    const fixture = await createFixture();
    fixture.handleStart("unknown");
    await fixture.advance(REPEATED_MS);
    t.is(getRun(fixture).tries, 2);
    fixture.handleStart(refusal);
    await fixture.advance(0);
    t.deepEqual(fixture.lost, []);
    t.is(getRun(fixture).phase, "stopping");
    t.is(getRun(fixture).callNumber, undefined);
    t.is(fixture.channel.calls.at(-1)?.stops.length, 1);
  });

  // Guards against the same if the result of the repeated order arrives first.
  test(`RunController stops a run whose first start order gets no response after the second is refused as ${refusal}`, async (t) => {
    const fixture = await createFixture();
    await fixture.advance(REPEATED_MS);
    fixture.handleStart(refusal);
    fixture.handleStart("unknown");
    t.deepEqual(fixture.lost, []);
    t.is(getRun(fixture).phase, "stopping");
    t.is(getRun(fixture).callNumber, undefined);
  });
});

test("RunController relies on lists made after a repeated start order that was executed", async (t) => {
  const fixture = await createFixture();
  fixture.handleStart("unknown");
  await fixture.advance(REPEATED_MS);
  fixture.handleStart(undefined);
  t.is(getRun(fixture).phase, "ordered");
  t.is(getRun(fixture).callNumber, CALL_NUMBER);
});

test("RunController relies on lists made after a repeated start order of a run that has ended", async (t) => {
  const fixture = await createFixture();
  fixture.handleStart("unknown");
  await fixture.advance(REPEATED_MS);
  fixture.handleStart("old-run");
  t.is(getRun(fixture).phase, "ordered");
  t.is(getRun(fixture).callNumber, CALL_NUMBER);
});

test("RunController does not rely on lists made after a repeated start order to another incarnation", async (t) => {
  const fixture = await createFixture();
  fixture.handleStart("unknown");
  await fixture.advance(REPEATED_MS);
  fixture.handleStart("wrong-worker");
  t.deepEqual(fixture.lost, []);
  t.is(getRun(fixture).callNumber, undefined);
});

// Guards against a task that waits for minutes: the result of a stop that a former process of the
// agent had sent arrived after the first report of the next one, whose calls are numbered anew.
test("RunController relies on lists made after a stop that the next process of an agent has executed", async (t) => {
  const fixture = await createFixture();
  fixture.handleStop(CALL_NUMBER);
  await fixture.advance(REPEATED_MS);
  fixture.handleStop(CALL_NUMBER + 1);
  t.is(getRun(fixture).callNumber, CALL_NUMBER);
  fixture.handleStop(1, "p-2");
  t.like(getRun(fixture), { callNumber: 1, callProcess: "p-2" });
});

// Guards against the same where no stop is repeated: all lists of a process are later than the orders
// that the former one executed.
test("RunController relies on all lists of the next process after a late result of the former one", async (t) => {
  const fixture = await createFixture();
  fixture.replaceProcess("p-2");
  fixture.handleStop(CALL_NUMBER);
  t.like(getRun(fixture), { callNumber: 0, callProcess: "p-2" });
});

// Guards against an agent of a former version, whose results name no process, that never counts.
test("RunController takes results without a process for those of the one that reports", async (t) => {
  const fixture = await createFixture();
  fixture.handleStop(CALL_NUMBER, "");
  t.like(getRun(fixture), { callNumber: CALL_NUMBER, callProcess: PROCESS });
});
