/**
 * Tests of submissions and cancellations that are repeated while an earlier write of the same key is
 * still under way.
 */
import test from "ava";
import { ResultAsync } from "neverthrow";
import type {
  StoreFailure,
  StoreWrite,
  WriteResult,
} from "../../../src/protocol/platform/Store.ts";
import { MemoryStore } from "../../../standins/store/MemoryStore.ts";
import { ManualClock } from "../../support/ManualClock.ts";
import { createStep } from "../../support/poolFixtures.ts";
import { createSubmissionService } from "./createSubmissionService.ts";
import { QUEUE } from "./simulatedPool.ts";

const ID = "0000000000000001";
const JOB = { payload: "payload", steps: [createStep()], schedule: undefined };
/** Time after which the store responds to a write, in milliseconds. */
const RESPONSE_MS = 200;
/** Time between a submission and its repetition, in milliseconds. */
const REPEAT_MS = 100;
const SUBMITTER_TIMEOUT_MS = 2_000;

/** Store that executes or refuses a write at once and responds to it after some time. */
class SlowResponseStore extends MemoryStore {
  private readonly _responseClock: ManualClock;

  constructor(clock: ManualClock) {
    super(clock);
    this._responseClock = clock;
  }

  override write(write: StoreWrite): ResultAsync<WriteResult, StoreFailure> {
    const result = super.write(write);
    const waited = ResultAsync.fromSafePromise(this._responseClock.sleep(RESPONSE_MS));
    return waited.andThen(() => result);
  }
}

function createSetup() {
  const clock = new ManualClock();
  const store = new SlowResponseStore(clock);
  const { submissions } = createSubmissionService(clock, store);
  const getDeadline = (): number => clock.now() + SUBMITTER_TIMEOUT_MS;
  return { clock, store, submissions, getDeadline };
}

// Guards against a submitter who is told that a job which is stored and runs was not accepted.
test("SubmissionService refuses no submission that an earlier one has stored meanwhile", async (t) => {
  const { clock, store, submissions, getDeadline } = createSetup();
  const first = submissions.submit(QUEUE, ID, JOB, getDeadline());
  await clock.advance(REPEAT_MS);
  store.faults.rateLimited = 1;
  const repeated = submissions.submit(QUEUE, ID, JOB, getDeadline());
  await clock.advance(RESPONSE_MS);
  t.deepEqual(await first, { kind: "stored", known: false });
  t.deepEqual(await repeated, { kind: "stored", known: true });
});

// Guards against the same fault of cancellations.
test("SubmissionService refuses no cancellation that an earlier one has stored meanwhile", async (t) => {
  const { clock, store, submissions, getDeadline } = createSetup();
  const submitted = submissions.submit(QUEUE, ID, JOB, getDeadline());
  await clock.advance(RESPONSE_MS);
  await submitted;
  const first = submissions.cancel(QUEUE, ID, getDeadline());
  await clock.advance(REPEAT_MS);
  store.faults.rateLimited = 1;
  const repeated = submissions.cancel(QUEUE, ID, getDeadline());
  await clock.advance(RESPONSE_MS);
  t.deepEqual(await first, { kind: "stored", known: false });
  t.deepEqual(await repeated, { kind: "stored", known: true });
});
