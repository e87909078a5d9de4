/**
 * Tests that the orders to start runs stay within what a narrow link carries.
 */
import test from "ava";
import type { StepDefinition } from "../../../src/protocol/pool/JobDefinition.ts";
import { createStep } from "../../support/poolFixtures.ts";
import { SharedLink } from "../../support/SharedLink.ts";
import { PoolSimulation } from "./PoolSimulation.ts";

/** Speed of the narrowest link of an entry, 7 Mbit/s, in bytes a millisecond. */
const NARROW_BYTES_PER_MS = 875;
const AGENT_COUNT = 20;
const TASKS_PER_AGENT = 40;
/** Number of tasks of a gang whose orders, of 242 KB, exceed the limit. */
const GANG_SIZE = 60;
const JOB = "0000000000000001";
/** The longest payload that a job may have, in bytes. */
const PAYLOAD_BYTES = 4_000;
/**
 * Time in which all tasks must have started, in milliseconds: the link carries their orders in 3.8
 * s, and as much again is for what is sent twice.
 */
const START_ALL_MS = 8_000;

async function createSimulation(): Promise<PoolSimulation> {
  const simulation = new PoolSimulation();
  simulation.addEntry("entry-0");
  await Promise.all(
    Array.from({ length: AGENT_COUNT }, (_, position) =>
      simulation.addAgent(`agent-${position}`, TASKS_PER_AGENT * 1_000),
    ),
  );
  await simulation.clock.advance(3_000);
  return simulation;
}

/** Submits a job of one step with the longest payload; its tasks never end. */
async function submitJob(
  simulation: PoolSimulation,
  step: Partial<StepDefinition>,
): Promise<string | undefined> {
  const [entry] = simulation.entries;
  const steps = [createStep({ longRunning: true, ...step })];
  const job = { payload: "x".repeat(PAYLOAD_BYTES), steps, schedule: undefined };
  const outcome = entry && (await simulation.submit(entry, JOB, job, undefined));
  return outcome?.kind;
}

// Guards against orders that all share a narrow link and all time out, so that they are sent again
// from nothing and none of the tasks that wait ever starts.
test("limitStarts lets all tasks start whose orders do not fit a narrow link at once", async (t) => {
  const simulation = await createSimulation();
  simulation.orderLink = new SharedLink(simulation.clock, NARROW_BYTES_PER_MS);
  const taskCount = AGENT_COUNT * TASKS_PER_AGENT;
  const submittedAt = simulation.clock.now();
  t.is(await submitJob(simulation, { taskCount }), "stored");
  await simulation.clock.advance(submittedAt + START_ALL_MS - simulation.clock.now());
  const running = simulation.journal.filter(({ endedAt }) => endedAt === undefined);
  t.is(running.length, taskCount);
  t.deepEqual(simulation.findViolations(), []);
});

test("limitStarts starts a gang as a whole, also one whose orders exceed the limit", async (t) => {
  const simulation = await createSimulation();
  t.is(await submitJob(simulation, { taskCount: GANG_SIZE, gang: true }), "stored");
  const { journal } = simulation;
  t.is(journal.length, GANG_SIZE);
  t.deepEqual([...new Set(journal.map(({ run }) => run))], [1]);
  t.is(new Set(journal.map(({ startedAt }) => startedAt)).size, 1);
});

test("limitStarts leaves small starts as they are", async (t) => {
  const simulation = await createSimulation();
  const [entry] = simulation.entries;
  const taskCount = AGENT_COUNT * TASKS_PER_AGENT;
  const steps = [createStep({ taskCount, longRunning: true })];
  const job = { payload: "x".repeat(100), steps, schedule: undefined };
  await (entry && simulation.submit(entry, JOB, job, undefined));
  t.is(simulation.journal.length, taskCount);
  t.is(new Set(simulation.journal.map(({ startedAt }) => startedAt)).size, 1);
});
