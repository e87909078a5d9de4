/**
 * Tests of lists of a worker whose responses overtake each other, in virtual time: the response to a
 * call that was sent after a stop arrives after that to an earlier call, which waited for an end.
 */
import test from "ava";
import type { ResultAsync } from "neverthrow";
import type {
  SyncCall,
  WorkerCallFailure,
  WorkerRuns,
} from "../../../src/protocol/platform/PoolWorker.ts";
import { PoolWorkerAddress } from "../../../standins/pool/PoolWorkerAddress.ts";
import { createJobId, createStep } from "../../support/poolFixtures.ts";
import { PoolSimulation } from "./PoolSimulation.ts";
import { QUEUE } from "./simulatedPool.ts";

const STARTED_MS = 3_000;
/** Time from the submission of the second job to the end of the test, in milliseconds. */
const OBSERVATION_MS = 3_000;
/** Time after which a call of the lists that waits for an end is in progress, in milliseconds. */
const CALL_BEGUN_MS = 400;
/** Longer than it takes to stop a run and to list the runs after that, in milliseconds. */
const STOPPED_MS = 60;
const [STOPPED, STARTED] = [createJobId(1), createJobId(2)];

/** Worker that can hold the response to a call of its lists until the next one overtakes it. */
class OvertakenWorker extends PoolWorkerAddress {
  /** Whether the response to the next call that does not wait is held; the call is executed. */
  isHoldDue = false;
  /** Whether a held response was overtaken. */
  wasOvertaken = false;
  private _release: (() => void) | undefined;

  override sync(call: SyncCall): ResultAsync<WorkerRuns, WorkerCallFailure> {
    const lists = super.sync(call);
    if (call.waitMs > 0) {
      return lists.andTee(() => {
        this._release?.();
      });
    }
    if (!this.isHoldDue) {
      return lists;
    }
    this.isHoldDue = false;
    const overtaken = new Promise<void>((resolve) => {
      this._release = resolve;
    });
    return lists.map(async (runs) => {
      await overtaken;
      // The agent has handled the other response.
      await new Promise<void>((resolve) => setImmediate(resolve));
      this.wasOvertaken = true;
      return runs;
    });
  }
}

[1, 3].forEach((taskCount) => {
  // Guards against a task that runs twice at a time: lists that were made before its start arrived
  // after lists with its run, and the run counted as lost.
  test(`PoolScheduler starts no second runs of ${taskCount} tasks if former lists arrive late`, async (t) => {
    const simulation = new PoolSimulation();
    const { clock, log } = simulation;
    const entry = simulation.addEntry("entry-0");
    const agent = await simulation.addAgent("agent-0");
    const worker = new OvertakenWorker(agent.worker);
    agent.address.worker = worker;
    await clock.advance(STARTED_MS);
    const [stopped, started] = [1, taskCount].map((count) => {
      const steps = [createStep({ longRunning: true, taskCount: count })];
      return { payload: "", steps, schedule: undefined };
    });
    if (stopped === undefined || started === undefined) {
      t.fail();
      return;
    }
    await simulation.submit(entry, STOPPED, stopped, undefined);
    await clock.advance(CALL_BEGUN_MS);
    worker.isHoldDue = true;
    const deadline = clock.now() + OBSERVATION_MS;
    const cancelled = entry.submissions.cancel(QUEUE, STOPPED, deadline);
    await clock.advance(STOPPED_MS);
    simulation.setRequirements(STARTED, started, undefined);
    const submitted = entry.submissions.submit(QUEUE, STARTED, started, deadline);
    await clock.advance(OBSERVATION_MS);
    await Promise.all([cancelled, submitted]);
    t.true(worker.wasOvertaken, "the lists made after the stop arrived late");
    log.lines
      .filter(({ sentence }) => /^Run is|^Worker lists|^Job was/.test(sentence))
      .forEach(({ sentence, fields }) => {
        t.log(sentence, JSON.stringify(fields));
      });
    simulation.journal.forEach(({ task, run, startedAt, endedAt, outcome }) => {
      t.log(`${task} run ${run}: ${startedAt} to ${endedAt ?? "-"} ms ${outcome ?? ""}`);
    });
    t.deepEqual(simulation.findViolations(), []);
  });
});
