/**
 * Tests of the scheduling of a pool in virtual time: what is accepted is done once, whatever dies,
 * is cut off, or comes late.
 */
import test from "ava";
import type { PoolTimings } from "../../../src/coordination/pool/PoolTimings.ts";
import type { JobDefinition } from "../../../src/protocol/pool/JobDefinition.ts";
import { createStep } from "../../support/poolFixtures.ts";
import { PoolSimulation, QUEUE, type SimulatedEntry } from "./PoolSimulation.ts";

function createId(number: number): string {
  return number.toString(16).padStart(16, "0");
}

function createJob(taskCount: number, isLongRunning = false): JobDefinition {
  const step = createStep({ taskCount, longRunning: isLongRunning, estimateMs: 500 });
  const steps = isLongRunning ? [step] : [step, createStep({ after: [0], estimateMs: 500 })];
  return { payload: "payload", steps, schedule: undefined };
}

async function createSimulation(
  entryCount = 2,
  agentCount = 3,
  terms: Partial<PoolTimings> = {},
): Promise<PoolSimulation> {
  const simulation = new PoolSimulation(1, terms);
  Array.from({ length: entryCount }, (_, position) => simulation.addEntry(`entry-${position}`));
  await Promise.all(
    Array.from({ length: agentCount }, (_, position) => simulation.addAgent(`agent-${position}`)),
  );
  await simulation.clock.advance(3_000);
  return simulation;
}

function getLeader(simulation: PoolSimulation): SimulatedEntry {
  const leader = simulation.entries.find(
    (entry) => !entry.isStopped && entry.coordinator.schedulers.size > 0,
  );
  if (leader === undefined) {
    throw new Error("no entry schedules the pool");
  }
  return leader;
}

function getNonLeader(simulation: PoolSimulation): SimulatedEntry {
  const leader = getLeader(simulation);
  return simulation.entries.find((entry) => entry !== leader && !entry.isStopped) ?? leader;
}

async function getPhase(entry: SimulatedEntry, id: string): Promise<string> {
  const found = await entry.submissions.getPhase(QUEUE, id);
  return found.kind === "found" ? found.phase : found.kind;
}

test("PoolScheduler runs the steps of a job in their order, accepted at any entry", async (t) => {
  const world = await createSimulation();
  const outcome = await world.submit(getNonLeader(world), createId(1), createJob(3), 500);
  t.deepEqual(outcome, { kind: "stored", known: false });
  await world.clock.advance(2_000);
  t.is(await getPhase(getLeader(world), createId(1)), "completed");
  t.is(await getPhase(getNonLeader(world), createId(1)), "completed");
  const first = world.journal.filter(({ task }) => task.includes(".0.0."));
  const second = world.journal.filter(({ task }) => task.includes(".0.1."));
  t.is(first.length, 3);
  t.is(second.length, 1);
  const lastEnd = Math.max(...first.map(({ endedAt }) => endedAt ?? 0));
  t.true((second[0]?.startedAt ?? 0) >= lastEnd);
  t.deepEqual(world.findViolations(), []);
});

test("PoolScheduler takes a repeated submission for the same job", async (t) => {
  const world = await createSimulation();
  await world.submit(getLeader(world), createId(1), createJob(2), 300);
  const again = await world.submit(getNonLeader(world), createId(1), createJob(2), 300);
  t.deepEqual(again, { kind: "stored", known: true });
  await world.clock.advance(2_000);
  t.is(world.journal.length, 3);
});

test("PoolScheduler goes on within three seconds of its death, and nothing runs twice", async (t) => {
  const world = await createSimulation();
  await world.submit(getLeader(world), createId(1), createJob(4, true), undefined);
  await world.submit(getLeader(world), createId(2), createJob(8), 2_500);
  const killed = getLeader(world);
  world.killEntry(killed);
  await world.clock.advance(3_000);
  t.not(getLeader(world), killed);
  await world.submit(getLeader(world), createId(3), createJob(1), 200);
  t.is(await getPhase(getLeader(world), createId(3)), "completed");
  await world.clock.advance(15_000);
  t.is(await getPhase(getLeader(world), createId(2)), "completed");
  t.is(world.journal.filter(({ task }) => task.startsWith(createId(1))).length, 4);
  t.deepEqual(world.findViolations(), []);
});

test("PoolScheduler starts a task elsewhere only when its worker's lease has ended", async (t) => {
  const world = await createSimulation();
  await world.submit(getLeader(world), createId(1), createJob(9, true), undefined);
  const [cut] = world.agents;
  if (cut !== undefined) {
    cut.isDisconnected = true;
  }
  await world.clock.advance(12_000);
  t.deepEqual(world.findViolations(), []);
  const running = world.journal.filter(({ endedAt }) => endedAt === undefined);
  t.is(running.length, 8);
  t.true(running.every(({ worker }) => !worker.startsWith("agent-0")));
});

