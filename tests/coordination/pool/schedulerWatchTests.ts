/**
 * Tests in virtual time of a scheduler that runs and renews its lease, but cannot do its work: the
 * pool must go to an entry that can.
 */
import test from "ava";
import { INTAKE_PREFIX } from "../../../src/state/pool/PoolKeys.ts";
import { NarrowLinkStore } from "../../support/NarrowLinkStore.ts";
import { createJobId, createStep } from "../../support/poolFixtures.ts";
import { RefusedWritesStore } from "../../support/RefusedWritesStore.ts";
import { PoolSimulation } from "./PoolSimulation.ts";
import type { SimulatedEntry } from "./simulatedPool.ts";

/** Time after which a scheduler gives a pool up if all its writes fail, in milliseconds. */
const FAILING_WRITES_MS = 4_000;
/** Time after which a scheduler gives a pool up if accepted jobs do not arrive, in milliseconds. */
const INTAKE_BEHIND_MS = 3_000;
/** Time after which a scheduler gives a pool up if no agent responds, in milliseconds. */
const SILENT_AGENTS_MS = 5_000;
/**
 * Time within which another entry schedules after a resignation whose lease cannot be revoked, in
 * milliseconds: the lease of 2 s, the interval of the checks and the claim.
 */
const SUCCESSION_MS = 4_000;
/** Time within which all tasks run again after a takeover, whatever has to expire, in milliseconds. */
const RECOVERY_MS = 15_000;
const TASK_COUNT = 6;

interface Fixture {
  readonly simulation: PoolSimulation;
  readonly leader: SimulatedEntry;
  readonly leaderStore: RefusedWritesStore;
  readonly successor: SimulatedEntry;
}

/** Submits a job of long-running tasks to an entry. */
async function submitJob(
  { simulation }: Pick<Fixture, "simulation">,
  entry: SimulatedEntry,
  number: number,
): Promise<void> {
  const steps = [createStep({ taskCount: TASK_COUNT, longRunning: true })];
  const definition = { payload: "", steps, schedule: undefined };
  await simulation.submit(entry, createJobId(number), definition, undefined);
}

/** Creates a pool with a job of long-running tasks, its scheduler and a second entry. */
async function createPool(): Promise<Fixture> {
  const simulation = new PoolSimulation();
  const { clock, storeModel } = simulation;
  const leaderStore = new RefusedWritesStore(clock, storeModel);
  const leader = simulation.addEntry("leader", leaderStore);
  const names = Array.from({ length: 4 }, (_, position) => `agent-${position}`);
  await Promise.all(names.map((name) => simulation.addAgent(name)));
  await clock.advance(2_000);
  const successor = simulation.addEntry("successor");
  const fixture = { simulation, leader, leaderStore, successor };
  await submitJob(fixture, successor, 1);
  return fixture;
}

function isScheduler({ coordinator }: SimulatedEntry): boolean {
  return coordinator.schedulers.size > 0;
}

function countRunning({ journal }: PoolSimulation): number {
  return journal.filter(({ endedAt }) => endedAt === undefined).length;
}

// Guards against accepted jobs that never start, because the scheduler can read the store and
// renew its lease but none of its writes succeeds.
test("SchedulerWatch leaves the pool to another entry when all writes fail", async (t) => {
  const fixture = await createPool();
  const { simulation, leader, leaderStore, successor } = fixture;
  t.true(isScheduler(leader));
  leaderStore.isRefusing = true;
  await submitJob(fixture, successor, 2);
  t.true(isScheduler(leader), "the scheduler resigned too early");
  await simulation.clock.advance(FAILING_WRITES_MS + SUCCESSION_MS);
  t.false(isScheduler(leader));
  t.true(isScheduler(successor), "no other entry schedules the pool");
  t.is(countRunning(simulation), 2 * TASK_COUNT);
  t.is(simulation.journal.length, 2 * TASK_COUNT, "a run was started again");
  t.deepEqual(simulation.findViolations(), []);
});

// Guards against a takeover, with its waits, for each short disturbance of the store.
test("SchedulerWatch keeps the pool when writes fail for less than the bound", async (t) => {
  const fixture = await createPool();
  const { simulation, leader, leaderStore, successor } = fixture;
  leaderStore.isRefusing = true;
  await submitJob(fixture, successor, 2);
  leaderStore.isRefusing = false;
  await simulation.clock.advance(FAILING_WRITES_MS + SUCCESSION_MS);
  t.true(isScheduler(leader));
  t.is(countRunning(simulation), 2 * TASK_COUNT);
});

// Guards against tasks that end with their workers' leases and never run again, because the
// scheduler reaches the store but no agent.
test("SchedulerWatch leaves the pool to another entry when no agent answers", async (t) => {
  const { simulation, leader, successor } = await createPool();
  t.is(countRunning(simulation), TASK_COUNT);
  leader.isDisconnected = true;
  await simulation.clock.advance(SILENT_AGENTS_MS + SUCCESSION_MS);
  t.false(isScheduler(leader));
  t.true(isScheduler(successor), "no other entry schedules the pool");
  await simulation.clock.advance(RECOVERY_MS);
  t.is(countRunning(simulation), TASK_COUNT);
  t.deepEqual(simulation.findViolations(), []);
});

// Guards against a takeover, with its waits, as long as some agents are down.
test("SchedulerWatch keeps the pool while one of the agents answers", async (t) => {
  const { simulation, leader } = await createPool();
  simulation.agents.slice(1).forEach((agent) => {
    agent.isDisconnected = true;
  });
  await simulation.clock.advance(RECOVERY_MS);
  t.true(isScheduler(leader));
  t.false(simulation.log.lines.some(({ sentence }) => sentence.includes("gives up a pool")));
});

// Guards against an election after each bound in a pool to which no agent has been added yet.
test("SchedulerWatch keeps a pool without agents", async (t) => {
  const simulation = new PoolSimulation();
  const entry = simulation.addEntry("entry-0");
  await simulation.clock.advance(RECOVERY_MS);
  t.true(isScheduler(entry));
  t.false(simulation.log.lines.some(({ sentence }) => sentence.includes("gives up a pool")));
});

// Guards against accepted jobs that never start and cancelled ones that go on, because the changes
// of the jobs do not reach the scheduler while it renews its lease.
test("SchedulerWatch leaves the pool to another entry when accepted jobs do not arrive", async (t) => {
  const simulation = new PoolSimulation();
  const { clock, storeModel } = simulation;
  const leaderStore = new NarrowLinkStore(clock, storeModel, Number.POSITIVE_INFINITY);
  const leader = simulation.addEntry("leader", leaderStore);
  await Promise.all(["agent-0", "agent-1"].map((name) => simulation.addAgent(name)));
  await clock.advance(2_000);
  const successor = simulation.addEntry("successor");
  const fixture = { simulation, leader, successor };
  t.true(isScheduler(leader));
  leaderStore.silentPrefixes = [INTAKE_PREFIX];
  leaderStore.failWatches();
  await submitJob(fixture, successor, 1);
  await clock.advance(INTAKE_BEHIND_MS + SUCCESSION_MS);
  t.false(isScheduler(leader));
  t.true(isScheduler(successor), "no other entry schedules the pool");
  t.is(countRunning(simulation), TASK_COUNT);
  t.deepEqual(simulation.findViolations(), []);
});
