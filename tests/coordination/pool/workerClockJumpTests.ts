/**
 * Workers that start again with an earlier start time than their predecessor, since a clock jumped,
 * over a network with delays in virtual time.
 */
import test, { type ExecutionContext } from "ava";
import { createJobId, createStep } from "../../support/poolFixtures.ts";
import { DelayedPoolSimulation } from "./DelayedPoolSimulation.ts";
import { QUEUE, type SimulatedEntry } from "./simulatedPool.ts";

/** Seed of the network, whose delays are all the same here. */
const SEED = 1;
const STEADY_MS = 4_500;
const JUMP_MS = -60_000;
/** Time from a submission after which its start order is under way to the worker, in milliseconds. */
const UNDER_WAY_MS = 8;
/** Time after which the work of a job has begun, in milliseconds. */
const BEGUN_MS = 1_500;
const WORK_MS = 15_000;
const WATCH_MS = 12_000;
const MAX_LEASE_MS = 6_000;

/** Creates a pool with one agent, whose worker has announced itself. */
async function createFixture(t: ExecutionContext) {
  t.log(`seed ${SEED}`);
  const simulation = new DelayedPoolSimulation(SEED);
  simulation.maxLeaseMs = MAX_LEASE_MS;
  const entry = simulation.addEntry("entry-0");
  const agent = await simulation.addAgent("agent-0");
  await simulation.clock.advance(STEADY_MS);
  return { simulation, clock: simulation.clock, entry, agent };
}

function submit(simulation: DelayedPoolSimulation, entry: SimulatedEntry, id: string): void {
  const step = createStep({ taskCount: 2, estimateMs: WORK_MS });
  const definition = { payload: "", steps: [step], schedule: undefined };
  simulation.setRequirements(id, definition, WORK_MS);
  void entry.submissions.submit(QUEUE, id, definition, simulation.clock.now() + 2_500);
}

// Guards against: a start order reaches the next incarnation under the id of its worker, which the
// agent never accepts as its start time is earlier, and the run counts as ended with the lease of the
// one before, although the next one runs it for longer.
test("PoolScheduler starts no run twice on a worker that started again with an earlier start time", async (t) => {
  const { simulation, clock, entry, agent } = await createFixture(t);
  submit(simulation, entry, createJobId(1));
  await clock.advance(UNDER_WAY_MS);
  simulation.replaceWorkerBy(agent, { id: agent.name, bornShiftMs: JUMP_MS });
  await simulation.addAgent("agent-1");
  await clock.advance(WATCH_MS);
  t.true(simulation.journal.length > 0, "runs were started");
  t.deepEqual(simulation.findViolations(), []);
});

// Guards against: a late heartbeat of a worker that has crashed, whose start time is later than that
// of its successor, replaces the successor, and all runs there count as lost at once.
test("PoolScheduler starts no run twice after a late heartbeat of a predecessor with a later start time", async (t) => {
  const { simulation, clock, entry, agent } = await createFixture(t);
  const late = agent.worker.announce();
  // The agent's next process accepts the successor, as it does not know the predecessor.
  simulation.replaceWorkerBy(agent, { id: "agent-0-next", bornShiftMs: JUMP_MS });
  await simulation.restartAgent(agent);
  await clock.advance(STEADY_MS);
  submit(simulation, entry, createJobId(1));
  await clock.advance(BEGUN_MS);
  await simulation.addAgent("agent-1");
  await clock.advance(STEADY_MS);
  simulation.sendHeartbeat(agent, late);
  await clock.advance(WATCH_MS);
  t.true(simulation.journal.length > 0, "runs were started");
  t.deepEqual(simulation.findViolations(), []);
});
