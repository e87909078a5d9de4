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
import type {
  StoreEntry,
  StoreFailure,
  StoreWrite,
  WriteResult,
} from "../../../src/protocol/platform/Store.ts";
import { MemoryStore } from "../../../standins/store/MemoryStore.ts";
import { ManualClock } from "../../support/ManualClock.ts";
import { createStep } from "../../support/poolFixtures.ts";
import { createSubmissionService } from "./createSubmissionService.ts";
import { QUEUE } from "./simulatedPool.ts";

/** Timeout of the store adapter's calls, in milliseconds. */
const STORE_TIMEOUT_MS = 2_500;
/** Timeout of a store adapter that leaves a submitter time, in milliseconds. */
const SHORT_STORE_TIMEOUT_MS = 1_000;
/** Timeout of a store adapter that is longer than any submitter waits, in milliseconds. */
const LONG_STORE_TIMEOUT_MS = 9_000;
/** Time that a submitter waits, in milliseconds. */
const SUBMITTER_TIMEOUT_MS = 2_850;
/** Time within which the return of the store must be noticed, in milliseconds. */
const MAX_RECOVERY_MS = 500;
const JOB = { payload: "payload", steps: [createStep()], schedule: undefined };

/** Store that does not respond to reads and writes until it is told to. */
class SilentStore extends MemoryStore {
  isSilent = true;
  writeCount = 0;
  private readonly _timeoutClock: ManualClock;
  private readonly _timeoutMs: number;

  constructor(clock: ManualClock, timeoutMs: number) {
    super(clock);
    this._timeoutClock = clock;
    this._timeoutMs = timeoutMs;
  }

  override read(key: string): ResultAsync<StoreEntry | undefined, StoreFailure> {
    return this.isSilent ? this._timeOut(false) : super.read(key);
  }

  override write(write: StoreWrite): ResultAsync<WriteResult, StoreFailure> {
    this.writeCount += 1;
    return this.isSilent ? this._timeOut(true) : super.write(write);
  }

  private _timeOut(mayHaveWritten: boolean): ResultAsync<never, StoreFailure> {
    const failure: StoreFailure = { kind: "timeout", mayHaveWritten, detail: "no response" };
    const waited = ResultAsync.fromSafePromise(this._timeoutClock.sleep(this._timeoutMs));
    return waited.andThen(() => errAsync(failure));
  }
}

interface Response<T> {
  readonly outcome: T;
  readonly respondedAt: number;
}

function createSetup(storeTimeoutMs = STORE_TIMEOUT_MS) {
  const clock = new ManualClock();
  const store = new SilentStore(clock, storeTimeoutMs);
  const { log, silenceMonitor, submissions } = createSubmissionService(clock, store);
  const respond = async <T>(
    call: (service: SubmissionService, deadline: number) => Promise<T>,
  ): Promise<Response<T>> => {
    const deadline = clock.now() + SUBMITTER_TIMEOUT_MS;
    const response = call(submissions, deadline).then((outcome) => ({
      outcome,
      respondedAt: clock.now(),
    }));
    await clock.advance(4 * STORE_TIMEOUT_MS);
    return response;
  };
  const submit = (id: string): Promise<Response<SubmissionOutcome>> =>
    respond((service, deadline) => service.submit(QUEUE, id, JOB, deadline));
  return { clock, store, log, silenceMonitor, submissions, respond, submit };
}

// Guards against a second try that holds the response up for its whole timeout.
test("SubmissionService responds before the submitter's deadline when the store does not respond", async (t) => {
  const { clock, submit } = createSetup();
  const deadline = clock.now() + SUBMITTER_TIMEOUT_MS;
  const { outcome, respondedAt } = await submit("0000000000000001");
  t.is(outcome.kind, "unknown");
  t.true(respondedAt <= deadline, `responded ${respondedAt - deadline} ms after the deadline`);
});

