/**
 * Tests of the age of the last reading of a worker's clock that its agent reports, in virtual time.
 */
import test from "ava";
import type { WorkerReport } from "../../../src/coordination/pool/AgentChannel.ts";
import type { SimulatedAgent } from "./PoolSimulation.ts";
import { PoolSimulation } from "./PoolSimulation.ts";

const SILENCE_MS = 4_000;
/** Longer than the time between two readings, in milliseconds. */
const READING_MS = 1_500;

async function observe(agent: SimulatedAgent, epoch: number): Promise<WorkerReport | undefined> {
  const call = { epoch, worker: "", leaseUntilMs: undefined, ackedEnd: 0, knownVersion: 0 };
  const outcome = await agent.workerAgent.observe({ ...call, waitMs: 0 });
  return outcome.kind === "answered" ? outcome.value.worker : undefined;
}

/** Creates an agent that has followed a scheduler for some time. */
async function createAgent(): Promise<{ simulation: PoolSimulation; agent: SimulatedAgent }> {
  const simulation = new PoolSimulation();
  const agent = await simulation.addAgent("agent-0");
  await observe(agent, 1);
  await simulation.clock.advance(READING_MS);
  return { simulation, agent };
}

test("PoolWorkerAgent reports the age of the last reading to a scheduler of a later epoch", async (t) => {
  const { simulation, agent } = await createAgent();
  t.true(((await observe(agent, 1))?.readingAgeMs ?? SILENCE_MS) < READING_MS);
  agent.worker.faults.isUnresponsive = true;
  await simulation.clock.advance(SILENCE_MS);
  const ageMs = (await observe(agent, 2))?.readingAgeMs ?? 0;
  t.true(ageMs > SILENCE_MS - READING_MS && ageMs < SILENCE_MS + READING_MS, `${ageMs} ms`);
});

test("PoolWorkerAgent reports no age before the first reading of its process", async (t) => {
  const { simulation, agent } = await createAgent();
  agent.worker.faults.isUnresponsive = true;
  await simulation.restartAgent(agent);
  agent.workerAgent.handleAnnouncement(agent.worker.announce());
  await simulation.clock.advance(SILENCE_MS);
  t.is((await observe(agent, 2))?.readingAgeMs, 0);
});

test("PoolWorkerAgent reports no age before the first reading of a new incarnation", async (t) => {
  const { simulation, agent } = await createAgent();
  agent.worker.faults.isUnresponsive = true;
  await simulation.clock.advance(SILENCE_MS);
  const announced = agent.worker.announce();
  const startedAtMs = announced.startedAtMs + 1;
  agent.workerAgent.handleAnnouncement({ ...announced, startedAtMs });
  t.is((await observe(agent, 2))?.readingAgeMs, 0);
});
