/**
 * Tests that the progress of jobs reaches the store in order and once, whatever its size and
 * however narrow the link is.
 */
import test from "ava";
import { CommitQueue } from "../../../src/coordination/pool/CommitQueue.ts";
import { getSchedulerKey } from "../../../src/state/pool/PoolKeys.ts";
import { ManualClock } from "../../support/ManualClock.ts";
import { MemoryLog } from "../../support/MemoryLog.ts";
import { getValueBytes, NarrowUplinkStore } from "../../support/NarrowUplinkStore.ts";
import { POOL } from "../../support/poolFixtures.ts";

/** The narrowest link of an entry, 7 Mbit/s, and the timeout of a call of the store. */
const LINK = { bytesPerMs: 875, timeoutMs: 1_000 };
const INTERVAL_MS = 20;
/** Size of the progress of a job with hundreds of running tasks, in bytes. */
const LARGE_JOB_BYTES = 60_000;
/** Size of the progress of a job with some tasks, in bytes. */
const SMALL_JOB_BYTES = 1_000;
/** Largest transaction that leaves most of the link to other calls, in bytes of its values. */
const MAX_SENT_BYTES = 65_536;
/** Time in which the narrowest link carries all jobs of a test several times, in milliseconds. */
const TEST_MS = 10_000;

interface Fixture {
  readonly clock: ManualClock;
  readonly store: NarrowUplinkStore;
  readonly queue: CommitQueue;
  readonly log: MemoryLog;
  /** What happened, in order: "written JOB" and "committed JOB". */
  readonly events: readonly string[];
  readonly setValue: (job: string, value: string) => void;
  readonly enqueue: (job: string) => void;
  /** Adds the event "known JOB" once the job is written. */
  readonly whenWritten: (job: string) => void;
}

async function createFixture(): Promise<Fixture> {
  const clock = new ManualClock();
  const store = new NarrowUplinkStore(clock, LINK);
  const schedulerKey = getSchedulerKey(POOL);
  const elected = (
    await store.write({ key: schedulerKey, value: "{}", expected: 0 })
  )._unsafeUnwrap();
  const values = new Map<string, string>();
  const events: string[] = [];
  const log = new MemoryLog();
  const queue = new CommitQueue(
    {
      store,
      clock,
      log,
      schedulerKey,
      epoch: elected.kind === "written" ? elected.revision : 0,
      intervalMs: INTERVAL_MS,
      getKey: (job) => job,
      getValue: (job) => values.get(job) ?? "",
      onWritten: (job) => events.push(`written ${job}`),
      onSuperseded: () => events.push("superseded"),
      onForeignProgress: () => events.push("foreign"),
    },
    new Map(),
  );
  return {
    clock,
    store,
    queue,
    log,
    events,
    setValue: (job, value) => values.set(job, value),
    enqueue: (job) => {
      queue.enqueue(job, () => events.push(`committed ${job}`));
    },
    whenWritten: (job) => {
      queue.whenWritten(job, () => events.push(`known ${job}`));
    },
  };
}

function createJobs(count: number): readonly string[] {
  return Array.from({ length: count }, (_, position) => `job-${String(position).padStart(2, "0")}`);
}

/** Enqueues jobs of the given size and returns them. */
function enqueueJobs(fixture: Fixture, count: number, bytes: number): readonly string[] {
  const jobs = createJobs(count);
  jobs.forEach((job) => {
    fixture.setValue(job, "x".repeat(bytes));
    fixture.enqueue(job);
  });
  return jobs;
}

function getJobsOf(events: readonly string[], kind: string): readonly string[] {
  return events.filter((event) => event.startsWith(kind)).map((event) => event.split(" ")[1] ?? "");
}

// Guards against a transaction that a narrow link can never send within the timeout of a call, so
// that the scheduler keeps its lease and records nothing any more.
test("CommitQueue writes large jobs over a narrow link, in order and each once", async (t) => {
  const fixture = await createFixture();
  const { clock, store, events, queue } = fixture;
  const jobs = enqueueJobs(fixture, 30, LARGE_JOB_BYTES);
  await clock.advance(TEST_MS);
  t.deepEqual(store.executedKeys.flat(), jobs);
  t.deepEqual(getJobsOf(events, "written"), jobs);
  t.deepEqual(getJobsOf(events, "committed"), jobs);
  const sentBytes = store.sent.map(getValueBytes);
  t.true(
    sentBytes.every((bytes) => bytes <= MAX_SENT_BYTES),
    String(sentBytes),
  );
  t.false(queue.isFailing);
});

test("CommitQueue calls back for a job after its own write and not before", async (t) => {
  const fixture = await createFixture();
  const { clock, events } = fixture;
  const [first = "", second = ""] = enqueueJobs(fixture, 2, LARGE_JOB_BYTES);
  const transferMs = (LARGE_JOB_BYTES * 4) / 3 / LINK.bytesPerMs;
  await clock.advance(transferMs + 1);
  t.deepEqual(events, [`written ${first}`, `committed ${first}`]);
  await clock.advance(TEST_MS);
  t.deepEqual(events.slice(2), [`written ${second}`, `committed ${second}`]);
});

