/**
 * Tests of runs that change between the request of their start and its sending, in virtual time.
 */
import test from "ava";
import { getLeaseExpiryWaitMs } from "../../../src/coordination/pool/PoolTimings.ts";
import {
  createRunController,
  PROCESS,
  REPEATED_MS,
  RUN,
  SENT_MS,
  type RunControllerFixture,
} from "./createRunController.ts";
import { TIMINGS } from "./simulatedPool.ts";

/** Time after which all leases of a worker that does not respond have ended, in milliseconds. */
const LEASE_ENDED_MS = getLeaseExpiryWaitMs(TIMINGS.workerLeaseMs) + 1;
const NEXT_WORKER = "i-1@900";

/** Requests the start of a run; a check of all runs comes before it is sent. */
function requestStart({ task, controller, addRun }: RunControllerFixture): void {
  addRun();
  controller.startRecorded(task.id, RUN);
}

function countStarts({ channel }: RunControllerFixture): number {
  return channel.calls.flatMap(({ starts }) => starts).length;
}

// Guards against a task that runs twice: the end of the last lease of a worker that responds again was
// taken for the end of a run under the next one, whose order was sent all the same.
test("RunController starts a run once on a worker whose lease has ended and that responds again", async (t) => {
  const fixture = createRunController();
  const { clock, controller, lost, report } = fixture;
  await clock.advance(LEASE_ENDED_MS);
  report(PROCESS, 1_000 + LEASE_ENDED_MS);
  requestStart(fixture);
  controller.tick();
  await clock.advance(SENT_MS);
  controller.tick();
  t.deepEqual(lost, []);
  t.is(countStarts(fixture), 1);
  t.is(fixture.task.getRun(RUN)?.phase, "ordered");
});

// Guards against a task that runs twice: a run that was given up before its order was sent is started.
[
  {
    title: "whose job is cancelled",
    giveUp: ({ job }: RunControllerFixture): void => {
      job.cancel();
    },
  },
  {
    title: "that is stopped",
    giveUp: ({ task, controller }: RunControllerFixture): void => {
      task.activeRuns.forEach((active) => {
        controller.stop({ task, active }, "another run is done");
      });
    },
  },
  {
    title: "that is lost",
    giveUp: ({ task, state }: RunControllerFixture): void => {
      task.activeRuns.forEach((active) => {
        state.activeRuns.remove(task, active);
      });
    },
  },
  {
    title: "whose worker is replaced",
    giveUp: ({ report }: RunControllerFixture): void => {
      report(PROCESS, 1_000, NEXT_WORKER);
    },
  },
  {
    title: "whose worker may get no lease any more",
    giveUp: ({ grants }: RunControllerFixture): void => {
      grants.mayGrant = false;
    },
  },
].forEach(({ title, giveUp }) => {
  test(`OrderSender sends no start of a run ${title} before it is sent`, async (t) => {
    const fixture = createRunController();
    requestStart(fixture);
    giveUp(fixture);
    fixture.controller.tick();
    await fixture.clock.advance(SENT_MS);
    t.is(countStarts(fixture), 0);
    t.is(fixture.task.getRun(RUN), undefined, "its task waits again");
  });
});

// Guards against a stop and a start of one run in one call, which the agent executes in any order.
test("OrderSender sends no repeated start of a run that is stopped before it is sent", async (t) => {
  const fixture = createRunController();
  const { clock, controller, channel, task } = fixture;
  requestStart(fixture);
  await clock.advance(REPEATED_MS);
  controller.tick();
  task.activeRuns.forEach((active) => {
    controller.stop({ task, active }, "another run is done");
  });
  await clock.advance(SENT_MS);
  t.is(countStarts(fixture), 1);
  t.is(channel.calls.flatMap(({ stops }) => stops).length, 1);
});

// Guards against a run that is given up although an order of it, which has no result, may be executed.
test("RunController keeps a run whose repeated start finds no lease", async (t) => {
  const fixture = createRunController();
  const { clock, controller, grants, lost } = fixture;
  requestStart(fixture);
  await clock.advance(REPEATED_MS);
  grants.mayGrant = false;
  controller.tick();
  await clock.advance(SENT_MS);
  t.is(countStarts(fixture), 1);
  t.deepEqual(lost, []);
  grants.mayGrant = true;
  controller.tick();
  await clock.advance(SENT_MS);
  t.is(countStarts(fixture), 2);
});
