/**
 * Pools, jobs and their phases for the tests of workers that crash.
 */
import type { JobDefinition } from "../../../src/protocol/pool/JobDefinition.ts";
import { createStep } from "../../support/poolFixtures.ts";
import { SeededRandom } from "../../support/SeededRandom.ts";
import { PoolSimulation } from "./PoolSimulation.ts";
import { QUEUE, type SimulatedEntry, type SimulatedJob } from "./simulatedPool.ts";

const AGENT_COUNT = 8;
/** Time in which the entry becomes the scheduler and all agents report, in milliseconds. */
const START_MS = 3_000;
/** Longer than the remaining work and every wait for a lease, in milliseconds. */
export const RECOVERY_MS = 120_000;
/** Time that a caller waits, in milliseconds. */
const CALL_MS = 2_500;
/** Crashed workers after which the further starts of a task are limited. */
export const CRASHES_UNTIL_LIMIT = 3;

export interface Pool {
  readonly simulation: PoolSimulation;
  readonly random: SeededRandom;
  readonly entry: SimulatedEntry;
}

export async function createPool(seed: number, agentCount = AGENT_COUNT): Promise<Pool> {
  const simulation = new PoolSimulation(seed);
  const entry = simulation.addEntry("entry-0");
  const names = Array.from({ length: agentCount }, (_, position) => `agent-${position}`);
  await Promise.all(names.map((name) => simulation.addAgent(name)));
  await simulation.clock.advance(START_MS);
  return { simulation, random: new SeededRandom(seed), entry };
}

export function createJob(taskCount: number): JobDefinition {
  return { payload: "", steps: [createStep({ taskCount })], schedule: undefined };
}

export async function getPhase({ simulation, entry }: Pool, id: string): Promise<string> {
  const found = await entry.submissions.getPhase(QUEUE, id, simulation.clock.now() + CALL_MS);
  return found.kind === "found" ? found.phase : found.kind;
}

export async function getPhases(
  pool: Pool,
  jobs: readonly SimulatedJob[],
): Promise<readonly string[]> {
  return Promise.all(jobs.map(async ({ id }) => `${id} ${await getPhase(pool, id)}`));
}
