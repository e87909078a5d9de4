/**
 * Tests of start orders that a worker carries out late, after it has refused or missed repetitions
 * of them, in virtual time.
 */
import test from "ava";
import { createJobId, createStep } from "../../support/poolFixtures.ts";
import { PoolSimulation } from "./PoolSimulation.ts";
import { QUEUE, type SimulatedAgent } from "./simulatedPool.ts";

const TASK_COUNT = 3;
const WORK_MS = 1_200;
/** Times after which orders are carried out, in milliseconds; they carry a lease of 10 s. */
const DELAYS_MS = [1_500, 2_500, 4_000, 6_000, 8_000];
const TIMINGS = { workerLeaseMs: 10_000, grantHorizonMs: 10_000 };
/** Time in which the first order, and its repetition by the agent, have no response. */
const FIRST_ORDER_MS = 250;
/** Time in which the scheduler repeats an order that has no result, in milliseconds. */
const REPEATED_MS = 900;
/** Time in which the agent notices that the worker does not respond, and refuses a repeated order. */
const SILENCE_MS = 2_000;
/** Longer than the delay of any order and the work after it, in milliseconds. */
const RECOVERY_MS = 20_000;

/** Lets the worker not respond for some time, so that its agent refuses starts for it. */
async function silence({ worker }: SimulatedAgent, { clock }: PoolSimulation): Promise<void> {
  worker.faults.isUnresponsive = true;
  await clock.advance(SILENCE_MS);
  worker.faults.isUnresponsive = false;
}

/** Lets the worker refuse further starts, since it drains. */
async function drain(agent: SimulatedAgent, { clock }: PoolSimulation): Promise<void> {
  agent.worker.drain();
  agent.workerAgent.handleAnnouncement(agent.worker.announce());
  await clock.advance(REPEATED_MS);
}

/** Starts a job whose first orders to one worker have no response and are carried out late. */
async function playLateStart(
  delayMs: number,
  refuse: (agent: SimulatedAgent, simulation: PoolSimulation) => Promise<void>,
): Promise<{ readonly simulation: PoolSimulation; readonly phase: string }> {
  const simulation = new PoolSimulation(1, TIMINGS);
  const { clock } = simulation;
  const entry = simulation.addEntry("entry-0");
  const slow = await simulation.addAgent("agent-0", TASK_COUNT * 1_000);
  await clock.advance(3_000);
  Object.assign(slow.worker.faults, { lateOrders: 2 * TASK_COUNT, lateMs: delayMs });
  const step = createStep({ taskCount: TASK_COUNT, estimateMs: WORK_MS });
  const job = { payload: "", steps: [step], schedule: undefined };
  simulation.setRequirements(createJobId(1), job, WORK_MS);
  const deadline = clock.now() + 2_500;
  const submitted = entry.submissions.submit(QUEUE, createJobId(1), job, deadline);
  await clock.advance(FIRST_ORDER_MS);
  await submitted;
  await Promise.all([simulation.addAgent("agent-1"), simulation.addAgent("agent-2")]);
  await refuse(slow, simulation);
  await clock.advance(RECOVERY_MS);
  const found = await entry.submissions.getPhase(QUEUE, createJobId(1), clock.now() + 1_000);
  return { simulation, phase: found.kind === "found" ? found.phase : found.kind };
}

DELAYS_MS.forEach((delayMs) => {
  // Guards against tasks that run twice: an agent refused the repeated order, as its worker did not
  // respond, and the run counted as lost although the first order was carried out later.
  test(`PoolScheduler runs no task twice if an order refused for a silent worker is carried out after ${delayMs} ms`, async (t) => {
    const { simulation, phase } = await playLateStart(delayMs, silence);
    t.deepEqual(simulation.findViolations(), []);
    t.is(phase, "completed");
  });

  // Guards against the same if the repeated order is refused since the worker drains.
  test(`PoolScheduler runs no task twice if an order refused for a draining worker is carried out after ${delayMs} ms`, async (t) => {
    const { simulation, phase } = await playLateStart(delayMs, drain);
    t.deepEqual(simulation.findViolations(), []);
    t.is(phase, "completed");
  });
});
