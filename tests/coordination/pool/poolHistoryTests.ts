/**
 * Random histories of a pool in virtual time: entries die and come, agents are cut off and restart,
 * workers crash, answers are lost, orders come late and the store goes away, in any order and
 * together. Whatever happens, no task runs twice at the same time or is done twice, and once all is
 * well again every job that was accepted and not cancelled is completed.
 */
import test from "ava";
import type { JobDefinition } from "../../../src/protocol/pool/JobDefinition.ts";
import { createStep } from "../../support/poolFixtures.ts";
import { SeededRandom } from "../../support/SeededRandom.ts";
import {
  PoolSimulation,
  QUEUE,
  type SimulatedAgent,
  type SimulatedEntry,
} from "./PoolSimulation.ts";

const SEEDS = process.env.FIREFLYLB_SEED?.split(",").map(Number) ?? [101, 102, 103, 104, 105, 106];
const ACTION_COUNT = 24;
const MAX_PAUSE_MS = 1_500;
/** Longer than the wait for every lease of a former scheduler, and the work after it. */
const RECOVERY_MS = 30_000;

interface History {
  readonly simulation: PoolSimulation;
  readonly random: SeededRandom;
  readonly accepted: Set<string>;
  readonly cancelled: Set<string>;
}

type Action = (history: History) => Promise<void> | void;

function createJob(random: SeededRandom): JobDefinition {
  const step = createStep({ taskCount: 1 + random.below(5), estimateMs: 600 });
  const steps = random.next() < 0.5 ? [step] : [step, createStep({ after: [0], estimateMs: 600 })];
  return { payload: "", steps, schedule: undefined };
}

function choose<T>(random: SeededRandom, items: readonly T[]): T {
  const item = items[random.below(items.length)];
  if (item === undefined) {
    throw new Error("nothing to pick from");
  }
  return item;
}

function getLiveEntries({ simulation: world }: History): readonly SimulatedEntry[] {
  return world.entries.filter(({ isStopped }) => !isStopped);
}

function chooseAgent({ simulation: world, random }: History): SimulatedAgent {
  return choose(random, world.agents);
}

const ACTIONS_BY_NAME: Readonly<Record<string, Action>> = {
  submit: async (history) => {
    const { simulation: world, random, accepted } = history;
    const id = (accepted.size + 1).toString(16).padStart(16, "0");
    const workMs = 200 + random.below(2_000);
    const outcome = await world.submit(
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
    const { simulation: world, random, accepted, cancelled } = history;
    const [id] = [...accepted].filter(() => random.next() < 0.3);
    if (id !== undefined) {
      const desk = choose(random, getLiveEntries(history)).submissions;
      const outcome = desk.cancel(QUEUE, id, world.clock.now() + 2_000);
      await world.clock.advance(2_500);
      await outcome;
      cancelled.add(id);
    }
  },
  killEntry: (history) => {
    const { simulation: world, random } = history;
    const entry = choose(random, getLiveEntries(history));
    world.killEntry(entry);
    world.addEntry(entry.name);
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
  revokeScheduler: ({ simulation: world }) => {
    const key = world.storeModel.list("scheduler/").entries[0];
    if (key !== undefined) {
      world.storeModel.remove(key.key, key.revision);
    }
  },
  compact: ({ simulation: world }) => {
    world.storeModel.compact();
  },
  cutAgent: (history) => {
    chooseAgent(history).isDisconnected = true;
  },
  restartAgent: (history) => history.simulation.restartAgent(chooseAgent(history)),
  crashWorker: (history) => history.simulation.crashWorker(chooseAgent(history)),
  silentWorker: (history) => {
    chooseAgent(history).worker.faults.silent = true;
  },
  lateOrders: (history) => {
    chooseAgent(history).worker.faults.lateOrders += 2;
  },
  heal: (history) => {
    heal(history);
  },
};

function heal({ simulation: world }: History): void {
  world.agents.forEach((agent) => {
    agent.isDisconnected = false;
    agent.worker.faults.silent = false;
    agent.worker.faults.lateOrders = 0;
  });
  world.entries
    .filter(({ isStopped }) => !isStopped)
    .forEach((entry) => {
      entry.isDisconnected = false;
      entry.store.endOutage();
      entry.store.faults.lostAnswers = 0;
    });
}

async function runHistory(seed: number): Promise<History & { readonly trace: readonly string[] }> {
  const random = new SeededRandom(seed);
  const world = new PoolSimulation(seed);
  const history: History = { simulation: world, random, accepted: new Set(), cancelled: new Set() };
  ["entry-0", "entry-1", "entry-2"].forEach((name) => world.addEntry(name));
  await Promise.all(["agent-0", "agent-1", "agent-2"].map((name) => world.addAgent(name)));
  await world.clock.advance(3_000);
  const names = ["submit", "submit", "heal", "heal", ...Object.keys(ACTIONS_BY_NAME)];
  const trace: string[] = [];
  await Array.from({ length: ACTION_COUNT }).reduce<Promise<void>>(async (before) => {
    await before;
    const name = choose(random, names);
    trace.push(`${Math.round(world.clock.now())} ${name}`);
    await ACTIONS_BY_NAME[name]?.(history);
    await world.clock.advance(random.below(MAX_PAUSE_MS));
  }, Promise.resolve());
  heal(history);
  await world.clock.advance(RECOVERY_MS);
  return { ...history, trace };
}

SEEDS.forEach((seed) => {
  test(`PoolScheduler keeps its promises in a random history, seed ${seed}`, async (t) => {
    const { simulation: world, accepted, cancelled, trace } = await runHistory(seed);
    t.log(`seed ${seed}: ${trace.join(", ")}`);
    t.deepEqual(world.findViolations(), []);
    const [entry] = world.entries.filter(({ isStopped }) => !isStopped);
    const wanted = [...accepted].filter((id) => !cancelled.has(id));
    const phases = await Promise.all(
      wanted.map(async (id) => {
        const found = await entry?.submissions.getPhase(QUEUE, id);
        return found?.kind === "found" ? found.phase : found?.kind;
      }),
    );
    t.deepEqual(
      wanted.map((id, position) => `${id} ${phases[position] ?? ""}`),
      wanted.map((id) => `${id} completed`),
    );
  });
});
