/**
 * Tests of queues whose names, pools or both change while their submitters name them by the same
 * host and path prefix, in virtual time.
 */
import test from "ava";
import { StoreSilenceMonitor } from "../../../src/coordination/pool/StoreSilenceMonitor.ts";
import {
  SubmissionService,
  type SubmissionOutcome,
} from "../../../src/coordination/pool/SubmissionService.ts";
import type { QueueConfig } from "../../../src/protocol/pool/QueueConfig.ts";
import { JobCatalog } from "../../../src/state/pool/JobCatalog.ts";
import { formatJobKey, getQueueDigest, INTAKE_PREFIX } from "../../../src/state/pool/PoolKeys.ts";
import { MemoryStore } from "../../../standins/store/MemoryStore.ts";
import { StoreModel } from "../../../standins/store/StoreModel.ts";
import { ManualClock } from "../../support/ManualClock.ts";
import { MemoryLog } from "../../support/MemoryLog.ts";
import { createJobId, createJobRecord, createStep, POOL } from "../../support/poolFixtures.ts";
import { PoolSimulation } from "./PoolSimulation.ts";
import { QUEUE, type SimulatedEntry } from "./simulatedPool.ts";

const JOB = createJobId(1);
const DEFINITION = {
  payload: "",
  steps: [createStep({ longRunning: true })],
  schedule: undefined,
};
const RENAMED = { ...QUEUE, name: "queue-b" };
const OTHER_POOL = "pool-b";
const MOVED = { ...RENAMED, pool: OTHER_POOL };
const OTHER_QUEUE = { ...QUEUE, name: "queue-b", pathPrefix: "/b/" };
/** The queues after they have swapped their names. */
const SWAPPED = { ...QUEUE, name: OTHER_QUEUE.name };
const OTHER_SWAPPED = { ...OTHER_QUEUE, name: QUEUE.name };
const TIMEOUT_MS = 2_500;
const STEADY_MS = 3_000;
const KNOWN: SubmissionOutcome = { kind: "stored", known: true };
const CREATED: SubmissionOutcome = { kind: "stored", known: false };

/** Pool with a worker, and calls of its entries that are awaited in virtual time. */
class RenamedQueuePool extends PoolSimulation {
  async query(entry: SimulatedEntry, queue: QueueConfig): Promise<string> {
    const outcome = await this._wait(
      entry.submissions.getPhase(queue, JOB, this.clock.now() + TIMEOUT_MS),
    );
    return outcome.kind === "found" ? outcome.phase : outcome.kind;
  }

  async cancel(entry: SimulatedEntry, queue: QueueConfig): Promise<SubmissionOutcome> {
    return this._wait(entry.submissions.cancel(queue, JOB, this.clock.now() + TIMEOUT_MS));
  }

  async repeat(entry: SimulatedEntry, queue: QueueConfig): Promise<SubmissionOutcome> {
    const deadline = this.clock.now() + TIMEOUT_MS;
    return this._wait(entry.submissions.submit(queue, JOB, DEFINITION, deadline));
  }

  countRunning(): number {
    return this.journal.filter(({ endedAt }) => endedAt === undefined).length;
  }

  private async _wait<T>(outcome: Promise<T>): Promise<T> {
    await this.clock.advance(STEADY_MS);
    return outcome;
  }
}

/** Creates a pool with a scheduling entry, to which the job is submitted, and another one. */
async function createPool(): Promise<{
  readonly pool: RenamedQueuePool;
  readonly entry: SimulatedEntry;
}> {
  const pool = new RenamedQueuePool();
  const first = pool.addEntry("entry-0");
  const entry = pool.addEntry("entry-1");
  await pool.addAgent("agent-0");
  await pool.clock.advance(STEADY_MS);
  await pool.submit(first, JOB, DEFINITION, undefined);
  return { pool, entry };
}

/** Creates an entry of two pools that has received nothing from its store. */
function createEmptyEntry(clock: ManualClock, store: MemoryStore) {
  const log = new MemoryLog();
  const catalog = createCatalog();
  return new SubmissionService({
    ...{ store, clock, log, catalog, getTimeOfDay: (): number => clock.now() },
    silenceMonitor: new StoreSilenceMonitor({ store, clock, log }),
    getPools: () => [POOL, OTHER_POOL],
  });
}

