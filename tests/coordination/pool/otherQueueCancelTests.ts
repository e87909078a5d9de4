/**
 * Tests of cancellations of a client whose queue has no job with the id, while another queue of the
 * pool has one or gets one, in virtual time.
 */
import test from "ava";
import { formatJobKey, INTAKE_PREFIX } from "../../../src/state/pool/PoolKeys.ts";
import { createJobId, createStep, POOL } from "../../support/poolFixtures.ts";
import { PoolSimulation } from "./PoolSimulation.ts";
import { QUEUE, type SimulatedEntry } from "./simulatedPool.ts";

const OTHER_QUEUE = { ...QUEUE, name: "queue-b", pathPrefix: "/b/" };
const JOB = createJobId(1);
const STEP = createStep({ longRunning: true });
const DEFINITION = { payload: "", steps: [STEP], schedule: undefined };
const TIMEOUT_MS = 2_500;
const STEADY_MS = 3_000;

interface Pool {
  readonly simulation: PoolSimulation;
  /** An entry that schedules the pool, and one that does not. */
  readonly entries: readonly [SimulatedEntry, SimulatedEntry];
}

async function createPool(): Promise<Pool> {
  const simulation = new PoolSimulation();
  const entries = [simulation.addEntry("entry-0"), simulation.addEntry("entry-1")] as const;
  await simulation.addAgent("agent-0");
  await simulation.clock.advance(STEADY_MS);
  return { simulation, entries };
}

/** Cancels the job of a queue at an entry. */
async function cancel({ simulation }: Pool, entry: SimulatedEntry, queue = OTHER_QUEUE) {
  const { clock } = simulation;
  const outcome = entry.submissions.cancel(queue, JOB, clock.now() + TIMEOUT_MS);
  await clock.advance(STEADY_MS);
  return outcome;
}

function countRunning({ simulation }: Pool): number {
  return simulation.journal.filter(({ endedAt }) => endedAt === undefined).length;
}

// Guards against a job that is shown as cancelled though nobody has cancelled it: a client of another
// queue cancelled a job of its own with that id, which was not accepted.
test("SubmissionService cancels no job of another queue that has the id", async (t) => {
  const pool = await createPool();
  const [first, second] = pool.entries;
  await pool.simulation.submit(first, JOB, DEFINITION, undefined);
  t.deepEqual(await cancel(pool, second), { kind: "not-found" });
  t.is(countRunning(pool), 1);
  t.is(second.coordinator.catalog.getJob(JOB)?.isCancelled, false);
  t.deepEqual(await cancel(pool, second, QUEUE), { kind: "stored", known: false });
  t.is(countRunning(pool), 0);
});

// Guards against the same if the id is taken after the cancellation.
test("SubmissionService cancels no job that another queue submits under the id later", async (t) => {
  const pool = await createPool();
  const [first, second] = pool.entries;
  t.deepEqual(await cancel(pool, second), { kind: "not-found" });
  await pool.simulation.submit(first, JOB, DEFINITION, undefined);
  t.is(countRunning(pool), 1);
  t.is(second.coordinator.catalog.getJob(JOB)?.isCancelled, false);
});

// Guards against a job that runs although its submission, which was under way, has been cancelled.
test("SubmissionService cancels a job that the same queue submits under the id later", async (t) => {
  const pool = await createPool();
  const [first, second] = pool.entries;
  t.deepEqual(await cancel(pool, second, QUEUE), { kind: "not-found" });
  await pool.simulation.submit(first, JOB, DEFINITION, undefined);
  t.is(countRunning(pool), 0);
  t.is(second.coordinator.catalog.getJob(JOB)?.isCancelled, true);
});

// Guards against a cancellation of an entry of a former version that is lost in a rolling upgrade.
test("JobCatalog applies a cancellation without a queue to the job that has the id", async (t) => {
  const pool = await createPool();
  const [first] = pool.entries;
  const key = formatJobKey({ kind: "cancel", pool: POOL, job: JOB });
  t.is(key, `${INTAKE_PREFIX}${POOL}/cancel/${JOB}`);
  await pool.simulation.submit(first, JOB, DEFINITION, undefined);
  pool.simulation.storeModel.write({ key, value: "{}", expected: 0 });
  await pool.simulation.clock.advance(STEADY_MS);
  t.is(countRunning(pool), 0);
});
