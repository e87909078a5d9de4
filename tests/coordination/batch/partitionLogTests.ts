import test from "ava";
import { PartitionLog } from "../../../src/coordination/batch/PartitionLog.ts";
import { PartitionReader } from "../../../src/coordination/batch/PartitionReader.ts";
import { jobSpecSchema } from "../../../src/protocol/jobs/JobSpec.ts";
import type { BatchRecord } from "../../../src/state/batch/BatchRecord.ts";
import { getJobId } from "../../../src/state/batch/BatchIds.ts";
import { LOG_SLOTS } from "../../../src/state/batch/LogKeys.ts";
import { MemoryStore } from "../../../standins/store/MemoryStore.ts";
import { ManualClock } from "../../support/ManualClock.ts";

const COMMIT_INTERVAL_MS = 100;
const MANY_TASKS = 10_000;

function createSetup() {
  const clock = new ManualClock();
  const store = new MemoryStore(clock);
  let supersededCount = 0;
  const open = async (writer: string, from: MemoryStore = store): Promise<PartitionLog> => {
    const loaded = (await new PartitionReader(from, 0).read())._unsafeUnwrap();
    const log = new PartitionLog(
      {
        store: from,
        clock,
        partition: 0,
        writer,
        commitIntervalMs: COMMIT_INTERVAL_MS,
        onSuperseded: () => {
          supersededCount += 1;
        },
      },
      loaded,
    );
    const claimed = log.append([{ type: "epoch", owner: writer, leaseMs: 1, horizonMs: 1 }]);
    await clock.advance(COMMIT_INTERVAL_MS);
    (await claimed)._unsafeUnwrap();
    return log;
  };
  const append = async (log: PartitionLog, records: readonly BatchRecord[]) => {
    const result = log.append(records);
    await clock.advance(COMMIT_INTERVAL_MS * 20);
    return result;
  };
  return { clock, store, open, append, getSupersededCount: () => supersededCount };
}

function submit(key: string, tasks = 1): BatchRecord {
  const resources = { processorsMilli: 1, memoryBytes: 0, accelerators: 0 };
  const spec = jobSpecSchema.parse({ key, tenant: "t", kind: "k", resources, command: "", tasks });
  return { type: "submit", job: getJobId("t", key, 1), spec };
}

test("PartitionLog commits the records of one interval in one write", async (t) => {
  const { clock, store, open } = createSetup();
  const log = await open("a");
  const before = store.counts.writes;
  const results = Array.from({ length: 50 }, (_, index) => log.append([submit(`k${index}`)]));
  await clock.advance(COMMIT_INTERVAL_MS);
  t.true((await Promise.all(results)).every((result) => result.isOk()));
  t.is(store.counts.writes - before, 1);
  t.is(log.ledger.jobCount, 50);
});

test("PartitionLog handles a lost response without losing or duplicating records or being superseded", async (t) => {
  const { store, open, append, getSupersededCount } = createSetup();
  const log = await open("a");
  store.faults.lostAnswers = 2;
  t.true((await append(log, [submit("x")])).isOk());
  store.faults.lostRequests = 2;
  t.true((await append(log, [submit("y")])).isOk());
  t.is(getSupersededCount(), 0);
  const next = await open("b");
  t.is(next.ledger.jobCount, 2);
  t.is(next.epoch, 2);
});

// Guards against a repeated write that finds its first attempt in the log and is taken for a proof
// that no other owner has taken over since: leases would be granted beyond the takeover horizon.
test("PartitionLog confirms the ownership from the first attempt of a write whose response was lost", async (t) => {
  const { clock, store, open } = createSetup();
  const log = await open("a");
  const sentAt = clock.now();
  store.faults.lostAnswers = 1;
  const appended = log.append([submit("x")]);
  await clock.advance(0);
  store.startOutage();
  const next = await open("b", new MemoryStore(clock, store.model));
  t.is(next.ledger.jobCount, 1);
  await clock.advance(60_000);
  store.endOutage();
  await clock.advance(2_000);
  t.true((await appended).isOk());
  t.is(log.confirmedAt, sentAt);
});

test("PartitionLog rejects records at once while the store is known to be unavailable", async (t) => {
  const { store, open, append } = createSetup();
  const log = await open("a");
  store.startOutage();
  t.is((await append(log, [submit("x")]))._unsafeUnwrapErr(), "unavailable");
  t.true(log.isFailing);
  store.endOutage();
  t.true((await append(log, [submit("x")])).isOk());
  t.false(log.isFailing);
});

test("PartitionLog is superseded by a later owner, even after the ring buffer has wrapped around", async (t) => {
  const { open, append, getSupersededCount } = createSetup();
  const paused = await open("a");
  await append(paused, [submit("before")]);
  const next = await open("b");
  for (let i = 0; i < LOG_SLOTS + 10; i += 1) {
    await append(next, [submit(`k${i}`)]);
  }
  t.is((await append(paused, [submit("late")]))._unsafeUnwrapErr(), "deposed");
  t.is(getSupersededCount(), 1);
  const third = await open("c");
  t.is(third.ledger.jobCount, LOG_SLOTS + 11);
  t.is(third.ledger.getJob(getJobId("t", "late", 1)), undefined);
});

test("PartitionLog uses a bounded number of keys", async (t) => {
  const { store, open, append } = createSetup();
  const log = await open("a");
  for (let i = 0; i < LOG_SLOTS * 3; i += 1) {
    await append(log, [submit(`k${i}`)]);
  }
  const { entries } = (await store.list("partition/0/"))._unsafeUnwrap();
  t.true(entries.length <= LOG_SLOTS + 4);
  t.is((await open("b")).ledger.jobCount, LOG_SLOTS * 3);
});

test("PartitionLog recovers a partition that is larger than one store value", async (t) => {
  const { open, append } = createSetup();
  const log = await open("a");
  const ids = [0, 1, 2].map((index) => getJobId("t", `big${index}`, 1));
  await append(log, [submit("big0", MANY_TASKS), submit("big1", MANY_TASKS)]);
  await append(log, [submit("big2", MANY_TASKS)]);
  const starts = ids.flatMap((job) =>
    Array.from({ length: MANY_TASKS }, (_, index): BatchRecord => ({
      type: "start",
      task: `${job}.${index}`,
      attempt: 1,
      agent: "vm-with-a-longer-name",
    })),
  );
  for (let first = 0; first < starts.length; first += 1_000) {
    t.true((await append(log, starts.slice(first, first + 1_000))).isOk());
  }
  for (let i = 0; i < LOG_SLOTS; i += 1) {
    await append(log, [{ type: "cancel", jobs: [] }]);
  }
  const next = await open("b");
  t.is(next.ledger.held.size, ids.length * MANY_TASKS);
});