function createCatalog(): JobCatalog {
  const ignore = (): void => undefined;
  return new JobCatalog({ onAccepted: ignore, onCancelled: ignore, onUnreadable: ignore });
}

/** Creates the record of a job as an entry of a former version stores it. */
function createFormerJob(revision = 1) {
  const key = formatJobKey({ kind: "job", pool: POOL, job: JOB });
  return { key, value: JSON.stringify(createJobRecord()), revision };
}

// Guards against an accepted job that nobody can ask for or cancel any more while its tasks run on.
for (const [change, queue] of [
  ["name", RENAMED],
  ["name and pool", MOVED],
] as const) {
  test(`SubmissionService finds and cancels a job whose queue has another ${change}`, async (t) => {
    const { pool, entry } = await createPool();
    t.is(await pool.query(entry, queue), "running");
    t.deepEqual(await pool.cancel(entry, queue), CREATED);
    t.is(await pool.query(entry, queue), "cancelled");
    t.is(pool.countRunning(), 0);
  });

  // Guards against a repeated submission that is rejected, or starts its tasks a second time.
  test(`SubmissionService takes a repeated submission for the same if its queue has another ${change}`, async (t) => {
    const { pool, entry } = await createPool();
    t.deepEqual(await pool.repeat(entry, queue), KNOWN);
    t.is(pool.countRunning(), 1);
    t.is(pool.storeModel.list(INTAKE_PREFIX).entries.length, 1);
  });
}

// Guards against a pending count that omits what was accepted before a change of the name.
test("SubmissionService counts the pending jobs of a queue that has another name", async (t) => {
  const pool = new RenamedQueuePool();
  const entry = pool.addEntry("entry-0");
  await pool.clock.advance(STEADY_MS);
  await pool.submit(entry, JOB, DEFINITION, undefined);
  t.is(entry.submissions.countPending(RENAMED), 1);
  t.is(entry.submissions.countPending(OTHER_SWAPPED), 0);
});

// Guards against a job that is shown to the client of another queue, or cancelled by it.
test("SubmissionService keeps the jobs of two queues apart that swap their names", async (t) => {
  const { pool, entry } = await createPool();
  t.is(await pool.query(entry, OTHER_SWAPPED), "not-found");
  t.deepEqual(await pool.cancel(entry, OTHER_SWAPPED), { kind: "not-found" });
  t.deepEqual(await pool.repeat(entry, OTHER_SWAPPED), { kind: "conflict" });
  t.is(pool.countRunning(), 1);
  t.is(await pool.query(entry, SWAPPED), "running");
});

// Guards against a job that only entries know which run since before the change.
test("SubmissionService finds a job whose queue was removed and added anew at an entry that has restarted", async (t) => {
  const { pool } = await createPool();
  const restarted = pool.addEntry("entry-2");
  restarted.coordinator.catalog.setQueues([OTHER_QUEUE]);
  await pool.clock.advance(STEADY_MS);
  restarted.coordinator.catalog.setQueues([OTHER_QUEUE, { ...QUEUE, name: "queue-c" }]);
  t.is(await pool.query(restarted, { ...QUEUE, name: "queue-c" }), "running");
});

// Guards against a job that runs although it was cancelled before it was stored, under another name.
test("SubmissionService cancels a job that is submitted later under another name of its queue", async (t) => {
  const pool = new RenamedQueuePool();
  const entry = pool.addEntry("entry-0");
  await pool.addAgent("agent-0");
  await pool.clock.advance(STEADY_MS);
  t.deepEqual(await pool.cancel(entry, MOVED), { kind: "not-found" });
  await pool.submit(entry, JOB, DEFINITION, undefined);
  t.is(await pool.query(entry, QUEUE), "cancelled");
  t.is(pool.countRunning(), 0);
});