test("CommitQueue writes a job that alone exceeds the bound, and those behind it", async (t) => {
  const fixture = await createFixture();
  const { clock, store, events } = fixture;
  const jobs = enqueueJobs(fixture, 4, SMALL_JOB_BYTES);
  const [, large = ""] = jobs;
  fixture.setValue(large, "x".repeat(5 * MAX_SENT_BYTES));
  await clock.advance(TEST_MS);
  t.deepEqual(getJobsOf(events, "committed"), jobs);
  t.deepEqual(
    store.executedKeys,
    [jobs.slice(0, 1), [large], jobs.slice(2)],
    "a large job neither delays those before it nor is overtaken by those behind it",
  );
});

test("CommitQueue writes as many small jobs in one transaction as its rows allow", async (t) => {
  const fixture = await createFixture();
  const jobs = enqueueJobs(fixture, 31, SMALL_JOB_BYTES);
  await fixture.clock.advance(TEST_MS);
  t.deepEqual(fixture.store.executedKeys, [jobs.slice(0, 15), jobs.slice(15, 30), jobs.slice(30)]);
});

test("CommitQueue writes the newest progress of a job that changed while it waited", async (t) => {
  const fixture = await createFixture();
  const { clock, store, events } = fixture;
  const jobs = enqueueJobs(fixture, 3, LARGE_JOB_BYTES);
  const last = jobs.at(-1) ?? "";
  await clock.advance(1);
  fixture.setValue(last, "newest");
  fixture.enqueue(last);
  await clock.advance(TEST_MS);
  t.is((await store.read(last)).unwrapOr(undefined)?.value, "newest");
  t.deepEqual(getJobsOf(events, "written"), jobs);
  t.deepEqual(getJobsOf(events, "committed"), [...jobs, last]);
});

test("CommitQueue repeats a transaction unchanged until its outcome is known", async (t) => {
  const fixture = await createFixture();
  const { clock, store, events } = fixture;
  const jobs = enqueueJobs(fixture, 3, LARGE_JOB_BYTES);
  const [first = ""] = jobs;
  store.faults.lostAnswers = 1;
  await clock.advance(1);
  fixture.setValue(first, "newest");
  await clock.advance(TEST_MS);
  const [sent, repeated] = store.sent;
  t.is(sent?.writes[0]?.key, first);
  t.deepEqual(repeated, sent);
  t.deepEqual(getJobsOf(events, "written"), jobs);
  t.deepEqual(getJobsOf(events, "committed"), jobs);
  t.false(events.includes("superseded"));
});

// Guards against one job whose progress the store never takes and behind which no other job is
// recorded, as its transaction is repeated for ever.
test("CommitQueue writes all other jobs when the store rejects the progress of one", async (t) => {
  const fixture = await createFixture();
  const { clock, store, events, queue, log } = fixture;
  const jobs = enqueueJobs(fixture, 20, SMALL_JOB_BYTES);
  const rejected = jobs[6] ?? "";
  store.rejectedKey = rejected;
  await clock.advance(TEST_MS);
  const others = jobs.filter((job) => job !== rejected);
  t.deepEqual(getJobsOf(events, "written"), others);
  t.deepEqual(getJobsOf(events, "committed"), others);
  t.false(queue.isFailing);
  const errors = log.lines.filter(({ level }) => level === "error");
  t.deepEqual(
    errors.map(({ fields }) => fields.job),
    [rejected],
  );
});

// Guards against an elected scheduler that takes foreign progress for the end of its epoch, so that
// its entry claims the pool again at once with the same state.
test("CommitQueue stops at progress that it did not write, and names its key", async (t) => {
  const fixture = await createFixture();
  const { clock, store, events, log } = fixture;
  const [, foreign = ""] = createJobs(2);
  store.model.write({ key: foreign, value: "foreign", expected: 0 });
  enqueueJobs(fixture, 3, SMALL_JOB_BYTES);
  await clock.advance(TEST_MS);
  t.deepEqual(events, ["foreign"]);
  t.is(store.model.read(foreign)?.value, "foreign");
  t.deepEqual(
    log.lines.map(({ level, fields }) => [level, fields.keys]),
    [["error", foreign]],
  );
});

// Guards against leases that are granted on the strength of an election that nothing has confirmed.
test("CommitQueue confirms the election only with a transaction that succeeded", async (t) => {
  const fixture = await createFixture();
  const { clock, queue } = fixture;
  t.is(queue.confirmedAt, Number.NEGATIVE_INFINITY);
  enqueueJobs(fixture, 1, 100);
  await clock.advance(TEST_MS);
  t.true(queue.confirmedAt > Number.NEGATIVE_INFINITY);
});

// Guards against ends that are acknowledged while the progress that shows them is not stored.
test("CommitQueue calls back once a job is written, without a write if it is", async (t) => {
  const fixture = await createFixture();
  const { clock, store, events, setValue, enqueue, whenWritten } = fixture;
  whenWritten("a");
  t.deepEqual(events, ["known a"]);
  setValue("a", "1");
  enqueue("a");
  whenWritten("a");
  t.deepEqual(events, ["known a"]);
  await clock.advance(TEST_MS);
  t.deepEqual(events, ["known a", "written a", "committed a", "known a"]);
  whenWritten("a");
  await clock.advance(TEST_MS);
  t.deepEqual(events.slice(4), ["known a"]);
  t.deepEqual(store.executedKeys, [["a"]]);
  store.rejectedKey = "b";
  setValue("b", "1");
  enqueue("b");
  await clock.advance(TEST_MS);
  whenWritten("b");
  await clock.advance(TEST_MS);
  t.deepEqual(events.slice(5), []);
});
