/**
 * Short soaks of a small pool of real processes. Longer ones are played by hand (`soak.ts`).
 */
import test from "ava";
import { runSoak } from "./runSoak.ts";

const SIZE = { entries: 2, agents: 4 };
const SEED = Number(process.env.FIREFLYLB_SEED ?? 640);
const DURATION_MS = 10_000;
const FAULT_INTERVAL_MS = 700;

[
  { title: "overlapping faults of processes, store and workers", faults: [] },
  // Guards against tasks that run twice: an announcement that the worker had not sent, or one of its
  // next incarnation while it worked on, let all of its runs count as lost.
  {
    title: "announcements of others and of successors",
    faults: ["sendForeignHeartbeat", "drainBesideSuccessor"],
  },
].forEach(({ title, faults }) => {
  test.serial(`Soak: no promise is broken by ${title}`, async (t) => {
    t.log(`seed ${SEED}`);
    const { jobs, runs, violations } = await runSoak({
      ...{ ...SIZE, seed: SEED, durationMs: DURATION_MS, faultIntervalMs: FAULT_INTERVAL_MS },
      ...{ faults, product: "." },
    });
    t.log(`${jobs} jobs, ${runs} runs`);
    t.true(runs > 0);
    t.deepEqual(violations, []);
  });
});
