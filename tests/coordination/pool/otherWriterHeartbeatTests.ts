/**
 * Heartbeats at the address of an agent that do not come from its worker, over a network with delays
 * in virtual time.
 */
import test from "ava";
import type { WorkerAnnouncement } from "../../../src/protocol/platform/PoolWorker.ts";
import { createJobId, createStep } from "../../support/poolFixtures.ts";
import { DelayedPoolSimulation } from "./DelayedPoolSimulation.ts";
import { QUEUE } from "./simulatedPool.ts";

/** Seed of the network, whose delays are all the same here. */
const SEED = 1;
const STEADY_MS = 2_000;
const BEGUN_MS = 500;
const WORK_MS = 6_000;
const WATCH_MS = 4_000;

/** Plays a heartbeat while a job runs on the only worker and another worker is free. */
async function findViolations(
  getHeartbeat: (last: WorkerAnnouncement) => Partial<WorkerAnnouncement>,
): Promise<readonly string[]> {
  const simulation = new DelayedPoolSimulation(SEED);
  const { clock } = simulation;
  const entry = simulation.addEntry("entry-0");
  const agent = await simulation.addAgent("agent-0");
  await clock.advance(STEADY_MS);
  const step = createStep({ taskCount: 4, estimateMs: WORK_MS });
  const definition = { payload: "", steps: [step], schedule: undefined };
  simulation.setRequirements(createJobId(1), definition, WORK_MS);
  void entry.submissions.submit(QUEUE, createJobId(1), definition, clock.now() + STEADY_MS);
  await clock.advance(BEGUN_MS);
  await simulation.addAgent("agent-1");
  await clock.advance(BEGUN_MS);
  const last = agent.worker.announce();
  simulation.sendHeartbeat(agent, { ...last, ...getHeartbeat(last) });
  await clock.advance(WATCH_MS);
  if (simulation.journal.length === 0) {
    throw new Error("no run was started");
  }
  return simulation.findViolations();
}

// Guards against: the heartbeat of another writer with a later start time replaces a sound worker, and
// all of its runs count as lost at once.
test("PoolScheduler starts no run twice after a heartbeat of another writer with a later start time", async (t) => {
  t.log(`seed ${SEED}`);
  const violations = await findViolations(({ startedAtMs }) => {
    return { id: "i-other", pool: "pool-b", startedAtMs: startedAtMs + 1, sequence: 1 };
  });
  t.deepEqual(violations, []);
});

// Guards against: numbers of heartbeats of different workers are compared if their start times are
// equal, so that another writer replaces a sound worker.
test("PoolScheduler starts no run twice after a heartbeat of another writer with the same start time", async (t) => {
  t.log(`seed ${SEED}`);
  const violations = await findViolations(({ sequence }) => {
    return { id: "i-other", sequence: sequence + 1 };
  });
  t.deepEqual(violations, []);
});

// Guards against: a replacement that announces itself while the worker before it drains and works on
// lets all runs there count as lost at once.
test("PoolScheduler starts no run twice when a replacement announces itself while its predecessor drains", async (t) => {
  t.log(`seed ${SEED}`);
  const violations = await findViolations(({ startedAtMs }) => {
    return { id: "i-next", startedAtMs: startedAtMs + STEADY_MS, sequence: 1 };
  });
  t.deepEqual(violations, []);
});

// Guards against: another writer with an earlier start time is taken for the worker.
test("PoolScheduler starts no run twice after a heartbeat of another writer with an earlier start time", async (t) => {
  t.log(`seed ${SEED}`);
  const violations = await findViolations(({ startedAtMs, sequence }) => {
    return { id: "i-other", startedAtMs: startedAtMs - 1, sequence: sequence + 1_000 };
  });
  t.deepEqual(violations, []);
});
