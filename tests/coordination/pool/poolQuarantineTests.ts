/**
 * Tests of how long-running tasks get along with quarantined workers, in virtual time: a worker that
 * has recovered must not stay empty while accepted tasks wait.
 */
import test from "ava";
import type { JobDefinition } from "../../../src/protocol/pool/JobDefinition.ts";
import { createJobId, createStep } from "../../support/poolFixtures.ts";
import { PoolSimulation } from "./PoolSimulation.ts";
import type { SimulatedEntry } from "./simulatedPool.ts";

/** Time within which a long-running task runs if there is room for it, in milliseconds. */
const RESTART_TARGET_MS = 6_000;
/** Quarantine of a worker after its first failures, in milliseconds. */
const QUARANTINE_MS = 10_000;
/** Long-running tasks that two workers hold, but one does not. */
const TASK_COUNT = 6;

/** Failures after which a worker is quarantined at the earliest. */
const MIN_FAILURES = 4;

interface QuarantinedPool {
  readonly simulation: PoolSimulation;
  readonly entry: SimulatedEntry;
}

function createJob(taskCount: number, longRunning: boolean): JobDefinition {
  return {
    payload: "",
    steps: [createStep({ taskCount, longRunning, estimateMs: 200 })],
    schedule: undefined,
  };
}

/** Creates a pool of two workers, one of which has failed all runs and was quarantined. */
async function createQuarantinedPool(): Promise<QuarantinedPool> {
  const simulation = new PoolSimulation();
  const entry = simulation.addEntry("entry-0");
  const failing = await simulation.addAgent("agent-0");
  await simulation.addAgent("agent-1");
  // Quarantine is limited to a share of the fleet; the others are too small for any task.
  await ["agent-2", "agent-3"].reduce<Promise<unknown>>(
    (before, name) => before.then(() => simulation.addAgent(name, 100)),
    Promise.resolve(),
  );
  await simulation.clock.advance(3_000);
  // Jobs of the kind succeed elsewhere, so the failures are attributed to the worker.
  await simulation.submit(entry, createJobId(1), createJob(24, false), 200);
  failing.worker.faults.failEveryRun = true;
  await simulation.submit(entry, createJobId(2), createJob(8, false), 200);
  failing.worker.faults.failEveryRun = false;
  return { simulation, entry };
}

function countFailures({ journal }: PoolSimulation): number {
  return journal.filter(({ outcome }) => outcome === "failed").length;
}

function countLongRunning({ journal }: PoolSimulation): number {
  return journal.filter(({ endedAt }) => endedAt === undefined).length;
}

// Guards against long-running tasks that wait for a minute although a recovered worker has room: a
// long-running probe has no end that would open the worker again.
test("WorkerQuarantine opens a worker on which a long-running probe is at work", async (t) => {
  const { simulation, entry } = await createQuarantinedPool();
  t.true(countFailures(simulation) >= MIN_FAILURES, "the worker was not quarantined");
  await simulation.clock.advance(QUARANTINE_MS);
  await simulation.submit(entry, createJobId(3), createJob(TASK_COUNT, true), undefined);
  await simulation.clock.advance(RESTART_TARGET_MS - 3_000);
  t.is(countLongRunning(simulation), TASK_COUNT);
});
// Guards against long-running tasks that wait for the end of a quarantine although only the
// quarantined worker has room.
test("WorkerQuarantine admits long-running tasks that no other worker has room for", async (t) => {
  const { simulation, entry } = await createQuarantinedPool();
  t.true(countFailures(simulation) >= MIN_FAILURES, "the worker was not quarantined");
  await simulation.submit(entry, createJobId(3), createJob(TASK_COUNT, true), undefined);
  await simulation.clock.advance(RESTART_TARGET_MS - 3_000);
  t.is(countLongRunning(simulation), TASK_COUNT);
});