// Guards against one call of the store that outlasts the submitter.
test("SubmissionService responds before the submitter's deadline to a submission whose first write has no result", async (t) => {
  const { clock, store, log, submit } = createSetup(LONG_STORE_TIMEOUT_MS);
  const deadline = clock.now() + SUBMITTER_TIMEOUT_MS;
  const { outcome, respondedAt } = await submit("0000000000000001");
  t.is(outcome.kind, "unknown");
  t.true(respondedAt <= deadline, `responded ${respondedAt - deadline} ms after the deadline`);
  t.is(store.writeCount, 1);
  const late = log.lines.filter(({ sentence }) => sentence.startsWith("A write ended after"));
  t.deepEqual(
    late.map(({ fields }) => fields.outcome),
    ["unknown"],
  );
});

// Guards against a cancellation that is held up by its read of the job.
test("SubmissionService responds before the submitter's deadline to a cancellation whose read has no result", async (t) => {
  const { clock, store, respond } = createSetup(LONG_STORE_TIMEOUT_MS);
  const deadline = clock.now() + SUBMITTER_TIMEOUT_MS;
  const { outcome, respondedAt } = await respond((service, until) =>
    service.cancel(QUEUE, "0000000000000001", until),
  );
  t.is(outcome.kind, "refused");
  t.true(respondedAt <= deadline, `responded ${respondedAt - deadline} ms after the deadline`);
  t.is(store.writeCount, 0, "a refused cancellation was sent to the store");
});

// Guards against a cancellation that is held up by its write, or refused although it was sent.
test("SubmissionService responds before the submitter's deadline to a cancellation whose write has no result", async (t) => {
  const { clock, store, submit, respond } = createSetup(LONG_STORE_TIMEOUT_MS);
  store.isSilent = false;
  t.is((await submit("0000000000000001")).outcome.kind, "stored");
  store.isSilent = true;
  const deadline = clock.now() + SUBMITTER_TIMEOUT_MS;
  const { outcome, respondedAt } = await respond((service, until) =>
    service.cancel(QUEUE, "0000000000000001", until),
  );
  t.is(outcome.kind, "unknown");
  t.true(respondedAt <= deadline, `responded ${respondedAt - deadline} ms after the deadline`);
});

// Guards against a query without any bound on the time of its read.
test("SubmissionService responds before the submitter's deadline to a query whose read has no result", async (t) => {
  const { clock, respond } = createSetup(LONG_STORE_TIMEOUT_MS);
  const deadline = clock.now() + SUBMITTER_TIMEOUT_MS;
  const { outcome, respondedAt } = await respond((service, until) =>
    service.getPhase(QUEUE, "0000000000000001", until),
  );
  t.is(outcome.kind, "unavailable");
  t.true(respondedAt <= deadline, `responded ${respondedAt - deadline} ms after the deadline`);
});

// Guards against writes that are sent while their outcome is bound to be unknown.
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

// Guards against an entry that refuses after the store's return, or tries submissions to notice it.
test("SubmissionService accepts submissions within half a second of the store's return", async (t) => {
  const { clock, store, submit } = createSetup();
  await submit("0000000000000001");
  t.is((await submit("0000000000000002")).outcome.kind, "refused");
  store.isSilent = false;
  await clock.advance(MAX_RECOVERY_MS);
  const sent = store.writeCount;
  t.deepEqual((await submit("0000000000000003")).outcome, { kind: "stored", known: false });
  t.is(store.writeCount, sent + 1);
});

// Guards against a retry that is sent into the interruption and waits for its timeout.
test("SubmissionService stores a waiting submission within half a second of the store's return", async (t) => {
  const { clock, store, submissions } = createSetup(SHORT_STORE_TIMEOUT_MS);
  const response = submissions
    .submit(QUEUE, "0000000000000001", JOB, SUBMITTER_TIMEOUT_MS)
    .then((outcome) => ({ outcome, respondedAt: clock.now() }));
  const returnedAt = SHORT_STORE_TIMEOUT_MS + 200;
  await clock.advance(returnedAt);
  store.isSilent = false;
  await clock.advance(SUBMITTER_TIMEOUT_MS);
  const { outcome, respondedAt } = await response;
  t.deepEqual(outcome, { kind: "stored", known: false });
  t.true(respondedAt <= returnedAt + MAX_RECOVERY_MS, `responded at ${respondedAt} ms`);
  t.is(store.writeCount, 2);
});

