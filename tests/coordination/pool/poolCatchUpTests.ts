/**
 * Tests of what an elected entry must know before it schedules a pool, in virtual time: what a former
 * scheduler recorded, even if the entry's own watches bring it late, and all jobs.
 */
import test, { type ExecutionContext } from "ava";
import type { CatalogJob } from "../../../src/state/pool/JobCatalog.ts";
import {
  formatJobKey,
  INTAKE_PREFIX,
  PROGRESS_PREFIX,
  SCHEDULER_PREFIX,
} from "../../../src/state/pool/PoolKeys.ts";
import { createJobId, createStep, POOL } from "../../support/poolFixtures.ts";
import { NarrowLinkStore } from "../../support/NarrowLinkStore.ts";
import { PoolSimulation } from "./PoolSimulation.ts";
import { QUEUE, type SimulatedEntry } from "./simulatedPool.ts";

const JOB_ID = createJobId(1);
const TASK_COUNT = 4;
/** Run time of a task that ends after the submission of its job has been awaited, in milliseconds. */
const WORK_MS = 4_000;
/** Number of keys that a listing of the late entry can transfer; more than there are. */
const MANY_KEYS = 1_000;
/** Time in which the former scheduler records what happened, in milliseconds. */
const RECORD_MS = 5_000;
/**
 * Time by which changes are late that occur before the election, in milliseconds: longer than the
 * former scheduler needs to record them and its successor to start runs.
 */
const LATE_MS = 10_000;
/** Step in which time is advanced until something has happened, in milliseconds. */
const STEP_MS = 5;
/** Time in which a scheduler has long started all that it would start, in milliseconds. */
const SETTLE_MS = 15_000;
const AGENT_NAMES = ["agent-0", "agent-1"];
const ELECTED_SENTENCE = "This entry was elected scheduler of a pool.";

interface Fixture {
  readonly simulation: PoolSimulation;
  readonly leader: SimulatedEntry;
  readonly late: SimulatedEntry;
  /** Connection of the late entry to the store. */
  readonly link: NarrowLinkStore;
}

/**
 * Creates a pool with a job, and an entry that has followed the job so far.
 * @param agentNames - Names of the agents; without any, the job waits.
 * @param workMs - Run time of each task, in milliseconds; undefined for tasks that never end.
 */
async function createFixture(
  agentNames: readonly string[],
  workMs: number | undefined,
): Promise<Fixture> {
  const simulation = new PoolSimulation();
  const { clock, storeModel } = simulation;
  const leader = simulation.addEntry("leader");
  await Promise.all(agentNames.map((name) => simulation.addAgent(name)));
  await clock.advance(3_000);
  const link = new NarrowLinkStore(clock, storeModel, MANY_KEYS);
  const late = simulation.addEntry("late", link);
  const steps = [createStep({ taskCount: TASK_COUNT, longRunning: workMs === undefined })];
  await simulation.submit(leader, JOB_ID, { payload: "", steps, schedule: undefined }, workMs);
  return { simulation, leader, late, link };
}

async function advanceUntil({ clock }: PoolSimulation, isReached: () => boolean): Promise<void> {
  const deadline = clock.now() + RECORD_MS;
  while (!isReached() && clock.now() < deadline) {
    await clock.advance(STEP_MS);
  }
}

function getJob({ coordinator }: SimulatedEntry): CatalogJob | undefined {
  return coordinator.catalog.getJob(JOB_ID);
}

function isEveryRunAcknowledged({ journal }: PoolSimulation): boolean {
  return journal.every(({ isAcknowledged }) => isAcknowledged === true);
}

/** Checks that an entry is the scheduler, and that the store refused nothing of what it recorded. */
function assertSchedulesSteadily(
  t: ExecutionContext,
  { log }: PoolSimulation,
  { name, coordinator }: SimulatedEntry,
): void {
  const elections = log.lines.filter(
    ({ part, sentence }) => part === name && sentence === ELECTED_SENTENCE,
  );
  t.is(elections.length, 1);
  t.is(coordinator.schedulers.size, 1);
}

/**
 * Elects the late entry and lets it do what it would do. The watches in progress stay late; what it
 * asks for from now on arrives at once.
 */
async function handOver({ simulation, leader, link }: Fixture): Promise<void> {
  link.changesDelayMs = new Map();
  const handedOver = leader.coordinator.handOver();
  await simulation.clock.advance(SETTLE_MS);
  await handedOver;
}

