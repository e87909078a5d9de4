/**
 * Tests of what an agent reports of its worker's clock, and of what it sends to a worker that may
 * have been replaced by another incarnation, in virtual time.
 */
import test from "ava";
import type { WorkerReport } from "../../../src/coordination/pool/AgentChannel.ts";
import { PoolWorkerAgent } from "../../../src/coordination/pool/PoolWorkerAgent.ts";
import { ManualClock } from "../../support/ManualClock.ts";
import { MemoryLog } from "../../support/MemoryLog.ts";
import { POOL } from "../../support/poolFixtures.ts";
import { SilentWorker } from "../../support/SilentWorker.ts";
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

const LEASE_UNTIL_MS = 6_000;

/** Creates an agent of a worker without a response, whose scheduler has granted a lease. */
async function createSilentWorker() {
  const clock = new ManualClock();
  const worker = new SilentWorker(clock);
  const agent = new PoolWorkerAgent({ worker, clock, log: new MemoryLog(), process: "p-1" });
  agent.start();
  agent.handleAnnouncement({
    ...{ id: "i-1", startedAtMs: 1, pool: POOL, zone: "zone-a", rack: "rack-1", sequence: 1 },
    ...{ draining: false, drainRemainingMs: undefined, labels: [] },
    capacity: { processorsMilli: 1_000, memoryBytes: 1_000, accelerators: 0 },
  });
  const call = { epoch: 1, worker: "i-1@1", leaseUntilMs: LEASE_UNTIL_MS, ackedEnd: 0 };
  await agent.observe({ ...call, knownVersion: 0, waitMs: 0 });
  await clock.advance(READING_MS);
  return { clock, worker, agent };
}

// Guards against tasks that run twice: the lease of a worker that has ended would be taken over by
// its next incarnation, whose clock begins anew, and nobody would know of it.
test("PoolWorkerAgent sends no lease after a call without a response until the worker responds", async (t) => {
  const { clock, worker, agent } = await createSilentWorker();
  t.is(worker.syncs.at(-1)?.leaseUntilMs, LEASE_UNTIL_MS);
  worker.isSilent = true;
  await clock.advance(READING_MS);
  t.is(worker.syncs.at(-1)?.leaseUntilMs, undefined);
  worker.isSilent = false;
  await clock.advance(READING_MS);
  t.is(worker.syncs.at(-1)?.leaseUntilMs, LEASE_UNTIL_MS);
  agent.stop();
});

// Guards against tasks that run twice: the next incarnation of a worker would carry out a start that
// was meant for the one before, whose runs count as ended.
test("PoolWorkerAgent sends no start to a worker that does not respond", async (t) => {
  const { clock, worker, agent } = await createSilentWorker();
  const start = { task: "task", run: 1, payload: "", checkpoint: "", ticket: "" };
  const call = { epoch: 1, worker: "i-1@1", leaseUntilMs: LEASE_UNTIL_MS, stops: [], paces: [] };
  worker.isSilent = true;
  const first = agent.order({ ...call, starts: [start] });
  await clock.advance(READING_MS);
  t.is(worker.starts.length, 1);
  const outcome = await first;
  t.is(outcome.kind === "answered" && outcome.value.starts[0]?.failure, "unknown");
  const second = await agent.order({ ...call, starts: [{ ...start, run: 2 }] });
  t.is(second.kind === "answered" && second.value.starts[0]?.failure, "unhealthy");
  t.is(worker.starts.length, 1);
  agent.stop();
});