// Guards against a cancellation whose key outlasts its job, so that a later job with the id is cancelled.
test("JobRetention removes the cancellations of a job by endpoint and by name", async (t) => {
  const pool = new PoolSimulation(1, { retentionMs: 1_000 });
  const entry = pool.addEntry("entry-0");
  await pool.addAgent("agent-0");
  await pool.clock.advance(STEADY_MS);
  const key = { kind: "cancel", pool: POOL, job: JOB } as const;
  const former = formatJobKey({ ...key, queueDigest: getQueueDigest(QUEUE.name) });
  pool.storeModel.write({ key: former, value: "{}", expected: 0 });
  const deadline = pool.clock.now() + TIMEOUT_MS;
  const cancelled = entry.submissions.cancel(QUEUE, JOB, deadline);
  await pool.clock.advance(STEADY_MS);
  t.deepEqual(await cancelled, { kind: "not-found" });
  await pool.submit(entry, JOB, DEFINITION, undefined);
  await pool.clock.advance(30_000);
  t.deepEqual(pool.storeModel.list(INTAKE_PREFIX).entries, []);
});

// Guards against an entry that knows a job from the store alone and looks for it in the present pool.
test("SubmissionService finds a job in the former pool of its queue, and creates no second one", async (t) => {
  const clock = new ManualClock();
  const model = new StoreModel(clock);
  const store = new MemoryStore(clock, model);
  const first = createEmptyEntry(clock, store);
  t.deepEqual(await first.submit(QUEUE, JOB, DEFINITION, TIMEOUT_MS), CREATED);
  const found = await createEmptyEntry(clock, store).getPhase(MOVED, JOB, TIMEOUT_MS);
  t.deepEqual(found, { kind: "found", phase: "queued" });
  const repeated = createEmptyEntry(clock, store).submit(MOVED, JOB, DEFINITION, TIMEOUT_MS);
  t.deepEqual(await repeated, KNOWN);
  const foreign = createEmptyEntry(clock, store).submit(OTHER_QUEUE, JOB, DEFINITION, TIMEOUT_MS);
  t.deepEqual(await foreign, { kind: "conflict" });
  t.is(model.list(INTAKE_PREFIX).entries.length, 1);
});

// Guards against a job that a cancellation under another pool hides from the scheduler of its own.
test("JobCatalog takes the pool of a job from the job, not from its cancellation", (t) => {
  const catalog = createCatalog();
  const key = { kind: "cancel", pool: OTHER_POOL, job: JOB } as const;
  const cancelKey = formatJobKey({ ...key, queueDigest: getQueueDigest("another endpoint") });
  catalog.apply([{ key: cancelKey, value: "{}", revision: 1 }, createFormerJob(2)]);
  t.is(catalog.getJobs(POOL).length, 1);
});

// Guards against a rolling upgrade in which jobs of the former version are lost with a change of names.
test("JobCatalog lets a job of a former version keep the endpoint that its queue had", (t) => {
  const catalog = createCatalog();
  catalog.setQueues([QUEUE, OTHER_QUEUE]);
  catalog.apply([createFormerJob()]);
  catalog.setQueues([SWAPPED, OTHER_SWAPPED]);
  t.is(catalog.countPending(SWAPPED), 1);
  t.is(catalog.countPending(OTHER_SWAPPED), 0);
});

test("JobCatalog finds the endpoint of a job of a former version that was received before the queues", (t) => {
  const catalog = createCatalog();
  catalog.apply([createFormerJob()]);
  catalog.setQueues([QUEUE]);
  catalog.setQueues([RENAMED, { ...OTHER_QUEUE, name: QUEUE.name }]);
  t.is(catalog.countPending(RENAMED), 1);
  t.is(catalog.countPending({ ...OTHER_QUEUE, name: QUEUE.name }), 0);
});

// Guards against a cancellation of an entry of a former version that is lost in a rolling upgrade.
test("JobCatalog applies a cancellation that names the queue of a job by its name", (t) => {
  const catalog = createCatalog();
  catalog.setQueues([QUEUE]);
  const key = { kind: "cancel", pool: POOL, job: JOB } as const;
  const cancelKey = formatJobKey({ ...key, queueDigest: getQueueDigest(QUEUE.name) });
  catalog.apply([{ key: cancelKey, value: "{}", revision: 1 }, createFormerJob(2)]);
  t.true(catalog.getJob(JOB)?.isCancelled);
});