// Guards against an elected entry that does not know yet that the former scheduler recorded a task as
// done: it would start the task again, or be refused by the store for as long as the change is late.
test("PoolCoordinator starts no task that was recorded as done shortly before the election", async (t) => {
  const fixture = await createFixture(AGENT_NAMES, WORK_MS);
  const { simulation, leader, late, link } = fixture;
  link.changesDelayMs = new Map([[PROGRESS_PREFIX, LATE_MS]]);
  await advanceUntil(simulation, () => isEveryRunAcknowledged(simulation));
  t.is(getJob(leader)?.phase, "completed");
  t.is(getJob(late)?.phase, "running", "the late entry knows already what it should learn late");
  await handOver(fixture);
  t.is(simulation.journal.length, TASK_COUNT);
  t.deepEqual(simulation.findViolations(), []);
  assertSchedulesSteadily(t, simulation, late);
});

// Guards against an elected entry that does not know yet that the former scheduler recorded a job as
// cancelled: it would start the job's tasks again, or be refused by the store as above.
test("PoolCoordinator starts no task of a job that was cancelled shortly before the election", async (t) => {
  const fixture = await createFixture(AGENT_NAMES, undefined);
  const { simulation, leader, late, link } = fixture;
  link.changesDelayMs = new Map([
    [INTAKE_PREFIX, LATE_MS],
    [PROGRESS_PREFIX, LATE_MS],
  ]);
  const deadline = simulation.clock.now() + RECORD_MS;
  const cancelled = leader.submissions.cancel(QUEUE, JOB_ID, deadline);
  await advanceUntil(simulation, () => isEveryRunAcknowledged(simulation));
  t.is((await cancelled).kind, "stored");
  t.false(getJob(late)?.isCancelled, "the late entry knows already what it should learn late");
  await handOver(fixture);
  t.is(simulation.journal.length, TASK_COUNT);
  t.true(simulation.journal.every(({ endedAt }) => endedAt !== undefined));
  t.deepEqual(simulation.findViolations(), []);
  assertSchedulesSteadily(t, simulation, late);
});

// Guards against an elected entry that starts a job of which it does not know yet that it was cancelled
// while it waited. No scheduler has recorded anything of the job that would make the store refuse it.
test("PoolCoordinator starts no waiting job that was cancelled shortly before the election", async (t) => {
  const fixture = await createFixture([], undefined);
  const { simulation, leader, late, link } = fixture;
  simulation.killEntry(leader);
  link.changesDelayMs = new Map([[INTAKE_PREFIX, LATE_MS]]);
  const key = formatJobKey({ kind: "cancel", pool: POOL, job: JOB_ID });
  simulation.storeModel.write({ key, value: "{}", expected: 0 });
  await simulation.clock.advance(STEP_MS);
  t.false(getJob(late)?.isCancelled, "the late entry knows already what it should learn late");
  link.changesDelayMs = new Map();
  await Promise.all(AGENT_NAMES.map((name) => simulation.addAgent(name)));
  await simulation.clock.advance(SETTLE_MS);
  t.is(simulation.journal.length, 0);
  assertSchedulesSteadily(t, simulation, late);
});

// Guards against an entry that claims a pool without knowing its jobs, and keeps it from entries that
// do until it gives it up again.
test("PoolCoordinator claims no pool before its entry has listed all jobs", async (t) => {
  const { simulation, leader, late } = await createFixture(AGENT_NAMES, undefined);
  const { clock, storeModel } = simulation;
  simulation.killEntry(leader);
  simulation.killEntry(late);
  const link = new NarrowLinkStore(clock, storeModel, 0);
  const newcomer = simulation.addEntry("newcomer", link);
  await clock.advance(SETTLE_MS);
  t.deepEqual(storeModel.list(SCHEDULER_PREFIX).entries, []);
  t.is(link.counts.writes, 0, "the entry has acquired a lease or written the key");
  link.maxListedKeys = MANY_KEYS;
  await clock.advance(SETTLE_MS);
  assertSchedulesSteadily(t, simulation, newcomer);
});

// Guards against an entry that takes part of the jobs' keys for all of them: without the progress it
// would start what runs, without the accepted jobs it would schedule nothing.
for (const prefix of [INTAKE_PREFIX, PROGRESS_PREFIX]) {
  test(`PoolCoordinator claims no pool while its entry has yet to list ${prefix}`, async (t) => {
    const { simulation, leader, late } = await createFixture(AGENT_NAMES, undefined);
    const { clock, storeModel } = simulation;
    simulation.killEntry(leader);
    simulation.killEntry(late);
    const link = new NarrowLinkStore(clock, storeModel, MANY_KEYS);
    link.unlistedPrefixes = [prefix];
    const newcomer = simulation.addEntry("newcomer", link);
    await clock.advance(SETTLE_MS);
    t.is(link.counts.writes, 0, "the entry has acquired a lease or written the key");
    link.unlistedPrefixes = [];
    await clock.advance(SETTLE_MS);
    assertSchedulesSteadily(t, simulation, newcomer);
  });
}
