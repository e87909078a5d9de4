/**
 * Tests in virtual time that an announcement alone proves nothing of the worker at an agent's address:
 * anybody may send one, and it may be late.
 */
import test from "ava";
import type { WorkerAnnouncement } from "../../../src/protocol/platform/PoolWorker.ts";
import { createStep } from "../../support/poolFixtures.ts";
import { PoolSimulation } from "./PoolSimulation.ts";

const JOB = "0000000000000001";
/** They leave room for as many on one worker. */
const TASK_COUNT = 2;
/** Time that each task takes, in milliseconds; longer than a test watches. */
const WORK_MS = 60_000;
const WATCH_MS = 10_000;

type Announce = (sound: WorkerAnnouncement) => WorkerAnnouncement;

/**
 * Lets an announcement of another writer reach the agent of the worker that runs all tasks, and
 * returns what ran twice and the reasons for which runs were held lost.
 * @param announce - Creates it from a sound one.
 * @param agentCount - Number of workers, each of which has room for all tasks.
 */
async function runWithAnnouncement(announce: Announce, agentCount: number) {
  const simulation = new PoolSimulation();
  const entry = simulation.addEntry("entry-0");
  const names = Array.from({ length: agentCount }, (_, index) => `agent-${index}`);
  await Promise.all(names.map((name) => simulation.addAgent(name)));
  await simulation.clock.advance(3_000);
  const steps = [createStep({ taskCount: TASK_COUNT, estimateMs: WORK_MS })];
  await simulation.submit(entry, JOB, { payload: "", steps, schedule: undefined }, WORK_MS);
  const agent = simulation.agents.find(({ name }) =>
    simulation.journal.some(({ worker }) => worker.startsWith(`${name}@`)),
  );
  agent?.workerAgent.handleAnnouncement(announce(agent.worker.announce()));
  await simulation.clock.advance(WATCH_MS);
  return {
    violations: simulation.findViolations(),
    lost: simulation.log.lines
      .filter(({ sentence }) => sentence.startsWith("Run is lost"))
      .map(({ fields }) => fields.reason),
    starts: simulation.journal.length,
  };
}

const OTHER_WRITERS: readonly { readonly title: string; readonly announce: Announce }[] = [
  {
    title: "names another worker that started later",
    announce: (sound) => ({ ...sound, id: "other", startedAtMs: sound.startedAtMs + 10 }),
  },
  {
    title: "names another worker that started at the same time",
    announce: (sound) => ({ ...sound, id: "other" }),
  },
  {
    title: "names another worker of another pool",
    announce: (sound) => ({
      ...sound,
      ...{ id: "other", startedAtMs: sound.startedAtMs + 10, pool: "pool-b" },
    }),
  },
  {
    title: "names the same worker with a later start",
    announce: (sound) => ({ ...sound, startedAtMs: sound.startedAtMs + 10 }),
  },
];

OTHER_WRITERS.forEach(({ title, announce }) => {
  [1, 3].forEach((agentCount) => {
    // Guards against tasks that run twice, on other workers or again on the same one: their worker
    // was held replaced because of an announcement that nobody had checked.
    test(`PoolWorkerAgent keeps a worker that runs tasks when an announcement ${title}, ${agentCount} workers`, async (t) => {
      const { violations, lost, starts } = await runWithAnnouncement(announce, agentCount);
      t.deepEqual(violations, []);
      t.deepEqual(lost, []);
      t.is(starts, TASK_COUNT);
    });
  });
});
