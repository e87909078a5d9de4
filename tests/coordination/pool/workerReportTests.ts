/**
 * Tests of the age of the last reading of a worker's clock that its agent reports, in virtual time.
 */
import test from "ava";
import type { WorkerReport } from "../../../src/coordination/pool/AgentChannel.ts";
import { PoolSimulation } from "./PoolSimulation.ts";
import type { SimulatedAgent } from "./simulatedPool.ts";
import { createObserveCall } from "../../support/poolFixtures.ts";

const SILENCE_MS = 4_000;
/** Longer than the time between two readings, in milliseconds. */
const READING_MS = 1_500;

async function observe(agent: SimulatedAgent, epoch: number): Promise<WorkerReport | undefined> {
  const outcome = await agent.workerAgent.observe(createObserveCall({ epoch }));
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

test("PoolWorkerAgent reports no worker before the first reading of its process", async (t) => {
  const { simulation, agent } = await createAgent();
  agent.worker.faults.isUnresponsive = true;
  await simulation.restartAgent(agent);
  agent.workerAgent.handleAnnouncement(agent.worker.announce());
  await observe(agent, 2);
  await simulation.clock.advance(SILENCE_MS);
  t.is(await observe(agent, 2), undefined);
  agent.worker.faults.isUnresponsive = false;
  await simulation.clock.advance(READING_MS);
  t.true(((await observe(agent, 2))?.readingAgeMs ?? SILENCE_MS) < READING_MS);
});

test("PoolWorkerAgent reports the age of the last reading until a new incarnation responds", async (t) => {
  const { simulation, agent } = await createAgent();
  const former = agent.worker.incarnation;
  agent.worker.faults.isUnresponsive = true;
  await simulation.clock.advance(SILENCE_MS);
  simulation.replaceWorker(agent);
  agent.worker.faults.isUnresponsive = true;
  agent.workerAgent.handleAnnouncement(agent.worker.announce());
  await simulation.clock.advance(READING_MS);
  const silent = await observe(agent, 2);
  t.is(silent?.worker, former);
  t.true((silent?.readingAgeMs ?? 0) > SILENCE_MS, `${silent?.readingAgeMs ?? 0} ms`);
  agent.worker.faults.isUnresponsive = false;
  await simulation.clock.advance(READING_MS);
  const present = await observe(agent, 2);
  t.is(present?.worker, agent.worker.incarnation);
  t.true((present?.readingAgeMs ?? SILENCE_MS) < READING_MS);
});
