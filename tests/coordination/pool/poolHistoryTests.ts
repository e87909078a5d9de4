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
import { PoolWorld, QUEUE, type WorldAgent, type WorldEntry } from "./PoolWorld.ts";

const SEEDS = process.env.FIREFLYLB_SEED?.split(",").map(Number) ?? [101, 102, 103, 104, 105, 106];
const ACTIONS = 24;
const LONGEST_PAUSE_MS = 1_500;
/** Longer than the wait for every lease of a former scheduler, and the work after it. */
const RECOVERY_MS = 30_000;

interface History {
  readonly world: PoolWorld;
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

function pick<T>(random: SeededRandom, items: readonly T[]): T {
  const item = items[random.below(items.length)];
  if (item === undefined) {
    throw new Error("nothing to pick from");
  }
  return item;
}

function getLive({ world }: History): readonly WorldEntry[] {
  return world.entries.filter(({ isStopped }) => !isStopped);
}

function pickAgent({ world, random }: History): WorldAgent {
  return pick(random, world.agents);
}

const ACTIONS_BY_NAME: Readonly<Record<string, Action>> = {
  submit: async (history) => {
    const { world, random, accepted } = history;
    const id = (accepted.size + 1).toString(16).padStart(16, "0");
    const workMs = 200 + random.below(2_000);
    const outcome = await world.submit(
      pick(random, getLive(history)),
      id,
      createJob(random),
      workMs,
    );
    if (outcome.kind === "stored") {
      accepted.add(id);
    }
  },
  cancel: async (history) => {
    const { world, random, accepted, cancelled } = history;
    const [id] = [...accepted].filter(() => random.next() < 0.3);
    if (id !== undefined) {
      const desk = pick(random, getLive(history)).desk;
      const outcome = desk.cancel(QUEUE, id, world.clock.now() + 2_000);
      await world.clock.advance(2_500);
      await outcome;
      cancelled.add(id);
    }
  },
  killEntry: (history) => {
    const { world, random } = history;
    const entry = pick(random, getLive(history));
    world.killEntry(entry);
    world.addEntry(entry.name);
  },
  cutEntry: (history) => {
    pick(history.random, getLive(history)).isCut = true;
  },
  storeOutage: (history) => {
    pick(history.random, getLive(history)).store.startOutage();
  },
  lostAnswers: (history) => {
    pick(history.random, getLive(history)).store.faults.lostAnswers += 2;
  },
  revokeScheduler: ({ world }) => {
    const key = world.model.list("scheduler/").entries[0];
    if (key !== undefined) {
      world.model.remove(key.key, key.revision);
    }
  },
  compact: ({ world }) => {
    world.model.compact();
  },
  cutAgent: (history) => {
    pickAgent(history).isCut = true;
  },
  restartAgent: (history) => history.world.restartAgent(pickAgent(history)),
  crashWorker: (history) => history.world.crashWorker(pickAgent(history)),
  silentWorker: (history) => {
    pickAgent(history).worker.faults.silent = true;
  },
  lateOrders: (history) => {
    pickAgent(history).worker.faults.lateOrders += 2;
  },
  heal: (history) => {
    heal(history);
  },
};

function heal({ world }: History): void {
  world.agents.forEach((agent) => {
    agent.isCut = false;
    agent.worker.faults.silent = false;
    agent.worker.faults.lateOrders = 0;
  });
  world.entries
    .filter(({ isStopped }) => !isStopped)
    .forEach((entry) => {
      entry.isCut = false;
      entry.store.endOutage();
      entry.store.faults.lostAnswers = 0;
    });
}

async function runHistory(seed: number): Promise<History & { readonly trace: readonly string[] }> {
  const random = new SeededRandom(seed);
  const world = new PoolWorld(seed);
  const history: History = { world, random, accepted: new Set(), cancelled: new Set() };
  ["entry-0", "entry-1", "entry-2"].forEach((name) => world.addEntry(name));
  await Promise.all(["agent-0", "agent-1", "agent-2"].map((name) => world.addAgent(name)));
  await world.clock.advance(3_000);
  const names = ["submit", "submit", "heal", "heal", ...Object.keys(ACTIONS_BY_NAME)];
  const trace: string[] = [];
  await Array.from({ length: ACTIONS }).reduce<Promise<void>>(async (before) => {
    await before;
    const name = pick(random, names);
    trace.push(`${Math.round(world.clock.now())} ${name}`);
    await ACTIONS_BY_NAME[name]?.(history);
    await world.clock.advance(random.below(LONGEST_PAUSE_MS));
  }, Promise.resolve());
  heal(history);
  await world.clock.advance(RECOVERY_MS);
  return { ...history, trace };
}

SEEDS.forEach((seed) => {
  test(`PoolScheduler keeps its promises in a random history, seed ${seed}`, async (t) => {
    const { world, accepted, cancelled, trace } = await runHistory(seed);
    t.log(`seed ${seed}: ${trace.join(", ")}`);
    t.deepEqual(world.findViolations(), []);
    const [entry] = world.entries.filter(({ isStopped }) => !isStopped);
    const wanted = [...accepted].filter((id) => !cancelled.has(id));
    const phases = await Promise.all(
      wanted.map(async (id) => {
        const found = await entry?.desk.getPhase(QUEUE, id);
        return found?.kind === "found" ? found.phase : found?.kind;
      }),
    );
    t.deepEqual(
      wanted.map((id, position) => `${id} ${phases[position] ?? ""}`),
      wanted.map((id) => `${id} completed`),
    );
  });
});
