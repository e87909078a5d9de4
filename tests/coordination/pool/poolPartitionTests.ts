/**
 * Takes pools over from schedulers that live on, in virtual time and with the timings of an entry: the
 * scheduler loses the store but still reaches an agent that its successors do not reach, after it
 * had lost that agent itself for a random time. It then extends leases that its successors cannot
 * know of. No task may run twice at the same time, and all run once the partition has ended.
 */
import test from "ava";
import { createStep } from "../../support/poolFixtures.ts";
import { SeededRandom } from "../../support/SeededRandom.ts";
import { PoolSimulation } from "./PoolSimulation.ts";
import { ENTRY_TIMINGS, type SimulatedAgent, type SimulatedEntry } from "./simulatedPool.ts";

const SEEDS = process.env.FIREFLYLB_SEED?.split(",").map(Number) ?? [401, 402, 403, 404, 405, 406];
const ROUND_COUNT = 4;
const TASK_COUNT = 6;
/** Longest time for which the scheduler loses the agent, in milliseconds; most leases survive it. */
const MAX_LOSS_MS = 5_500;
/** Longest time between the loss of the store and the return of the agent, in milliseconds. */
const MAX_GAP_MS = 1_000;
/** Longer than the wait for every lease of a former scheduler, in milliseconds. */
const PARTITION_MS = 20_000;
const RECOVERY_MS = 5_000;

/** Leaves an agent to the leader alone, and all others to the other entries. */
function separate(simulation: PoolSimulation, leader: SimulatedEntry, agent: SimulatedAgent): void {
  simulation.entries
    .filter((entry) => entry !== leader)
    .forEach(({ cutAgents }) => {
      cutAgents.add(agent.name);
    });
  simulation.agents
    .filter((other) => other !== agent)
    .forEach(({ name }) => {
      leader.cutAgents.add(name);
    });
}

function heal(simulation: PoolSimulation): void {
  simulation.entries.forEach(({ cutAgents, store }) => {
    cutAgents.clear();
    store.endOutage();
  });
}

/** Lets the leader lose an agent, then the store, and reach the agent again around that time. */
async function playRound(simulation: PoolSimulation, random: SeededRandom): Promise<void> {
  const { clock, entries, agents } = simulation;
  const leader = entries.find(({ coordinator }) => coordinator.schedulers.size > 0);
  const agent = agents[random.nextInt(agents.length)];
  if (leader === undefined || agent === undefined) {
    throw new Error("the pool has no scheduler or no agent");
  }
  if (random.next() < 0.3) {
    await simulation.restartAgent(agent);
  }
  if (random.next() < 0.8) {
    leader.cutAgents.add(agent.name);
  }
  await clock.advance(random.nextInt(MAX_LOSS_MS));
  leader.store.faults.lostAnswers += random.nextInt(3);
  const isAgentFirst = random.next() < 0.5;
  if (isAgentFirst) {
    leader.cutAgents.delete(agent.name);
    await clock.advance(random.nextInt(MAX_GAP_MS));
  }
  leader.store.startOutage();
  separate(simulation, leader, agent);
  await clock.advance(isAgentFirst ? 0 : random.nextInt(MAX_GAP_MS));
  leader.cutAgents.delete(agent.name);
  await clock.advance(PARTITION_MS);
  leader.store.faults.lostAnswers = 0;
  heal(simulation);
  await clock.advance(RECOVERY_MS);
}

async function runPartition(seed: number): Promise<PoolSimulation> {
  const random = new SeededRandom(seed);
  const simulation = new PoolSimulation(seed, ENTRY_TIMINGS);
  const entry = simulation.addEntry("entry-0");
  ["entry-1", "entry-2"].forEach((name) => simulation.addEntry(name));
  await Promise.all(["agent-0", "agent-1", "agent-2"].map((name) => simulation.addAgent(name)));
  await simulation.clock.advance(3_000);
  const steps = [createStep({ taskCount: TASK_COUNT, longRunning: true })];
  const definition = { payload: "", steps, schedule: undefined };
  await simulation.submit(entry, "0000000000000001", definition, undefined);
  await Array.from({ length: ROUND_COUNT }).reduce<Promise<void>>(async (before) => {
    await before;
    await playRound(simulation, random);
  }, Promise.resolve());
  return simulation;
}

SEEDS.forEach((seed) => {
  test(`PoolScheduler runs no task twice beside a former scheduler that lives on, seed ${seed}`, async (t) => {
    const simulation = await runPartition(seed);
    t.deepEqual(simulation.findViolations(), []);
    const running = simulation.journal.filter(({ endedAt }) => endedAt === undefined);
    t.is(running.length, TASK_COUNT);
    t.log(`${simulation.journal.length} runs`);
  });
});
