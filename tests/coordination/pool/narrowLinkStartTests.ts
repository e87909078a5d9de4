/**
 * Tests how long a pool takes to start urgent tasks if the scheduler's link to the store is narrow and
 * wide jobs, whose progress changes all the time, share it.
 */
import test from "ava";
import type { JobDefinition } from "../../../src/protocol/pool/JobDefinition.ts";
import { createJobId, createStep } from "../../support/poolFixtures.ts";
import { NarrowUplinkStore } from "../../support/NarrowUplinkStore.ts";
import { PoolSimulation } from "./PoolSimulation.ts";
import { QUEUE, type SimulatedEntry } from "./simulatedPool.ts";

/**
 * The small twin of the operators' large fleet during a burst of wide jobs: a twelfth of its 160
 * workers, a link of 2 Mbit/s, and 2.2 wide and 2.5 urgent jobs a second.
 */
const WORKERS = 14;
const LINK = { bytesPerMs: 250, timeoutMs: 1_000 };
const WIDE_INTERVAL_MS = 460;
const URGENT_INTERVAL_MS = 400;
/** Its tasks use idle processors, so that they take none of the worker's. */
const WIDE_STEP = createStep({
  taskCount: 39,
  usesIdleProcessors: true,
  resources: { processorsMilli: 0, memoryBytes: 1_000, accelerators: 0 },
});
const WIDE: JobDefinition = {
  payload: "x".repeat(150),
  steps: [WIDE_STEP, { ...WIDE_STEP, after: [0] }],
  schedule: undefined,
};
const URGENT_TASKS = 9;
const URGENT: JobDefinition = {
  payload: "x".repeat(150),
  steps: [createStep({ taskCount: URGENT_TASKS })],
  schedule: undefined,
};
const WIDE_WORK_MS = 1_240;
/** The tasks of a step end one after the other, those of a wide one after 2.4 s on average. */
const EXTRA_WORK_MS = 62;
const URGENT_WORK_MS = 1_140;
const FIRST_URGENT_NUMBER = 1_000;
const PLAYED_MS = 20_000;
/** Target of the operators for the answer to an urgent job, in milliseconds. */
const MAX_WAIT_MS = 250;

/** Submits a job at regular intervals, and returns when each was submitted. */
function submitRegularly(
  simulation: PoolSimulation,
  entry: SimulatedEntry,
  job: { readonly definition: JobDefinition; readonly workMs: number; readonly first: number },
  intervalMs: number,
): ReadonlyMap<string, number> {
  const { clock } = simulation;
  const submittedAt = new Map<string, number>();
  const submitNext = (number: number): void => {
    const id = createJobId(number);
    simulation.setRequirements(id, job.definition, job.workMs);
    submittedAt.set(id, clock.now());
    void entry.submissions.submit(QUEUE, id, job.definition, clock.now() + 2_500);
    clock.after(intervalMs, () => {
      submitNext(number + 1);
    });
  };
  submitNext(job.first);
  return submittedAt;
}

// Guards against progress that is written whole with each change of a task: it filled a narrow link,
// so that each start waited for the transactions before it.
test("PoolScheduler starts urgent tasks in time while the progress of wide jobs shares a narrow link", async (t) => {
  const simulation = new PoolSimulation();
  const { clock, storeModel } = simulation;
  simulation.extraWorkMs = EXTRA_WORK_MS;
  const entry = simulation.addEntry("entry-0", new NarrowUplinkStore(clock, LINK, storeModel));
  const names = Array.from({ length: WORKERS }, (_, position) => `side-gj-west-a-${position}`);
  await Promise.all(names.map((name) => simulation.addAgent(name, 32_000)));
  await clock.advance(3_000);
  const wide = { definition: WIDE, workMs: WIDE_WORK_MS, first: 1 };
  submitRegularly(simulation, entry, wide, WIDE_INTERVAL_MS);
  const urgent = { definition: URGENT, workMs: URGENT_WORK_MS, first: FIRST_URGENT_NUMBER };
  const submittedAt = submitRegularly(simulation, entry, urgent, URGENT_INTERVAL_MS);
  await clock.advance(PLAYED_MS);
  const waits = [...submittedAt]
    .filter(([, at]) => at < clock.now() - 2 * URGENT_WORK_MS)
    .map(([id, at]) => {
      const starts = simulation.journal.filter(({ task }) => task.startsWith(id));
      const lastStart = Math.max(...starts.map(({ startedAt }) => startedAt));
      return starts.length === URGENT_TASKS ? lastStart - at : NaN;
    })
    .sort((a, b) => a - b);
  const late = waits.filter((waitMs) => !(waitMs <= MAX_WAIT_MS));
  t.log(
    `half within ${waits[Math.floor(waits.length / 2)] ?? NaN} ms, last ${waits.at(-1) ?? NaN}`,
  );
  t.true(late.length <= 0.05 * waits.length, `${late.length} of ${waits.length} started late`);
  t.deepEqual(simulation.findViolations(), []);
});