test("PoolScheduler does not begin a run beside one that is carried out late", async (t) => {
  const world = await createSimulation(1, 2);
  world.agents.forEach(({ worker }) => {
    worker.faults.lateOrders = 3;
  });
  await world.submit(getLeader(world), createId(1), createJob(2), 1_000);
  await world.clock.advance(15_000);
  t.is(await getPhase(getLeader(world), createId(1)), "completed");
  t.deepEqual(world.findViolations(), []);
});

test("PoolScheduler takes up what ran when its agents restart or its workers crash", async (t) => {
  const world = await createSimulation();
  await world.submit(getLeader(world), createId(1), createJob(6), 4_000);
  const [first, second] = world.agents;
  if (first === undefined || second === undefined) {
    t.fail();
    return;
  }
  await world.restartAgent(first);
  await world.crashWorker(second);
  await world.clock.advance(15_000);
  t.is(await getPhase(getLeader(world), createId(1)), "completed");
  t.deepEqual(world.findViolations(), []);
});

test("PoolScheduler stops what is cancelled, also where a cancelled run is only found later", async (t) => {
  const world = await createSimulation();
  await world.submit(getLeader(world), createId(1), createJob(6, true), undefined);
  const [cut] = world.agents;
  if (cut !== undefined) {
    cut.isDisconnected = true;
  }
  world.killEntry(getLeader(world));
  await world.clock.advance(2_500);
  const cancelled = getLeader(world).submissions.cancel(
    QUEUE,
    createId(1),
    world.clock.now() + 2_000,
  );
  await world.clock.advance(500);
  t.is((await cancelled).kind, "stored");
  if (cut !== undefined) {
    cut.isDisconnected = false;
  }
  await world.clock.advance(3_500);
  t.is(world.journal.filter(({ endedAt }) => endedAt === undefined).length, 0);
  t.is(await getPhase(getLeader(world), createId(1)), "cancelled");
});

test("PoolScheduler fails a job whose task fails as often as its queue allows", async (t) => {
  const world = await createSimulation();
  world.agents.forEach(({ worker }) => {
    worker.faults.failsAll = true;
  });
  await world.submit(getLeader(world), createId(1), createJob(1), 100);
  await world.clock.advance(2_000);
  t.is(await getPhase(getLeader(world), createId(1)), "failed");
  t.is(world.journal.length, 3);
});

test("PoolScheduler moves long-running tasks off a worker that leaves", async (t) => {
  const world = await createSimulation(1, 3);
  await world.submit(getLeader(world), createId(1), createJob(4, true), undefined);
  world.agents.forEach(({ worker }, position) => {
    if (position === 0) {
      worker.drain();
    }
  });
  await world.clock.advance(4_000);
  const running = world.journal.filter(({ endedAt }) => endedAt === undefined);
  t.is(running.length, 4);
  t.true(running.every(({ worker }) => !worker.startsWith("agent-0")));
  t.deepEqual(world.findViolations(), []);
});

test("PoolScheduler goes on where answers of the store are lost", async (t) => {
  const world = await createSimulation();
  world.entries.forEach(({ store }) => {
    store.faults.lostAnswers = 5;
  });
  const outcome = await world.submit(getLeader(world), createId(1), createJob(4), 300);
  t.is(outcome.kind, "stored");
  await world.clock.advance(5_000);
  t.is(await getPhase(getLeader(world), createId(1)), "completed");
  t.deepEqual(world.findViolations(), []);
});

test("PoolScheduler refuses at once while the store is away, and goes on after it", async (t) => {
  const world = await createSimulation();
  await world.submit(getLeader(world), createId(1), createJob(4, true), undefined);
  world.entries.forEach(({ store }) => {
    store.startOutage();
  });
  const before = world.clock.now();
  const refused = await getLeader(world).submissions.submit(
    QUEUE,
    createId(2),
    createJob(1),
    before + 2_000,
  );
  t.is(refused.kind, "refused");
  t.is(world.clock.now(), before);
  await world.clock.advance(6_000);
  world.entries.forEach(({ store }) => {
    store.endOutage();
  });
  await world.clock.advance(4_000);
  await world.submit(getLeader(world), createId(3), createJob(1), 300);
  await world.clock.advance(2_000);
  t.is(await getPhase(getLeader(world), createId(3)), "completed");
  t.is(world.journal.filter(({ task }) => task.startsWith(createId(1))).length, 4);
  t.deepEqual(world.findViolations(), []);
});

test("PoolScheduler removes a job some time after its end, and all entries forget it", async (t) => {
  const world = await createSimulation(2, 3, { retentionMs: 30_000 });
  await world.submit(getLeader(world), createId(1), createJob(2), 300);
  await world.submit(getLeader(world), createId(2), createJob(2, true), undefined);
  await world.clock.advance(20_000);
  t.is(await getPhase(getNonLeader(world), createId(1)), "completed");
  await world.clock.advance(40_000);
  t.is(await getPhase(getNonLeader(world), createId(1)), "not-found");
  t.is(await getPhase(getLeader(world), createId(1)), "not-found");
  t.is(await getPhase(getLeader(world), createId(2)), "running");
});
