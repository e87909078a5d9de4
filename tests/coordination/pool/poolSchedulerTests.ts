/**
 * Tests of the scheduling of a pool in virtual time: what is accepted is done once, despite
 * crashes, broken connections and delayed messages.
 */
import test from "ava";
import type { PoolTimings } from "../../../src/coordination/pool/PoolTimings.ts";
import type { JobDefinition } from "../../../src/protocol/pool/JobDefinition.ts";
import { createJobId, createStep } from "../../support/poolFixtures.ts";
import { PoolSimulation } from "./PoolSimulation.ts";
import { QUEUE, type SimulatedEntry } from "./simulatedPool.ts";

function createJob(taskCount: number, isLongRunning = false): JobDefinition {
  const step = createStep({ taskCount, longRunning: isLongRunning, estimateMs: 500 });
  const steps = isLongRunning ? [step] : [step, createStep({ after: [0], estimateMs: 500 })];
  return { payload: "payload", steps, schedule: undefined };
}

async function createSimulation(
  entryCount = 2,
  agentCount = 3,
  timings: Partial<PoolTimings> = {},
): Promise<PoolSimulation> {
  const simulation = new PoolSimulation(1, timings);
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
    throw new Error("no entry is scheduler of the pool");
  }
  return leader;
}

function getNonLeader(simulation: PoolSimulation): SimulatedEntry {
  const leader = getLeader(simulation);
  return simulation.entries.find((entry) => entry !== leader && !entry.isStopped) ?? leader;
}

async function getPhase(entry: SimulatedEntry, id: string): Promise<string> {
  const found = await entry.submissions.getPhase(QUEUE, id, Number.POSITIVE_INFINITY);
  return found.kind === "found" ? found.phase : found.kind;
}

test("PoolScheduler runs the steps of a job in order, whichever entry accepted it", async (t) => {
  const simulation = await createSimulation();
  const outcome = await simulation.submit(
    getNonLeader(simulation),
    createJobId(1),
    createJob(3),
    500,
  );
  t.deepEqual(outcome, { kind: "stored", known: false });
  await simulation.clock.advance(2_000);
  t.is(await getPhase(getLeader(simulation), createJobId(1)), "completed");
  t.is(await getPhase(getNonLeader(simulation), createJobId(1)), "completed");
  const first = simulation.journal.filter(({ task }) => task.includes(".0.0."));
  const second = simulation.journal.filter(({ task }) => task.includes(".0.1."));
  t.is(first.length, 3);
  t.is(second.length, 1);
  const lastEnd = Math.max(...first.map(({ endedAt }) => endedAt ?? 0));
  t.true((second[0]?.startedAt ?? 0) >= lastEnd);
  t.deepEqual(simulation.findViolations(), []);
});

test("PoolScheduler treats a repeated submission as the same job", async (t) => {
  const simulation = await createSimulation();
  await simulation.submit(getLeader(simulation), createJobId(1), createJob(2), 300);
  const again = await simulation.submit(
    getNonLeader(simulation),
    createJobId(1),
    createJob(2),
    300,
  );
  t.deepEqual(again, { kind: "stored", known: true });
  await simulation.clock.advance(2_000);
  t.is(simulation.journal.length, 3);
});

test("PoolScheduler is replaced within three seconds of a crash, and no task runs twice", async (t) => {
  const simulation = await createSimulation();
  await simulation.submit(getLeader(simulation), createJobId(1), createJob(4, true), undefined);
  await simulation.submit(getLeader(simulation), createJobId(2), createJob(8), 2_500);
  const crashed = getLeader(simulation);
  simulation.killEntry(crashed);
  await simulation.clock.advance(3_000);
  t.not(getLeader(simulation), crashed);
  await simulation.submit(getLeader(simulation), createJobId(3), createJob(1), 200);
  t.is(await getPhase(getLeader(simulation), createJobId(3)), "completed");
  await simulation.clock.advance(15_000);
  t.is(await getPhase(getLeader(simulation), createJobId(2)), "completed");
  t.is(simulation.journal.filter(({ task }) => task.startsWith(createJobId(1))).length, 4);
  t.deepEqual(simulation.findViolations(), []);
});

test("PoolScheduler starts a task elsewhere only after its worker's lease has expired", async (t) => {
  const simulation = await createSimulation();
  await simulation.submit(getLeader(simulation), createJobId(1), createJob(9, true), undefined);
  const [disconnected] = simulation.agents;
  if (disconnected !== undefined) {
    disconnected.isDisconnected = true;
  }
  await simulation.clock.advance(12_000);
  t.deepEqual(simulation.findViolations(), []);
  const running = simulation.journal.filter(({ endedAt }) => endedAt === undefined);
  t.is(running.length, 8);
  t.true(running.every(({ worker }) => !worker.startsWith("agent-0")));
});

test("PoolScheduler does not start a second run while a delayed order may still start the first", async (t) => {
  const simulation = await createSimulation(1, 2);
  simulation.agents.forEach(({ worker }) => {
    worker.faults.lateOrders = 3;
  });
  await simulation.submit(getLeader(simulation), createJobId(1), createJob(2), 1_000);
  await simulation.clock.advance(15_000);
  t.is(await getPhase(getLeader(simulation), createJobId(1)), "completed");
  t.deepEqual(simulation.findViolations(), []);
});

test("PoolScheduler completes a job although agents restart and workers crash", async (t) => {
  const simulation = await createSimulation();
  await simulation.submit(getLeader(simulation), createJobId(1), createJob(6), 4_000);
  const [first, second] = simulation.agents;
  if (first === undefined || second === undefined) {
    t.fail();
    return;
  }
  await simulation.restartAgent(first);
  await simulation.crashWorker(second);
  await simulation.clock.advance(15_000);
  t.is(await getPhase(getLeader(simulation), createJobId(1)), "completed");
  t.deepEqual(simulation.findViolations(), []);
});

