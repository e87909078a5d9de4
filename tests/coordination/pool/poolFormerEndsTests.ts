/**
 * Tests of tasks whose end an agent has read when its worker is replaced or leaves, while no
 * scheduler could record the end, in virtual time.
 */
import test from "ava";
import { createJobId, createStep } from "../../support/poolFixtures.ts";
import { PoolSimulation } from "./PoolSimulation.ts";
import type { SimulatedAgent, SimulatedEntry } from "./simulatedPool.ts";

/** Work of the task, in milliseconds; it ends after the submission has been handled. */
const WORK_MS = 3_500;
/** Time in which the task ends and its agent reads the end, in milliseconds. */
const ENDED_MS = 1_000;
/** Time in which another entry takes over and a task that waits is started, in milliseconds. */
const SETTLED_MS = 10_000;
const JOB = createJobId(1);

interface Fixture {
  readonly simulation: PoolSimulation;
  readonly entry: SimulatedEntry;
  readonly agent: SimulatedAgent;
}

/** Creates a pool of two workers, the first of which runs the only task. */
async function createFixture(): Promise<Fixture> {
  const simulation = new PoolSimulation();
  const entry = simulation.addEntry("entry-0");
  await simulation.addAgent("agent-0");
  await simulation.addAgent("agent-1");
  await simulation.clock.advance(3_000);
  const definition = { payload: "", steps: [createStep()], schedule: undefined };
  await simulation.submit(entry, JOB, definition, WORK_MS);
  const [run] = simulation.journal;
  const agent = simulation.agents.find(({ name }) => run?.worker.startsWith(`${name}@`) === true);
  if (agent === undefined) {
    throw new Error("no worker runs the task");
  }
  return { simulation, entry, agent };
}

/** Lists the outcomes of the task's runs, and the phase of its job as an entry knows it. */
function getResult({ simulation }: Fixture, entry: SimulatedEntry): readonly unknown[] {
  return [
    ...simulation.journal.map(({ outcome }) => outcome),
    entry.coordinator.catalog.getJobs("pool-a").find(({ id }) => id === JOB)?.phase,
  ];
}

// Guards against tasks that start again although their agent had read that they were done: the next
// incarnation of the worker announced itself before another entry took over.
["agent-0-next", undefined].forEach((id) => {
  const title = id === undefined ? "the same id" : "another id";
  test(`PoolScheduler records an end that was read before a takeover and a new worker with ${title}`, async (t) => {
    const fixture = await createFixture();
    const { simulation, entry, agent } = fixture;
    simulation.killEntry(entry);
    await simulation.clock.advance(ENDED_MS);
    simulation.replaceWorker(agent, id);
    const next = simulation.addEntry("entry-1");
    await simulation.clock.advance(SETTLED_MS);
    t.deepEqual(getResult(fixture, next), ["done", "completed"]);
  });
});

// Guards against the same if the scheduler only could not reach the agent.
test("PoolScheduler records an end that was read before a new worker while the agent was cut off", async (t) => {
  const fixture = await createFixture();
  const { simulation, entry, agent } = fixture;
  entry.cutAgents.add(agent.name);
  await simulation.clock.advance(ENDED_MS);
  simulation.replaceWorker(agent);
  await simulation.clock.advance(ENDED_MS);
  entry.cutAgents.clear();
  await simulation.clock.advance(SETTLED_MS);
  t.deepEqual(getResult(fixture, entry), ["done", "completed"]);
});

// Guards against the same if the worker drained and left, so that the agent has no worker that
// responds.
test("PoolScheduler records an end that was read before a takeover and the exit of the worker", async (t) => {
  const fixture = await createFixture();
  const { simulation, entry, agent } = fixture;
  agent.worker.drain();
  simulation.killEntry(entry);
  await simulation.clock.advance(ENDED_MS);
  agent.worker.faults.isUnresponsive = true;
  agent.worker.crash();
  const next = simulation.addEntry("entry-1");
  await simulation.clock.advance(SETTLED_MS);
  t.deepEqual(getResult(fixture, next), ["done", "completed"]);
});

// Guards against an end that counts twice: every scheduler gets the ends of former incarnations.
test("PoolScheduler counts a failure once that several schedulers were told of", async (t) => {
  const fixture = await createFixture();
  const { simulation, entry, agent } = fixture;
  agent.worker.faults.failEveryRun = true;
  simulation.killEntry(entry);
  await simulation.clock.advance(ENDED_MS);
  simulation.replaceWorker(agent);
  const second = simulation.addEntry("entry-1");
  await simulation.clock.advance(ENDED_MS);
  simulation.killEntry(second);
  const third = simulation.addEntry("entry-2");
  await simulation.clock.advance(SETTLED_MS);
  t.deepEqual(getResult(fixture, third), ["failed", "done", "completed"]);
  const tasks = third.coordinator.catalog.getJobs("pool-a").map(({ progress }) => progress);
  t.true(JSON.stringify(tasks).includes('"failures":1'), JSON.stringify(tasks));
});
