/**
 * Lists of a worker that overtake each other on the way to its agent, over a network with delays in
 * virtual time.
 */
import test from "ava";
import { createJobId, createStep } from "../../support/poolFixtures.ts";
import { DelayedPoolSimulation } from "./DelayedPoolSimulation.ts";
import { QUEUE } from "./PoolSimulation.ts";

/** Seed of the network, whose delays are all the same here. */
const SEED = 25_945;
const STEADY_MS = 2_500;
const LONG_MS = 6_000;
/** Time after which a task ends, so that the call for lists that waits for an end returns. */
const SHORT_MS = 300;
/** Time from the start of that task to the stop of another one, in milliseconds. */
const CANCELLED_MS = 250;
/** Time in which the agent has called for lists after the stop, in milliseconds. */
const LISTED_MS = 20;
/** Delay of the response to that call, in milliseconds. */
const REPLY_MS = 100;
const WATCH_MS = 8_000;

// Guards against: of two calls of an agent for its worker's lists, the later one returns older lists,
// as the earlier one waited for an end; a run that only the newer lists have counts as not listed.
test("PoolScheduler starts no run twice when a response with older lists arrives last", async (t) => {
  t.log(`seed ${SEED}`);
  const simulation = new DelayedPoolSimulation(SEED);
  const { clock } = simulation;
  const { network } = simulation;
  const { submissions } = simulation.addEntry("entry-0");
  await simulation.addAgent("agent-0");
  await clock.advance(STEADY_MS);
  const [stopped, short, other] = [1, 2, 3].map(createJobId) as [string, string, string];
  const submit = (id: string, workMs: number): void => {
    const step = createStep({ estimateMs: workMs });
    const definition = { payload: "", steps: [step], schedule: undefined };
    simulation.setRequirements(id, definition, workMs);
    void submissions.submit(QUEUE, id, definition, clock.now() + STEADY_MS);
  };
  submit(stopped, LONG_MS);
  submit(short, SHORT_MS);
  await clock.advance(CANCELLED_MS);
  const from = clock.now();
  network.windows.push({
    ...{ kind: "list-reply", party: "agent-0", from, until: from + LISTED_MS },
    ...{ minMs: REPLY_MS, maxMs: REPLY_MS },
  });
  void submissions.cancel(QUEUE, stopped, from + STEADY_MS);
  await clock.advance(LISTED_MS);
  submit(other, LONG_MS);
  await clock.advance(WATCH_MS);
  t.deepEqual(simulation.findViolations(), []);
});