test("PoolScheduler stops the runs of a cancelled job, also one that its agent reports later", async (t) => {
  const simulation = await createSimulation();
  await simulation.submit(getLeader(simulation), createJobId(1), createJob(6, true), undefined);
  const [disconnected] = simulation.agents;
  if (disconnected !== undefined) {
    disconnected.isDisconnected = true;
  }
  simulation.killEntry(getLeader(simulation));
  await simulation.clock.advance(2_500);
  const cancelled = getLeader(simulation).submissions.cancel(
    QUEUE,
    createJobId(1),
    simulation.clock.now() + 2_000,
  );
  await simulation.clock.advance(500);
  t.is((await cancelled).kind, "stored");
  if (disconnected !== undefined) {
    disconnected.isDisconnected = false;
  }
  await simulation.clock.advance(3_500);
  t.is(simulation.journal.filter(({ endedAt }) => endedAt === undefined).length, 0);
  t.is(await getPhase(getLeader(simulation), createJobId(1)), "cancelled");
});

test("PoolScheduler fails a job whose task fails as often as its queue allows", async (t) => {
  const simulation = await createSimulation();
  simulation.agents.forEach(({ worker }) => {
    worker.faults.failEveryRun = true;
  });
  await simulation.submit(getLeader(simulation), createJobId(1), createJob(1), 100);
  await simulation.clock.advance(2_000);
  t.is(await getPhase(getLeader(simulation), createJobId(1)), "failed");
  t.is(simulation.journal.length, 3);
});

test("PoolScheduler moves long-running tasks off a draining worker", async (t) => {
  const simulation = await createSimulation(1, 3);
  await simulation.submit(getLeader(simulation), createJobId(1), createJob(4, true), undefined);
  simulation.agents.forEach(({ worker }, position) => {
    if (position === 0) {
      worker.drain();
    }
  });
  await simulation.clock.advance(4_000);
  const running = simulation.journal.filter(({ endedAt }) => endedAt === undefined);
  t.is(running.length, 4);
  t.true(running.every(({ worker }) => !worker.startsWith("agent-0")));
  t.deepEqual(simulation.findViolations(), []);
});

test("PoolScheduler continues when responses of the store are lost", async (t) => {
  const simulation = await createSimulation();
  simulation.entries.forEach(({ store }) => {
    store.faults.lostAnswers = 5;
  });
  const outcome = await simulation.submit(getLeader(simulation), createJobId(1), createJob(4), 300);
  t.is(outcome.kind, "stored");
  await simulation.clock.advance(5_000);
  t.is(await getPhase(getLeader(simulation), createJobId(1)), "completed");
  t.deepEqual(simulation.findViolations(), []);
});

test("PoolScheduler resumes after a store outage, during which submissions are refused at once", async (t) => {
  const simulation = await createSimulation();
  await simulation.submit(getLeader(simulation), createJobId(1), createJob(4, true), undefined);
  simulation.entries.forEach(({ store }) => {
    store.startOutage();
  });
  const before = simulation.clock.now();
  const refused = await getLeader(simulation).submissions.submit(
    QUEUE,
    createJobId(2),
    createJob(1),
    before + 2_000,
  );
  t.is(refused.kind, "refused");
  t.is(simulation.clock.now(), before);
  await simulation.clock.advance(6_000);
  simulation.entries.forEach(({ store }) => {
    store.endOutage();
  });
  await simulation.clock.advance(4_000);
  await simulation.submit(getLeader(simulation), createJobId(3), createJob(1), 300);
  await simulation.clock.advance(2_000);
  t.is(await getPhase(getLeader(simulation), createJobId(3)), "completed");
  t.is(simulation.journal.filter(({ task }) => task.startsWith(createJobId(1))).length, 4);
  t.deepEqual(simulation.findViolations(), []);
});

test("PoolScheduler removes a job after its retention time, and no entry knows it any more", async (t) => {
  const simulation = await createSimulation(2, 3, { retentionMs: 30_000 });
  await simulation.submit(getLeader(simulation), createJobId(1), createJob(2), 300);
  await simulation.submit(getLeader(simulation), createJobId(2), createJob(2, true), undefined);
  await simulation.clock.advance(20_000);
  t.is(await getPhase(getNonLeader(simulation), createJobId(1)), "completed");
  await simulation.clock.advance(40_000);
  t.is(await getPhase(getNonLeader(simulation), createJobId(1)), "not-found");
  t.is(await getPhase(getLeader(simulation), createJobId(1)), "not-found");
  t.is(await getPhase(getLeader(simulation), createJobId(2)), "running");
});

// Guards against a scheduler that ends, and the next one too, because of one job of which more
// occurrences are due than any process can hold.
test("PoolScheduler runs other jobs beside one with endless occurrences that are due", async (t) => {
  const simulation = await createSimulation();
  const leader = getLeader(simulation);
  // The simulated time of day begins at 0, so that the occurrences were due long before.
  const schedule = { firstRunAtMs: -1e12, intervalMs: 0, runCount: 1e10 };
  const endless = { payload: "payload", steps: [createStep()], schedule };
  await simulation.submit(leader, createJobId(1), endless, 100);
  await simulation.submit(leader, createJobId(2), createJob(3), 500);
  await simulation.clock.advance(3_000);
  t.is(await getPhase(leader, createJobId(2)), "completed");
  t.true(simulation.journal.some(({ task }) => task.startsWith(`${createJobId(1)}.0.`)));
  t.deepEqual(simulation.findViolations(), []);
});
