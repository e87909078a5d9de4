/**
 * Orders that reach the next process of an agent before its first report reaches the scheduler, over
 * a network with delays in virtual time.
 */
import test from "ava";
import { createJobId, createStep } from "../../support/poolFixtures.ts";
import { DelayedPoolSimulation } from "./DelayedPoolSimulation.ts";
import { QUEUE, type SimulatedEntry } from "./simulatedPool.ts";

/** Seed of the network, whose delays are all the same here. */
const SEED = 916;
const STEADY_MS = 2_000;
/** Time after which a submission is stored, but no start is ordered, in milliseconds. */
const SUBMITTED_MS = 4;
/** Time from then on after which a start order has reached the agent, in milliseconds. */
const ORDERED_MS = 6;
/**
 * Time from the loss of the connection to the scheduler's next call for a report is 100 ms; the
 * agent's next process has listed its worker's runs, once, well before it.
 */
const LISTED_MS = 40;
const WORK_MS = 3_000;
const WATCH_MS = 8_000;

function submit(simulation: DelayedPoolSimulation, entry: SimulatedEntry, id: string): void {
  const step = createStep({ estimateMs: WORK_MS });
  const definition = { payload: "", steps: [step], schedule: undefined };
  simulation.setRequirements(id, definition, WORK_MS);
  void entry.submissions.submit(QUEUE, id, definition, simulation.clock.now() + 2_500);
}

// Guards against: a run that the next process of an agent has just started counts as not listed, by
// lists from before its start, and its task runs a second time beside it.
test("PoolScheduler starts no run twice that an agent's next process started before its first report", async (t) => {
  t.log(`seed ${SEED}`);
  const simulation = new DelayedPoolSimulation(SEED);
  const { clock } = simulation;
  const entry = simulation.addEntry("entry-0");
  const agent = await simulation.addAgent("agent-0");
  await clock.advance(STEADY_MS);
  submit(simulation, entry, createJobId(1));
  await clock.advance(SUBMITTED_MS);
  await simulation.restartAgent(agent);
  // The order tells the new process of the scheduler; no worker has announced itself to it.
  await clock.advance(ORDERED_MS);
  simulation.sendHeartbeat(agent, agent.worker.announce());
  await clock.advance(LISTED_MS);
  submit(simulation, entry, createJobId(2));
  await clock.advance(WATCH_MS);
  t.true(simulation.journal.length > 0, "runs were started");
  t.deepEqual(simulation.findViolations(), []);
});
