/**
 * A takeover while start orders of the former scheduler are under way to a worker that starts again
 * under its id, over a network with delays in virtual time.
 */
import test from "ava";
import { createJobId, createStep } from "../../support/poolFixtures.ts";
import { DelayedPoolSimulation } from "./DelayedPoolSimulation.ts";
import { QUEUE } from "./simulatedPool.ts";

/** Seed of the network, whose delays are all the same here. */
const SEED = 22_610;
const STEADY_MS = 2_500;
/** Delay of the start orders from the agent to its worker, in milliseconds. */
const ORDER_MS = 124;
/** Time in which start orders take that long, in milliseconds. */
const SLOW_MS = 400;
const SUBMITTED_MS = 55;
/** Time after which the next scheduler has the first lists of the worker, in milliseconds. */
const TAKEN_OVER_MS = 50;
const WORK_MS = 5_000;
const WATCH_MS = 4_000;

// Guards against: a takeover counts runs as lost that the first lists lack, while their start orders
// are under way; a worker that starts again under its id knows no fencing token and executes them.
test("PoolScheduler starts no run twice whose start was under way at a takeover and reaches the worker's next incarnation", async (t) => {
  t.log(`seed ${SEED}`);
  const simulation = new DelayedPoolSimulation(SEED);
  const { clock } = simulation;
  const { network } = simulation;
  const entry = simulation.addEntry("entry-0");
  const agent = await simulation.addAgent("agent-0");
  await clock.advance(STEADY_MS);
  const until = clock.now() + SLOW_MS;
  network.windows.push({
    ...{ kind: "run-order", party: "agent-0", from: clock.now(), until },
    ...{ minMs: ORDER_MS, maxMs: ORDER_MS },
  });
  const step = createStep({ taskCount: 4, estimateMs: WORK_MS });
  const definition = { payload: "", steps: [step], schedule: undefined };
  simulation.setRequirements(createJobId(1), definition, WORK_MS);
  void entry.submissions.submit(QUEUE, createJobId(1), definition, clock.now() + STEADY_MS);
  await clock.advance(SUBMITTED_MS);
  simulation.killEntry(entry);
  simulation.addEntry("entry-0");
  await clock.advance(TAKEN_OVER_MS);
  simulation.replaceWorkerBy(agent, { id: agent.name, bornShiftMs: 0 });
  await simulation.addAgent("agent-1");
  await clock.advance(WATCH_MS);
  t.true(simulation.journal.length > 0, "runs were started");
  t.deepEqual(simulation.findViolations(), []);
});
