/**
 * Tests of the answers to calls that verify announcements, which arrive late or in another order than
 * their calls were sent.
 */
import test from "ava";
import { errAsync, okAsync, type ResultAsync } from "neverthrow";
import type {
  SyncCall,
  WorkerCallFailure,
  WorkerRuns,
} from "../../../src/protocol/platform/PoolWorker.ts";
import { createWorkerAgent } from "../../support/createWorkerAgent.ts";
import { ManualClock } from "../../support/ManualClock.ts";
import { createAnnouncement, createObserveCall } from "../../support/poolFixtures.ts";
import { SilentWorker } from "../../support/SilentWorker.ts";

const LATE_MS = 300;
const HANDLED_MS = 1_000;
const ANNOUNCEMENT = createAnnouncement();
const OBSERVE_CALL = createObserveCall();
const FENCED: WorkerCallFailure = { kind: "fenced", detail: "" };

/** Worker that calls of an earlier epoch reach late, after those of the next one. */
class FencingWorker extends SilentWorker {
  private readonly _lateClock: ManualClock;
  private _firstToken: number | undefined;

  /**
   * Creates a worker.
   * @param clock - Clock of the test.
   */
  constructor(clock: ManualClock) {
    super(clock);
    this._lateClock = clock;
  }

  override sync(call: SyncCall): ResultAsync<WorkerRuns, WorkerCallFailure> {
    this._firstToken ??= call.fencingToken;
    return call.fencingToken > this._firstToken
      ? super.sync(call)
      : okAsync(undefined)
          .map(() => this._lateClock.sleep(LATE_MS))
          .andThen(() => errAsync(FENCED));
  }
}

// Guards against a scheduler that has just been elected and gives the pool up: the worker refuses a
// call that was sent for its predecessor, and the agent takes that for a refusal of the present one.
test("AnnouncementVerifier ignores that the worker refuses a call of an epoch that was left", async (t) => {
  const clock = new ManualClock();
  const worker = new FencingWorker(clock);
  worker.lists = { ...worker.lists, startedAtMs: 1 };
  const agent = createWorkerAgent(worker, clock);
  agent.start();
  await agent.observe(OBSERVE_CALL);
  agent.handleAnnouncement(ANNOUNCEMENT);
  await clock.advance(1);
  t.is((await agent.observe({ ...OBSERVE_CALL, epoch: 2 })).kind, "answered");
  await clock.advance(HANDLED_MS);
  t.is(agent.incarnation, "i-1@1");
  t.is((await agent.observe({ ...OBSERVE_CALL, epoch: 2 })).kind, "answered");
  agent.stop();
});
