/**
 * Faults of the soak, all from outside of the processes: signals, proxies to the store, and what
 * workers and other writers may do. Each ends by itself; several may overlap.
 */
import type { SeededRandom } from "../support/SeededRandom.ts";
import { sleep } from "./SoakClients.ts";
import type { SoakAgent, SoakPool, SoakProcess } from "./SoakPool.ts";

const MIN_DOWN_MS = 300;
const MAX_DOWN_MS = 3_000;
/** Longer than a lease, so that some runs end with it. */
const MAX_PAUSE_MS = 7_000;
const MAX_STORE_OUTAGE_MS = 5_000;
const MAX_DRAIN_MS = 7_000;
const MAX_LATE_ORDERS = 12;
const MAX_LATE_MS = 6_000;

/** A fault; resolves when it has ended. */
type Fault = (pool: SoakPool, random: SeededRandom) => Promise<void>;

/** Faults by name, so that a series can be limited to some. */
export const FAULTS: Readonly<Record<string, Fault>> = {
  killLeader: async (pool, random) => {
    await restart(pool.leader, random, "SIGKILL");
  },
  killEntry: async (pool, random) => {
    await restart(pick(pool.entries, random), random, "SIGKILL");
  },
  endEntry: async (pool, random) => {
    await restart(pick(pool.entries, random), random, "SIGTERM");
  },
  pauseLeader: async (pool, random) => {
    await pause(pool.leader, random);
  },
  killAgent: async (pool, random) => {
    await restart(pick(pool.agents, random), random, "SIGKILL");
  },
  endAgent: async (pool, random) => {
    await restart(pick(pool.agents, random), random, "SIGTERM");
  },
  pauseAgent: async (pool, random) => {
    await pause(pick(pool.agents, random), random);
  },
  changeSettings: (pool, random) => {
    pick([...pool.entries, ...pool.agents], random)?.process.signal("SIGHUP");
    return Promise.resolve();
  },
  stallStore: async (pool, random) => {
    await disturbStores([...pool.entries, ...pool.agents], random);
  },
  cutLeaderFromStore: async (pool, random) => {
    const { leader } = pool;
    await disturbStores(leader === undefined ? [] : [leader], random);
  },
  crashWorker: async (pool, random) => {
    const downMs = random.nextInt(MAX_DOWN_MS);
    pickWorker(pool, random)?.crash(downMs, random.next() < 0.5);
    await sleep(downMs);
  },
  drainBesideSuccessor: async (pool, random) => {
    const workMs = 1_000 + random.nextInt(MAX_DRAIN_MS - 1_000);
    pickWorker(pool, random)?.drainBesideSuccessor(workMs);
    await sleep(workMs);
  },
  delayOrders: async (pool, random) => {
    const lateMs = 1_000 + random.nextInt(MAX_LATE_MS - 1_000);
    pickWorker(pool, random)?.delayOrders(1 + random.nextInt(MAX_LATE_ORDERS), lateMs);
    await sleep(lateMs);
  },
  sendForeignHeartbeat: (pool, random) => {
    const worker = pickWorker(pool, random);
    worker?.sendForeignHeartbeat(random.next() < 0.5);
    return Promise.resolve();
  },
};

function pick<T>(items: readonly T[], random: SeededRandom): T | undefined {
  return items[random.nextInt(items.length)];
}

function pickWorker({ agents }: SoakPool, random: SeededRandom): SoakAgent["worker"] | undefined {
  return pick(agents, random)?.worker;
}

async function restart(
  target: SoakProcess | undefined,
  random: SeededRandom,
  signal: NodeJS.Signals,
): Promise<void> {
  const downMs = MIN_DOWN_MS + random.nextInt(MAX_DOWN_MS - MIN_DOWN_MS);
  if (target === undefined) {
    return;
  }
  target.process.signal("SIGCONT");
  target.process.signal(signal);
  await target.process.ended;
  await sleep(downMs);
  target.process.start();
}

async function pause(target: SoakProcess | undefined, random: SeededRandom): Promise<void> {
  const pauseMs = 200 + random.nextInt(MAX_PAUSE_MS - 200);
  target?.process.pause();
  await sleep(pauseMs);
  target?.process.resume();
}

/** Keeps processes from the store: what they send stands still, or connections are reset. */
async function disturbStores(targets: readonly SoakProcess[], random: SeededRandom): Promise<void> {
  const outageMs = MIN_DOWN_MS + random.nextInt(MAX_STORE_OUTAGE_MS - MIN_DOWN_MS);
  const isReset = random.next() < 0.5;
  await Promise.all(
    targets.map(async ({ store }) => {
      if (isReset) {
        store.cutAll();
      }
      await store.setFaults(isReset ? { newConnections: "reset" } : { hold: "both" });
    }),
  );
  await sleep(outageMs);
  await Promise.all(targets.map(({ store }) => store.clearFaults()));
}
