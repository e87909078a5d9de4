/**
 * Runs random sequences of faults against a pool in virtual time: entries crash and are replaced,
 * agents are disconnected and restart, workers crash with their agents or alone, responses are lost, orders are delayed and
 * the store is unavailable, in any order and combination. In every sequence, no task runs twice at
 * the same time or is done twice, and once all faults have ended every job that was accepted and
 * not cancelled is completed.
 */
import test from "ava";
import type { JobDefinition } from "../../../src/protocol/pool/JobDefinition.ts";
import { createJobId, createStep } from "../../support/poolFixtures.ts";
import { SeededRandom } from "../../support/SeededRandom.ts";
import { PoolSimulation } from "./PoolSimulation.ts";
import { QUEUE, type SimulatedAgent, type SimulatedEntry } from "./simulatedPool.ts";

const SEEDS = process.env.FIREFLYLB_SEED?.split(",").map(Number) ?? [
  ...[101, 102, 103, 104, 105, 106, 208, 483],
];
const ACTION_COUNT = 24;
const MAX_PAUSE_MS = 1_500;
/** Time that a submitter waits, in milliseconds. */
const SUBMITTER_TIMEOUT_MS = 2_500;
/**
 * Longer than the wait for every lease of a former scheduler and the remaining work after it, in
 * milliseconds.
 */
const RECOVERY_MS = 30_000;

interface History {
  readonly simulation: PoolSimulation;
  readonly random: SeededRandom;
  readonly accepted: Set<string>;
  readonly cancelled: Set<string>;
}

type Action = (history: History) => Promise<void> | void;

function createJob(random: SeededRandom): JobDefinition {
  const step = createStep({ taskCount: 1 + random.nextInt(5), estimateMs: 600 });
  const steps = random.next() < 0.5 ? [step] : [step, createStep({ after: [0], estimateMs: 600 })];
  return { payload: "", steps, schedule: undefined };
}

function choose<T>(random: SeededRandom, items: readonly T[]): T {
  const item = items[random.nextInt(items.length)];
  if (item === undefined) {
    throw new Error("cannot choose from an empty list");
  }
  return item;
}

function getLiveEntries({ simulation }: History): readonly SimulatedEntry[] {
  return simulation.entries.filter(({ isStopped }) => !isStopped);
}

function chooseAgent({ simulation, random }: History): SimulatedAgent {
  return choose(random, simulation.agents);
}

const ACTIONS_BY_NAME: Readonly<Record<string, Action>> = {
  submit: async (history) => {
    const { simulation, random, accepted } = history;
    const id = createJobId(accepted.size + 1);
    const workMs = 200 + random.nextInt(2_000);
    const outcome = await simulation.submit(
      choose(random, getLiveEntries(history)),
      id,
      createJob(random),
      workMs,
    );
    if (outcome.kind === "stored") {
      accepted.add(id);
    }
  },
  cancel: async (history) => {
    const { simulation, random, accepted, cancelled } = history;
    const [id] = [...accepted].filter(() => random.next() < 0.3);
    if (id !== undefined) {
      const submissions = choose(random, getLiveEntries(history)).submissions;
      const outcome = submissions.cancel(QUEUE, id, simulation.clock.now() + 2_000);
      await simulation.clock.advance(2_500);
      await outcome;
      cancelled.add(id);
    }
  },
  killEntry: (history) => {
    const { simulation, random } = history;
    const entry = choose(random, getLiveEntries(history));
    simulation.killEntry(entry);
    simulation.addEntry(entry.name);
  },
  cutEntry: (history) => {
    choose(history.random, getLiveEntries(history)).isDisconnected = true;
  },
  storeOutage: (history) => {
    choose(history.random, getLiveEntries(history)).store.startOutage();
  },
  lostAnswers: (history) => {
    choose(history.random, getLiveEntries(history)).store.faults.lostAnswers += 2;
  },
  revokeScheduler: ({ simulation }) => {
    const key = simulation.storeModel.list("scheduler/").entries[0];
    if (key !== undefined) {
      simulation.storeModel.remove(key.key, key.revision);
    }
  },
  compact: ({ simulation }) => {
    simulation.storeModel.compact();
  },
  cutAgent: (history) => {
    chooseAgent(history).isDisconnected = true;
  },
  restartAgent: (history) => history.simulation.restartAgent(chooseAgent(history)),
  crashWorker: (history) => history.simulation.crashWorker(chooseAgent(history)),
  replaceWorker: (history) => {
    history.simulation.replaceWorker(chooseAgent(history));
  },
  silentWorker: (history) => {
    chooseAgent(history).worker.faults.isUnresponsive = true;
  },
  lateOrders: (history) => {
    chooseAgent(history).worker.faults.lateOrders += 2;
  },
  heal: (history) => {
    heal(history);
  },
};

function heal({ simulation }: History): void {
  simulation.agents.forEach((agent) => {
    agent.isDisconnected = false;
    agent.worker.faults.isUnresponsive = false;
    agent.worker.faults.lateOrders = 0;
  });
  simulation.entries
    .filter(({ isStopped }) => !isStopped)
    .forEach((entry) => {
      entry.isDisconnected = false;
      entry.store.endOutage();
      entry.store.faults.lostAnswers = 0;
    });
}

async function runHistory(seed: number): Promise<History & { readonly trace: readonly string[] }> {
  const random = new SeededRandom(seed);
  const simulation = new PoolSimulation(seed);
  const history: History = {
    simulation,
    random,
    accepted: new Set(),
    cancelled: new Set(),
  };
  ["entry-0", "entry-1", "entry-2"].forEach((name) => simulation.addEntry(name));
  await Promise.all(["agent-0", "agent-1", "agent-2"].map((name) => simulation.addAgent(name)));
  await simulation.clock.advance(3_000);
  const names = ["submit", "submit", "heal", "heal", ...Object.keys(ACTIONS_BY_NAME)];
  const trace: string[] = [];
  await Array.from({ length: ACTION_COUNT }).reduce<Promise<void>>(async (before) => {
    await before;
    const name = choose(random, names);
    trace.push(`${Math.round(simulation.clock.now())} ${name}`);
    await ACTIONS_BY_NAME[name]?.(history);
    await simulation.clock.advance(random.nextInt(MAX_PAUSE_MS));
  }, Promise.resolve());
  heal(history);
  await simulation.clock.advance(RECOVERY_MS);
  return { ...history, trace };
}

SEEDS.forEach((seed) => {
  test(`PoolScheduler runs no task twice and completes every job after random faults, seed ${seed}`, async (t) => {
    const { simulation, accepted, cancelled, trace } = await runHistory(seed);
    t.log(`seed ${seed}: ${trace.join(", ")}`);
    t.deepEqual(simulation.findViolations(), []);
    const [entry] = simulation.entries.filter(({ isStopped }) => !isStopped);
    const wanted = [...accepted].filter((id) => !cancelled.has(id));
    const phases = await Promise.all(
      wanted.map(async (id) => {
        const deadline = simulation.clock.now() + SUBMITTER_TIMEOUT_MS;
        const found = await entry?.submissions.getPhase(QUEUE, id, deadline);
        return found?.kind === "found" ? found.phase : found?.kind;
      }),
    );
    t.deepEqual(
      wanted.map((id, position) => `${id} ${phases[position] ?? ""}`),
      wanted.map((id) => `${id} completed`),
    );
  });
});
