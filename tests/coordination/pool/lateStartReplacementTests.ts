/**
 * Tests of start orders that are carried out late by the next incarnation of a worker, which has the
 * same id, in virtual time.
 */
import test from "ava";
import { createJobId, createStep } from "../../support/poolFixtures.ts";
import { PoolSimulation } from "./PoolSimulation.ts";
import { QUEUE, type SimulatedAgent } from "./simulatedPool.ts";

const TASK_COUNT = 3;
const WORK_MS = 4_000;
/** Work that ends before a stop takes effect, in milliseconds. */
const SHORT_WORK_MS = 100;
/** Times after which orders are carried out around the first announcement, in milliseconds. */
const SHORT_DELAYS_MS = [220, 250, 280, 300, 320, 350, 400];
/** Times after which orders are carried out, in milliseconds; they carry a lease of 10 s. */
const DELAYS_MS = [1_000, 1_500, 2_500, 4_000, 6_000, 8_000];
/** Those that end after a short run was done, and its worker replaced. */
const LONG_DELAYS_MS = [4_000, 6_000, 8_000];
/**
 * Times after which orders are carried out from the first call of the next incarnation on, in
 * milliseconds, where the run was done at the one before.
 */
const FIRST_CALL_DELAYS_MS = [10, 30, 50, 80, 110, 140].map((afterMs) => 2_860 + afterMs);
const TIMINGS = { workerLeaseMs: 10_000, grantHorizonMs: 10_000 };
/** Time in which the first order, and its repetition by the agent, have a result or none. */
const FIRST_ORDER_MS = 250;
/** Time in which the scheduler repeats an order that has no result, in milliseconds. */
const REPEATED_MS = 900;
/** Time in which a short run ends and its end is acknowledged, in milliseconds. */
const ACKED_MS = 2_500;
/** Longer than the delay of any order and the work after it, in milliseconds. */
const RECOVERY_MS = 30_000;
/** Time from the end of an incarnation to the first announcement of the next one. */
const ANNOUNCED_MS = 100;
const JOB = createJobId(1);

/** Faults of one play. */
interface LateStartFaults {
  /** Number of attempts of each order that get no response. */
  readonly lateAttempts: number;
  readonly delayMs: number;
  /** Time between the first order and the crash of the worker. */
  readonly crashAfterMs: number;
  readonly workMs: number;
  readonly replace: (agent: SimulatedAgent, simulation: PoolSimulation) => Promise<void>;
}

/** Replaces the worker; the next incarnation announces itself soon, and its agent continues. */
async function replaceWorker(agent: SimulatedAgent, simulation: PoolSimulation): Promise<void> {
  simulation.replaceWorker(agent);
  await simulation.clock.advance(ANNOUNCED_MS);
  agent.workerAgent.handleAnnouncement(agent.worker.announce());
}

/** Replaces the worker and the process of its agent. */
async function replaceWithAgent(agent: SimulatedAgent, simulation: PoolSimulation): Promise<void> {
  await simulation.crashWorker(agent);
  await simulation.clock.advance(ANNOUNCED_MS);
  agent.workerAgent.handleAnnouncement(agent.worker.announce());
}

/** Replaces the worker after it has executed stops of the runs, as it drains. */
async function replaceAfterStop(agent: SimulatedAgent, simulation: PoolSimulation): Promise<void> {
  agent.worker.drain();
  agent.workerAgent.handleAnnouncement(agent.worker.announce());
  await simulation.clock.advance(ACKED_MS);
  await replaceWorker(agent, simulation);
}

/** Replaces the worker while another entry takes over. */
async function replaceWithTakeover(
  agent: SimulatedAgent,
  simulation: PoolSimulation,
): Promise<void> {
  simulation.entries.forEach((entry) => {
    simulation.killEntry(entry);
  });
  await replaceWorker(agent, simulation);
  simulation.addEntry("entry-1");
}