// Guards against submissions that are refused because one response was lost.
test("SubmissionService accepts the next submission after a single call without a response", async (t) => {
  const { clock, store, submissions, submit } = createSetup();
  const first = submissions.submit(QUEUE, "0000000000000001", JOB, SUBMITTER_TIMEOUT_MS);
  store.isSilent = false;
  await clock.advance(STORE_TIMEOUT_MS);
  t.is((await submit("0000000000000002")).outcome.kind, "stored");
  t.deepEqual(await first, { kind: "stored", known: false });
});

// Guards against a refusal of what was sent: its submitter would be told that it never runs.
test("SubmissionService responds 'unknown' to a submission that was sent before the silence was known", async (t) => {
  const { clock, store, submissions } = createSetup();
  const submit = async (id: string): Promise<Response<SubmissionOutcome>> => {
    const outcome = await submissions.submit(QUEUE, id, JOB, clock.now() + SUBMITTER_TIMEOUT_MS);
    return { outcome, respondedAt: clock.now() };
  };
  const first = submit("0000000000000001");
  await clock.advance(STORE_TIMEOUT_MS - 1);
  const sentBefore = submit("0000000000000002");
  await clock.advance(1);
  const sent = store.writeCount;
  const refused = await submit("0000000000000003");
  t.is(refused.outcome.kind, "refused");
  t.is(store.writeCount, sent, "a refused submission was sent to the store");
  await clock.advance(4 * STORE_TIMEOUT_MS);
  t.is((await first).outcome.kind, "unknown");
  t.is((await sentBefore).outcome.kind, "unknown");
  t.true((await sentBefore).respondedAt <= STORE_TIMEOUT_MS - 1 + SUBMITTER_TIMEOUT_MS);
});

// Guards against a refusal of a repeated submission whose first write may still take effect.
test("SubmissionService responds 'unknown' to a repeated submission whose first write may take effect", async (t) => {
  const { clock, store, submit } = createSetup();
  await submit("0000000000000001");
  const sent = store.writeCount;
  const repeatedAt = clock.now();
  const { outcome, respondedAt } = await submit("0000000000000001");
  t.is(outcome.kind, "unknown");
  t.is(respondedAt, repeatedAt);
  t.is(store.writeCount, sent);
  store.isSilent = false;
  await clock.advance(MAX_RECOVERY_MS);
  store.faults.rateLimited = 1;
  t.is((await submit("0000000000000001")).outcome.kind, "unknown");
  t.is((await submit("0000000000000001")).outcome.kind, "stored");
});

// Guards against refusals by the store that are taken for silence.
test("SubmissionService passes a refusal of the store on and sends the next submission", async (t) => {
  const { store, submit } = createSetup();
  store.isSilent = false;
  store.faults.rateLimited = 1;
  const refused = await submit("0000000000000001");
  t.deepEqual(refused.outcome, { kind: "refused", reason: "too many calls" });
  store.startOutage();
  t.is((await submit("0000000000000002")).outcome.kind, "refused");
  store.endOutage();
  t.is((await submit("0000000000000003")).outcome.kind, "stored");
  t.is(store.writeCount, 3);
});

// Guards against cancellations and queries that wait for a store known not to respond.
test("SubmissionService responds immediately to cancellations and queries while the store is known to be unresponsive", async (t) => {
  const { clock, store, submit, respond } = createSetup();
  store.isSilent = false;
  await submit("0000000000000001");
  store.isSilent = true;
  await submit("0000000000000002");
  const sent = store.writeCount;
  const cancel = (id: string) =>
    respond((service, deadline) => service.cancel(QUEUE, id, deadline));
  const startedAt = clock.now();
  const stored = await cancel("0000000000000001");
  t.deepEqual([stored.outcome.kind, stored.respondedAt], ["refused", startedAt]);
  const absentAt = clock.now();
  const absent = await cancel("0000000000000003");
  t.deepEqual([absent.outcome.kind, absent.respondedAt], ["refused", absentAt]);
  t.is(store.writeCount, sent, "a refused cancellation was sent to the store");
  const askedAt = clock.now();
  const query = await respond((service, deadline) =>
    service.getPhase(QUEUE, "0000000000000003", deadline),
  );
  t.deepEqual([query.outcome.kind, query.respondedAt], ["unavailable", askedAt]);
});
