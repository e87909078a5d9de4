/**
 * Tests of the responses to submitters while the store does not respond: an entry is disconnected
 * from the store and its calls time out, as in docs/incidents/msla-ops-f262.md.
 */
import test from "ava";
import { errAsync, ResultAsync } from "neverthrow";
import {
  SubmissionService,
  type SubmissionOutcome,
} from "../../../src/coordination/pool/SubmissionService.ts";
import type { StoreFailure, WriteResult } from "../../../src/protocol/platform/Store.ts";
import { JobCatalog } from "../../../src/state/pool/JobCatalog.ts";
import { MemoryStore } from "../../../standins/store/MemoryStore.ts";
import { ManualClock } from "../../support/ManualClock.ts";
import { MemoryLog } from "../../support/MemoryLog.ts";
import { createStep } from "../../support/poolFixtures.ts";
import { QUEUE } from "./PoolSimulation.ts";

/** Timeout of the store adapter's calls, in milliseconds. */
const STORE_TIMEOUT_MS = 2_500;
/** Time that a submitter waits, in milliseconds. */
const SUBMITTER_TIMEOUT_MS = 2_850;
const JOB = { payload: "payload", steps: [createStep()], schedule: undefined };

/** Store that accepts writes but never responds. */
class SilentStore extends MemoryStore {
  writeCount = 0;
  private readonly _timeoutClock: ManualClock;

  constructor(clock: ManualClock) {
    super(clock);
    this._timeoutClock = clock;
  }

  override write(): ResultAsync<WriteResult, StoreFailure> {
    this.writeCount += 1;
    const failure: StoreFailure = { kind: "timeout", mayHaveWritten: true, detail: "no response" };
    const waited = ResultAsync.fromSafePromise(this._timeoutClock.sleep(STORE_TIMEOUT_MS));
    return waited.andThen(() => errAsync(failure));
  }
}

interface SubmissionResponse {
  readonly outcome: SubmissionOutcome;
  readonly respondedAt: number;
}

function createSetup() {
  const clock = new ManualClock();
  const store = new SilentStore(clock);
  const ignore = (): void => undefined;
  const catalog = new JobCatalog({ onAccepted: ignore, onCancelled: ignore, onUnreadable: ignore });
  const log = new MemoryLog();
  const submissions = new SubmissionService({
    store,
    clock,
    log,
    catalog,
    getTimeOfDay: () => clock.now(),
  });
  const submit = async (id: string): Promise<SubmissionResponse> => {
    const deadline = clock.now() + SUBMITTER_TIMEOUT_MS;
    const response = submissions
      .submit(QUEUE, id, JOB, deadline)
      .then((outcome) => ({ outcome, respondedAt: clock.now() }));
    await clock.advance(4 * STORE_TIMEOUT_MS);
    return response;
  };
  return { clock, store, submit };
}

test("SubmissionService responds before the submitter's deadline when the store does not respond", async (t) => {
  const { clock, submit } = createSetup();
  const deadline = clock.now() + SUBMITTER_TIMEOUT_MS;
  const { outcome, respondedAt } = await submit("0000000000000001");
  t.is(outcome.kind, "unknown");
  t.true(respondedAt <= deadline, `responded ${respondedAt - deadline} ms after the deadline`);
});

test("SubmissionService refuses a submission immediately while the store is known to be unresponsive", async (t) => {
  const { clock, store, submit } = createSetup();
  await submit("0000000000000001");
  const sent = store.writeCount;
  const submittedAt = clock.now();
  const { outcome, respondedAt } = await submit("0000000000000002");
  t.is(outcome.kind, "refused");
  t.is(respondedAt, submittedAt);
  t.is(store.writeCount, sent, "a refused submission was sent to the store");
});
