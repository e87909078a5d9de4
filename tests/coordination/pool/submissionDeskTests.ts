/**
 * Tests of what submitters are told while the store is silent: one entry cut off from the store,
 * whose calls get no answer, as in docs/incidents/msla-ops-f262.md.
 */
import test from "ava";
import { errAsync, ResultAsync } from "neverthrow";
import { SubmissionDesk, type DeskOutcome } from "../../../src/coordination/pool/SubmissionDesk.ts";
import type { StoreFailure, WriteResult } from "../../../src/protocol/platform/Store.ts";
import { JobCatalog } from "../../../src/state/pool/JobCatalog.ts";
import { MemoryStore } from "../../../standins/store/MemoryStore.ts";
import { ManualClock } from "../../support/ManualClock.ts";
import { MemoryLog } from "../../support/MemoryLog.ts";
import { createStep } from "../../support/poolFixtures.ts";
import { QUEUE } from "./PoolWorld.ts";

/** Time after which the adapter gives a call up. */
const STORE_TIMEOUT_MS = 2_500;
/** Time that a submitter waits. */
const SUBMITTER_MS = 2_850;
const JOB = { payload: "payload", steps: [createStep()], schedule: undefined };

/** Store that takes writes and never answers. */
class SilentStore extends MemoryStore {
  sent = 0;
  private readonly _ownClock: ManualClock;

  constructor(clock: ManualClock) {
    super(clock);
    this._ownClock = clock;
  }

  override write(): ResultAsync<WriteResult, StoreFailure> {
    this.sent += 1;
    const failure: StoreFailure = { kind: "timeout", mayHaveWritten: true, detail: "no answer" };
    const waited = ResultAsync.fromSafePromise(this._ownClock.sleep(STORE_TIMEOUT_MS));
    return waited.andThen(() => errAsync(failure));
  }
}

interface Answer {
  readonly outcome: DeskOutcome;
  readonly answeredAt: number;
}

function createScene() {
  const clock = new ManualClock();
  const store = new SilentStore(clock);
  const ignore = (): void => undefined;
  const catalog = new JobCatalog({ onJob: ignore, onCancel: ignore, onUnreadable: ignore });
  const log = new MemoryLog();
  const desk = new SubmissionDesk({ store, clock, log, catalog, getTimeOfDay: () => clock.now() });
  const submit = async (id: string): Promise<Answer> => {
    const deadline = clock.now() + SUBMITTER_MS;
    const answered = desk
      .submit(QUEUE, id, JOB, deadline)
      .then((outcome) => ({ outcome, answeredAt: clock.now() }));
    await clock.advance(4 * STORE_TIMEOUT_MS);
    return answered;
  };
  return { clock, store, submit };
}

test("SubmissionDesk answers before the submitter's deadline where the store does not", async (t) => {
  const { clock, submit } = createScene();
  const deadline = clock.now() + SUBMITTER_MS;
  const { outcome, answeredAt } = await submit("0000000000000001");
  t.is(outcome.kind, "unknown");
  t.true(answeredAt <= deadline, `answered ${answeredAt - deadline} ms late`);
});

test("SubmissionDesk refuses at once while it knows that the store is silent", async (t) => {
  const { clock, store, submit } = createScene();
  await submit("0000000000000001");
  const sent = store.sent;
  const askedAt = clock.now();
  const { outcome, answeredAt } = await submit("0000000000000002");
  t.is(outcome.kind, "refused");
  t.is(answeredAt, askedAt);
  t.is(store.sent, sent, "a refused submission was sent to the store");
});
