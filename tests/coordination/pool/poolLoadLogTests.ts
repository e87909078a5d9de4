/**
 * Tests of the log lines on the load of a pool.
 */
import test from "ava";
import type { JobDefinition } from "../../../src/protocol/pool/JobDefinition.ts";
import { createJobId, createStep } from "../../support/poolFixtures.ts";
import { PoolSimulation } from "./PoolSimulation.ts";

// Guards against a job that waits without a line that says who holds the room.
test("PoolLoadLog says what waits, for how long, and what the runs hold", async (t) => {
  const simulation = new PoolSimulation();
  const entry = simulation.addEntry("entry-0");
  await simulation.addAgent("agent-0", 4_000);
  await simulation.clock.advance(3_000);
  const services = createStep({ taskCount: 3, longRunning: true });
  const idle = createStep({ usesIdleProcessors: true });
  await simulation.submit(entry, createJobId(1), toJob([services, idle]), undefined);
  const large = createStep({ resources: { ...services.resources, processorsMilli: 2_000 } });
  await simulation.submit(entry, createJobId(2), toJob([large]), 1_000);
  await simulation.clock.advance(6_000);
  const lines = simulation.log.lines.filter(({ sentence }) => sentence === "Load of a queue.");
  const { queuedForMs, ...load } = lines.at(-1)?.fields ?? {};
  t.deepEqual(load, {
    ...{ pool: "pool-a", workers: 1, capacityMilli: 4_000 },
    ...{ queue: "queue-a", priority: 0, jobs: 2, waitingTasks: 1, waitingMilli: 2_000 },
    ...{ runs: 4, committedMilli: 3_000, idleMilli: 1_000 },
  });
  t.true(Number(queuedForMs) >= 1_000);
});

function toJob(steps: JobDefinition["steps"]): JobDefinition {
  return { payload: "", steps, schedule: undefined };
}
