/**
 * Tests in virtual time that an announcement alone proves nothing of the worker at an agent's address:
 * anybody may send one, and it may be late.
 */
import test from "ava";
import type { WorkerAnnouncement } from "../../../src/protocol/platform/PoolWorker.ts";
import { createWorkerAgent } from "../../support/createWorkerAgent.ts";
import { ManualClock } from "../../support/ManualClock.ts";
import { createAnnouncement, createObserveCall, createStep } from "../../support/poolFixtures.ts";
import { SilentWorker } from "../../support/SilentWorker.ts";
import { PoolSimulation } from "./PoolSimulation.ts";

const JOB = "0000000000000001";
/** They leave room for as many on one worker. */
const TASK_COUNT = 2;
/** Time that each task takes, in milliseconds; longer than a test watches. */
const WORK_MS = 60_000;
const WATCH_MS = 10_000;
const ANNOUNCEMENT = createAnnouncement();
const OBSERVE_CALL = createObserveCall();

type Announce = (sound: WorkerAnnouncement) => WorkerAnnouncement;

/** What an announcement of another writer did. */
interface Consequences {
  readonly violations: readonly string[];
  /** Reasons for which runs were held lost. */
  readonly lost: readonly unknown[];
  readonly starts: number;
}

/**
 * Lets an announcement of another writer reach the agent of the worker that runs all tasks.
 * @param announce - Creates it from a sound one.
 * @param agentCount - Number of workers, each of which has room for all tasks.
 * @param isTakeover - Whether the agent has just restarted and knows no worker, and the next
 *   scheduler, which knows none either, has the pool.
 */
async function runWithAnnouncement(
  announce: Announce,
  agentCount: number,
  isTakeover = false,
): Promise<Consequences> {
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
  if (agent === undefined) {
    throw new Error("no worker runs a task");
  }
  if (isTakeover) {
    simulation.killEntry(entry);
    simulation.addEntry("entry-1");
    await simulation.restartAgent(agent);
  }
  agent.workerAgent.handleAnnouncement(announce(agent.worker.announce()));
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
  // Guards against the same where nobody knows better: the agent has restarted, and a scheduler that
  // has just taken over learns of the worker from it.
  test(`PoolWorkerAgent finds its worker after a takeover when an announcement ${title}`, async (t) => {
    const { violations, lost, starts } = await runWithAnnouncement(announce, 3, true);
    t.deepEqual(violations, []);
    t.deepEqual(lost, []);
    t.is(starts, TASK_COUNT);
  });
});

[
  { title: "an earlier start, from a clock that has jumped back", startedAtMs: 1, isThere: true },
  { title: "a later start", startedAtMs: 9, isThere: true },
  { title: "a later start that the worker does not confirm", startedAtMs: 9, isThere: false },
].forEach(({ title, startedAtMs, isThere }) => {
  // Guards against a worker that starts again and is ignored for good, and against one that is given
  // up for an announcement: what counts is who responds, not whose start is later.
  test(`PoolWorkerAgent follows what responds at its address after an announcement with ${title}`, async (t) => {
    const clock = new ManualClock();
    const worker = new SilentWorker(clock);
    const agent = createWorkerAgent(worker, clock);
    agent.start();
    const announce = (start: number): void => {
      agent.handleAnnouncement({ ...ANNOUNCEMENT, startedAtMs: start });
    };
    worker.lists = { ...worker.lists, startedAtMs: 5 };
    announce(5);
    await agent.observe(OBSERVE_CALL);
    await clock.advance(WATCH_MS);
    t.is(agent.incarnation, "i-1@5");
    worker.lists = { ...worker.lists, startedAtMs: isThere ? startedAtMs : 5 };
    announce(startedAtMs);
    await clock.advance(WATCH_MS);
    t.is(agent.incarnation, isThere ? `i-1@${startedAtMs}` : "i-1@5");
    agent.stop();
  });
});
