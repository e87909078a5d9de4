/**
 * Tests of what submitters are told while the store is silent: one entry cut off from the store,
 * whose calls get no answer, as in docs/incidents/msla-ops-f262.md.
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

/** Time after which the adapter gives a call up. */
const STORE_TIMEOUT_MS = 2_500;
/** Time that a submitter waits. */
const SUBMITTER_TIMEOUT_MS = 2_850;
const JOB = { payload: "payload", steps: [createStep()], schedule: undefined };

/** Store that takes writes and never answers. */
class SilentStore extends MemoryStore {
  writeCount = 0;
  private readonly _timeoutClock: ManualClock;

  constructor(clock: ManualClock) {
    super(clock);
    this._timeoutClock = clock;
  }

  override write(): ResultAsync<WriteResult, StoreFailure> {
    this.writeCount += 1;
    const failure: StoreFailure = { kind: "timeout", mayHaveWritten: true, detail: "no answer" };
    const waited = ResultAsync.fromSafePromise(this._timeoutClock.sleep(STORE_TIMEOUT_MS));
    return waited.andThen(() => errAsync(failure));
  }
}

interface Answer {
  readonly outcome: SubmissionOutcome;
  readonly answeredAt: number;
}

function createSetup() {
  const clock = new ManualClock();
  const store = new SilentStore(clock);
  const ignore = (): void => undefined;
  const catalog = new JobCatalog({ onAccepted: ignore, onCancelled: ignore, onUnreadable: ignore });
  const log = new MemoryLog();
  const desk = new SubmissionService({
    store,
    clock,
    log,
    catalog,
    getTimeOfDay: () => clock.now(),
  });
  const submit = async (id: string): Promise<Answer> => {
    const deadline = clock.now() + SUBMITTER_TIMEOUT_MS;
    const answered = desk
      .submit(QUEUE, id, JOB, deadline)
      .then((outcome) => ({ outcome, answeredAt: clock.now() }));
    await clock.advance(4 * STORE_TIMEOUT_MS);
    return answered;
  };
  return { clock, store, submit };
}

test("SubmissionService responds before the submitter's deadline when the store does not respond", async (t) => {
  const { clock, submit } = createSetup();
  const deadline = clock.now() + SUBMITTER_TIMEOUT_MS;
  const { outcome, answeredAt } = await submit("0000000000000001");
  t.is(outcome.kind, "unknown");
  t.true(answeredAt <= deadline, `answered ${answeredAt - deadline} ms late`);
});

test("SubmissionService refuses a submission immediately while the store is known to be unresponsive", async (t) => {
  const { clock, store, submit } = createSetup();
  await submit("0000000000000001");
  const sent = store.writeCount;
  const askedAt = clock.now();
  const { outcome, answeredAt } = await submit("0000000000000002");
  t.is(outcome.kind, "refused");
  t.is(answeredAt, askedAt);
  t.is(store.writeCount, sent, "a refused submission was sent to the store");
});
