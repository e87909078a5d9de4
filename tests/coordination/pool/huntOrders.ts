/**
 * Hunts for orders of events that let a task run twice:
 * `node tests/coordination/pool/huntOrders.ts FIRST COUNT [KIND,...] [MESSAGE,...]`.
 * Prints each seed with a violation, and the shortest plan that still has one.
 */
import { playPlan, shortenPlan } from "./orderHistory.ts";
import { createPlan, type EventKind, type Plan } from "./orderPlan.ts";
import type { MessageKind } from "./SimulatedNetwork.ts";
import type { DelayedPoolSimulation } from "./DelayedPoolSimulation.ts";

const [first = "1", count = "100", kinds = "", messages = "", log = ""] = process.argv.slice(2);
const DEFAULT_KINDS =
  "killEntry,revoke,resign,freezeEntry,cutStore,cutEntry,restartAgent,killBoth,crashWorker," +
  "crashOther,drain,repeatHeartbeat,silent,delay,delay,delay,delay";

function format({ agents, resetsConnections, keepsOrder, events }: Plan): string {
  const lines = events.map(
    ({ at, kind, agent, entry, ms, messages: kindOf, number }) =>
      `    ${at} ${kind} ${kind === "delay" ? kindOf : ""} agent ${agent} entry ${entry} ms ${ms} number ${number}`,
  );
  return [`  agents ${agents} resets ${resetsConnections} keepsOrder ${keepsOrder}`, ...lines].join(
    "\n",
  );
}

const isBroken = (simulation: DelayedPoolSimulation): boolean =>
  simulation.findViolations().length > 0;
const chosen = (kinds === "" ? DEFAULT_KINDS : kinds).split(",") as EventKind[];
const delayed = messages === "" ? undefined : (messages.split(",") as MessageKind[]);
const startedAt = Date.now();
let broken = 0;
/** Number of runs that were started; few of them prove little. */
let runs = 0;
for (let seed = Number(first); seed < Number(first) + Number(count); seed += 1) {
  const plan = createPlan(seed, chosen, delayed);
  const simulation = await playPlan(plan);
  runs += simulation.journal.length;
  if (isBroken(simulation)) {
    broken += 1;
    const short = await shortenPlan(plan, isBroken);
    const played = await playPlan(short);
    const reasons = played.log.lines
      .filter(({ sentence }) => sentence.startsWith("Run is lost"))
      .map(({ fields }) => String(fields.reason));
    console.log(
      `seed ${seed}: ${[...new Set(reasons)].join("; ")} | ${played.findViolations()[0]}`,
    );
    console.log(format(short));
    if (log !== "") {
      console.log(played.log.format());
      console.log(JSON.stringify(played.journal, undefined, 1));
    }
  }
}
console.log(`${broken} of ${count} seeds, ${runs} runs, ${Date.now() - startedAt} ms`);
