/**
 * Creates a simulated pool that runs long-running tasks.
 */
import type { PoolTimings } from "../../../src/coordination/pool/PoolTimings.ts";
import { createJobId, createStep } from "../../support/poolFixtures.ts";
import { PoolSimulation } from "./PoolSimulation.ts";

const AGENT_COUNT = 8;
/** Time in which the entry becomes the scheduler and all agents report, in milliseconds. */
const START_MS = 3_000;

/**
 * Creates a pool with one entry, "entry-0", and long-running jobs.
 * @param jobCount - Number of jobs.
 * @param tasksPerJob - Number of tasks of each job.
 * @param timings - Timings that differ from the defaults.
 */
export async function createBusyPool(
  jobCount: number,
  tasksPerJob: number,
  timings: Partial<PoolTimings> = {},
): Promise<PoolSimulation> {
  const simulation = new PoolSimulation(1, timings);
  const entry = simulation.addEntry("entry-0");
  const names = Array.from({ length: AGENT_COUNT }, (_, position) => `agent-${position}`);
  await Promise.all(names.map((name) => simulation.addAgent(name)));
  await simulation.clock.advance(START_MS);
  const steps = [createStep({ taskCount: tasksPerJob, longRunning: true })];
  const definition = { payload: "", steps, schedule: undefined };
  const numbers = Array.from({ length: jobCount }, (_, position) => position + 1);
  await numbers.reduce<Promise<unknown>>(
    (before, number) =>
      before.then(() => simulation.submit(entry, createJobId(number), definition, undefined)),
    Promise.resolve(),
  );
  return simulation;
}