/** Starts a job on a worker that crashes with orders under way. */
async function playLateStart(faults: LateStartFaults) {
  const { lateAttempts, delayMs, crashAfterMs, workMs, replace } = faults;
  const simulation = new PoolSimulation(1, TIMINGS);
  const { clock } = simulation;
  const first = simulation.addEntry("entry-0");
  const slow = await simulation.addAgent("agent-0", TASK_COUNT * 1_000);
  await clock.advance(3_000);
  Object.assign(slow.worker.faults, { lateOrders: lateAttempts * TASK_COUNT, lateMs: delayMs });
  const step = createStep({ taskCount: TASK_COUNT, estimateMs: workMs });
  const job = { payload: "", steps: [step], schedule: undefined };
  simulation.setRequirements(JOB, job, workMs);
  const submitted = first.submissions.submit(QUEUE, JOB, job, clock.now() + 2_500);
  await clock.advance(FIRST_ORDER_MS);
  await submitted;
  await Promise.all([simulation.addAgent("agent-1"), simulation.addAgent("agent-2")]);
  await clock.advance(crashAfterMs);
  await replace(slow, simulation);
  await clock.advance(RECOVERY_MS);
  const found = await simulation.entries
    .at(-1)
    ?.submissions.getPhase(QUEUE, JOB, clock.now() + 1_000);
  return { simulation, phase: found?.kind === "found" ? found.phase : found?.kind };
}

/** Plays the same faults with several delays, and lists what was broken with each. */
async function playDelays(
  faults: Omit<LateStartFaults, "delayMs">,
  delays: readonly number[],
): Promise<readonly unknown[]> {
  const plays = await Promise.all(delays.map((delayMs) => playLateStart({ ...faults, delayMs })));
  return plays.map(({ simulation, phase }, position) => [
    ...[delays[position], phase],
    ...simulation.findViolations(),
  ]);
}

[
  { title: "no attempt had a response", lateAttempts: 2, crashAfterMs: 0, replace: replaceWorker },
  {
    ...{ title: "only the agent's repetition had a response", lateAttempts: 1 },
    ...{ crashAfterMs: REPEATED_MS, replace: replaceWorker },
  },
  {
    ...{ title: "another entry took over", lateAttempts: 1 },
    ...{ crashAfterMs: REPEATED_MS, replace: replaceWithTakeover },
  },
].forEach(({ title, ...faults }) => {
  // Guards against tasks that run twice: the runs of a worker that was replaced counted as lost,
  // although the next incarnation, which has its id, could still be given their starts.
  test(`PoolScheduler runs no task twice if the next incarnation carries out starts and ${title}`, async (t) => {
    t.deepEqual(
      await playDelays({ ...faults, workMs: WORK_MS }, DELAYS_MS),
      DELAYS_MS.map((delayMs) => [delayMs, "completed"]),
    );
  });
});

// Guards against a task that starts again after it was done: the start, which had no response, reached
// the next incarnation between its first call and a stop of the run.
test("PoolWorkerAgent lets the next incarnation start nothing that was under way before its first call", async (t) => {
  const faults = { lateAttempts: 1, crashAfterMs: ACKED_MS, workMs: SHORT_WORK_MS };
  t.deepEqual(
    await playDelays({ ...faults, replace: replaceWorker }, FIRST_CALL_DELAYS_MS),
    FIRST_CALL_DELAYS_MS.map((delayMs) => [delayMs, "completed"]),
  );
});

[
  { title: "its agent continues", replace: replaceWorker },
  { title: "its agent restarted", replace: replaceWithAgent },
].forEach(({ title, replace }) => {
  // Guards against a task that starts after it was done: the scheduler forgot a run whose end was
  // recorded, although the next incarnation could still be given a start of it without a response.
  test(`PoolScheduler does not start a done task again if the next incarnation carries out its start and ${title}`, async (t) => {
    const faults = { lateAttempts: 1, crashAfterMs: ACKED_MS, workMs: SHORT_WORK_MS, replace };
    t.deepEqual(
      await playDelays(faults, LONG_DELAYS_MS),
      LONG_DELAYS_MS.map((delayMs) => [delayMs, "completed"]),
    );
  });
});

// Guards against a task that runs twice: the run counted as lost once a stop was executed, which the
// next incarnation knows nothing of.
test("PoolScheduler runs no task twice if the next incarnation carries out a start that was stopped before", async (t) => {
  const faults = { lateAttempts: 2, crashAfterMs: 0, replace: replaceAfterStop };
  t.deepEqual(
    await playDelays({ ...faults, workMs: WORK_MS }, LONG_DELAYS_MS),
    LONG_DELAYS_MS.map((delayMs) => [delayMs, "completed"]),
  );
});

// Guards against the same where the run ends at the next incarnation before it is stopped.
test("PoolScheduler runs no task twice if it is done at the next incarnation", async (t) => {
  const faults = { lateAttempts: 2, crashAfterMs: 0, replace: replaceWorker };
  t.deepEqual(
    await playDelays({ ...faults, workMs: SHORT_WORK_MS }, SHORT_DELAYS_MS),
    SHORT_DELAYS_MS.map((delayMs) => [delayMs, "completed"]),
  );
});
