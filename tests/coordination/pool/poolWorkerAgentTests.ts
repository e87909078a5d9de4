/**
 * Tests of what an agent sends to a worker that may have been replaced by another incarnation, and of
 * the ends that it reports, in virtual time.
 */
import test from "ava";
import type { AgentReport } from "../../../src/coordination/pool/AgentChannel.ts";
import { PoolWorkerAgent } from "../../../src/coordination/pool/PoolWorkerAgent.ts";
import type { EndedRun } from "../../../src/protocol/platform/PoolWorker.ts";
import { NO_RESOURCES } from "../../../src/protocol/Resources.ts";
import { announceWorker, createWorkerAgent } from "../../support/createWorkerAgent.ts";
import { ManualClock } from "../../support/ManualClock.ts";
import { MemoryLog } from "../../support/MemoryLog.ts";
import { SilentWorker } from "../../support/SilentWorker.ts";

/** Longer than the time between two readings, in milliseconds. */
const READING_MS = 1_500;
/** What a scheduler says that has received no report. */
const NOTHING_KNOWN = { knownVersion: 0, knownProcess: "" };

const LEASE_UNTIL_MS = 6_000;

/** Creates an agent of a worker without a response, whose scheduler has granted a lease. */
async function createSilentWorker() {
  const clock = new ManualClock();
  const worker = new SilentWorker(clock);
  const log = new MemoryLog();
  const agent = createWorkerAgent(worker, clock, { log });
  agent.start();
  announceWorker(agent, 1);
  const call = { epoch: 1, worker: "i-1@1", leaseUntilMs: LEASE_UNTIL_MS, ackedEnd: 0 };
  await agent.observe({ ...call, ...NOTHING_KNOWN, waitMs: 0 });
  // The scheduler's second call finds the worker, which has confirmed its announcement.
  await clock.advance(READING_MS);
  await agent.observe({ ...call, ...NOTHING_KNOWN, waitMs: 0 });
  await clock.advance(READING_MS);
  return { clock, log, worker, agent };
}

// Guards against tasks that run twice: the lease of a worker that has ended would be taken over by
// its next incarnation, whose clock begins anew, and nobody would know of it.
test("PoolWorkerAgent sends no lease after a call without a response until the worker responds", async (t) => {
  const { clock, worker, agent } = await createSilentWorker();
  t.is(worker.syncs.at(-1)?.leaseUntilMs, LEASE_UNTIL_MS);
  worker.isSilent = true;
  await clock.advance(READING_MS);
  t.is(worker.syncs.at(-1)?.leaseUntilMs, undefined);
  worker.isSilent = false;
  await clock.advance(READING_MS);
  t.is(worker.syncs.at(-1)?.leaseUntilMs, LEASE_UNTIL_MS);
  agent.stop();
});

// Guards against tasks that run twice: the next incarnation of a worker would carry out a start that
// was meant for the one before, whose runs count as ended.
test("PoolWorkerAgent sends no start to a worker that does not respond", async (t) => {
  const { clock, worker, agent } = await createSilentWorker();
  const start = { task: "task", run: 1, payload: "", checkpoint: "", ticket: "" };
  const call = {
    ...{ epoch: 1, worker: "i-1@1", leaseUntilMs: LEASE_UNTIL_MS, capacity: NO_RESOURCES },
    ...{ stops: [], paces: [] },
  };
  worker.isSilent = true;
  const first = agent.order({ ...call, starts: [start] });
  await clock.advance(READING_MS);
  t.is(worker.starts.length, 1);
  const outcome = await first;
  t.is(outcome.kind === "answered" && outcome.value.starts[0]?.failure, "unknown");
  const second = await agent.order({ ...call, starts: [{ ...start, run: 2 }] });
  t.is(second.kind === "answered" && second.value.starts[0]?.failure, "unhealthy");
  t.is(worker.starts.length, 1);
  agent.stop();
});

/** Lets the next incarnation announce itself and confirm that. */
async function replaceWorker(
  { clock, worker, agent }: Awaited<ReturnType<typeof createSilentWorker>>,
  startedAtMs: number,
  numbers: readonly number[] = [],
): Promise<void> {
  worker.lists = createLists(numbers, startedAtMs);
  announceWorker(agent, startedAtMs);
  await clock.advance(worker.callMs);
}

function createEnd(number: number): EndedRun {
  return { number, task: `task-${number}`, run: 1, outcome: "done", checkpoint: "" };
}

/** Lists of the first incarnation with ends of the given numbers. */
function createLists(numbers: readonly number[], startedAtMs: number | undefined = 1) {
  return {
    ...{ clockMs: 0, startedAtMs, running: [], mayLackEnds: false },
    ended: numbers.map(createEnd),
  };
}

/** Returns the report to a scheduler of an epoch that knows another one. */
async function getReport(
  agent: PoolWorkerAgent,
  epoch: number,
  known: { readonly knownVersion: number; readonly knownProcess: string } = NOTHING_KNOWN,
): Promise<AgentReport | undefined> {
  const { knownVersion, knownProcess } = known;
  const call = { epoch, worker: "", leaseUntilMs: undefined, ackedEnd: 0, waitMs: 0 };
  const outcome = await agent.observe({ ...call, knownVersion, knownProcess });
  return outcome.kind === "answered" ? outcome.value : undefined;
}

// Guards against tasks that start again although they are done: the ends of the former incarnation
// would be known to nobody once the next one has announced itself.
test("PoolWorkerAgent reports unacknowledged ends of a former incarnation to each scheduler once", async (t) => {
  const fixture = await createSilentWorker();
  const { clock, worker, agent } = fixture;
  worker.lists = createLists([1, 2, 3]);
  await clock.advance(READING_MS);
  const acked = { epoch: 1, worker: "i-1@1", leaseUntilMs: undefined, ackedEnd: 1 };
  await agent.observe({ ...acked, ...NOTHING_KNOWN, waitMs: 0 });
  await replaceWorker(fixture, 2);
  const formerEnds = [{ worker: "i-1@1", ended: [createEnd(2), createEnd(3)] }];
  const first = await getReport(agent, 1);
  t.deepEqual(first?.formerEnds, formerEnds);
  const known = { knownVersion: first?.version ?? 0, knownProcess: "p-1" };
  const repeated = getReport(agent, 1, known);
  await clock.advance(1);
  t.deepEqual((await repeated)?.formerEnds, []);
  const ofFormerProcess = { ...known, knownProcess: "p-0" };
  t.deepEqual((await getReport(agent, 1, ofFormerProcess))?.formerEnds, formerEnds);
  t.deepEqual((await getReport(agent, 2))?.formerEnds, formerEnds);
  agent.stop();
});

// Guards against the same for ends that arrive when the next incarnation has announced itself.
test("PoolWorkerAgent reports ends of a response that arrives after the next incarnation", async (t) => {
  const fixture = await createSilentWorker();
  const { clock, worker, agent } = fixture;
  worker.lists = createLists([1]);
  await clock.advance(worker.callMs + 1);
  worker.callMs = 10;
  await replaceWorker(fixture, 2);
  const known = { knownVersion: (await getReport(agent, 1))?.version ?? 0, knownProcess: "p-1" };
  await clock.advance(READING_MS);
  const ended = [createEnd(1)];
  t.deepEqual((await getReport(agent, 1, known))?.formerEnds, [{ worker: "i-1@1", ended }]);
  agent.stop();
});

// Guards against tasks that run twice: the next incarnation would get the lease of the one before,
// for its own clock, and nobody would know of it.
test("PoolWorkerAgent sends no lease of the former incarnation to the one that replaces it", async (t) => {
  const fixture = await createSilentWorker();
  const { clock, worker, agent } = fixture;
  t.is(worker.syncs.at(-1)?.leaseUntilMs, LEASE_UNTIL_MS);
  await replaceWorker(fixture, 2);
  const position = worker.syncs.length;
  await clock.advance(READING_MS);
  t.true(worker.syncs.length > position + 1);
  t.deepEqual(
    worker.syncs.slice(position).filter(({ leaseUntilMs }) => leaseUntilMs !== undefined),
    [],
  );
  agent.stop();
});

// Guards against ends of one incarnation that are taken for those of another.
test("PoolWorkerAgent ignores ends of a late response that does not name its incarnation", async (t) => {
  const fixture = await createSilentWorker();
  const { clock, worker, agent } = fixture;
  worker.lists = { ...createLists([1]), startedAtMs: undefined };
  await clock.advance(worker.callMs + 1);
  worker.callMs = 10;
  await replaceWorker(fixture, 2);
  await clock.advance(READING_MS);
  t.deepEqual((await getReport(agent, 1))?.formerEnds, []);
  agent.stop();
});

// Guards against tasks that start again although they are done, where the worker left before a
// scheduler of a later epoch called.
test("PoolWorkerAgent reports the ends that a worker listed while it does not respond", async (t) => {
  const { clock, worker, agent } = await createSilentWorker();
  worker.lists = createLists([1, 2]);
  await clock.advance(READING_MS);
  worker.isSilent = true;
  await clock.advance(READING_MS);
  const report = (await getReport(agent, 2))?.worker;
  t.is(report?.answers, false);
  t.deepEqual(report?.ended, [createEnd(1), createEnd(2)]);
  agent.stop();
});

// Guards against an agent whose memory and reports grow with every worker that it replaces.
test("PoolWorkerAgent drops the oldest ends of former incarnations beyond their maximum", async (t) => {
  const fixture = await createSilentWorker();
  const { clock, worker, agent } = fixture;
  const numbers = Array.from({ length: 300 }, (_, position) => position + 1);
  worker.lists = createLists(numbers);
  await clock.advance(READING_MS);
  await replaceWorker(fixture, 2, numbers);
  await clock.advance(READING_MS);
  await replaceWorker(fixture, 3);
  const formerEnds = (await getReport(agent, 1))?.formerEnds ?? [];
  t.deepEqual(
    formerEnds.map(({ worker: incarnation, ended }) => [incarnation, ended.at(0)?.number]),
    [
      ["i-1@1", 101],
      ["i-1@2", 1],
    ],
  );
  await clock.advance(600_001);
  t.deepEqual((await getReport(agent, 1))?.formerEnds, []);
  agent.stop();
});

/** Acknowledges ends of the first incarnation for a scheduler. */
async function acknowledge(agent: PoolWorkerAgent, ackedEnd: number): Promise<void> {
  const call = { epoch: 1, worker: "i-1@1", leaseUntilMs: undefined, ackedEnd, waitMs: 0 };
  await agent.observe({ ...call, ...NOTHING_KNOWN });
}

// Guards against tasks that start again although they are done: the next incarnation numbers its
// ends from 1 and would forget those up to the number that was meant for the one before.
test("PoolWorkerAgent acknowledges no end after a call without a response until the worker responds", async (t) => {
  const { clock, worker, agent } = await createSilentWorker();
  worker.lists = createLists([1, 2, 3]);
  await clock.advance(READING_MS);
  await acknowledge(agent, 2);
  await clock.advance(READING_MS);
  t.is(worker.syncs.at(-1)?.ackedEnd, 2);
  worker.isSilent = true;
  await clock.advance(READING_MS);
  t.is(worker.syncs.at(-1)?.ackedEnd, 0);
  // An acknowledgement that arrives meanwhile is meant for the same incarnation.
  await acknowledge(agent, 3);
  await clock.advance(READING_MS);
  t.is(worker.syncs.at(-1)?.ackedEnd, 0);
  worker.lists = createLists([3]);
  worker.isSilent = false;
  await clock.advance(READING_MS);
  t.is(worker.syncs.at(-1)?.ackedEnd, 3);
  agent.stop();
});

// Guards against the same where the next incarnation responds before it announces itself.
test("PoolWorkerAgent acknowledges no end to an incarnation that has not announced itself", async (t) => {
  const { clock, worker, agent } = await createSilentWorker();
  worker.lists = createLists([1, 2]);
  await clock.advance(READING_MS);
  await acknowledge(agent, 2);
  await clock.advance(READING_MS);
  worker.isSilent = true;
  await clock.advance(READING_MS);
  worker.lists = createLists([1], 2);
  await clock.advance(READING_MS);
  const position = worker.syncs.length;
  worker.isSilent = false;
  await clock.advance(READING_MS);
  announceWorker(agent, 2);
  await clock.advance(READING_MS);
  t.deepEqual(
    worker.syncs.slice(position).filter(({ ackedEnd }) => ackedEnd > 0),
    [],
  );
  t.deepEqual((await getReport(agent, 1))?.worker?.ended, [createEnd(1)]);
  agent.stop();
});

// Guards against a second call for each end: its acknowledgement is no news to the scheduler.
test("PoolWorkerAgent does not report that acknowledged ends are gone", async (t) => {
  const { clock, worker, agent } = await createSilentWorker();
  worker.lists = createLists([1]);
  await clock.advance(READING_MS);
  const known = { knownVersion: (await getReport(agent, 1))?.version ?? 0, knownProcess: "p-1" };
  const call = { epoch: 1, worker: "i-1@1", leaseUntilMs: undefined, ackedEnd: 1, ...known };
  let hasReported = false;
  const observed = agent.observe({ ...call, waitMs: READING_MS }).then((outcome) => {
    hasReported = true;
    return outcome;
  });
  await ManualClock.settle();
  worker.lists = createLists([]);
  await clock.advance(READING_MS - 1);
  t.is(worker.syncs.at(-1)?.ackedEnd, 1);
  t.false(hasReported);
  await clock.advance(1);
  const outcome = await observed;
  t.deepEqual(outcome.kind === "answered" && outcome.value.worker?.ended, []);
  agent.stop();
});

function getGapLines(log: MemoryLog): readonly unknown[] {
  return log.lines
    .filter(({ sentence }) => sentence.startsWith("Ends are missing"))
    .map(({ level, fields }) => ({ level, ...fields }));
}

// Guards against ends that nobody has read and that are lost without a trace, since a call for the
// incarnation before, carried out late, acknowledged them.
test("PoolWorkerAgent warns once if the numbers of the listed ends have a gap", async (t) => {
  const fixture = await createSilentWorker();
  const { clock, log, worker, agent } = fixture;
  worker.lists = createLists([1, 2]);
  await clock.advance(READING_MS);
  await acknowledge(agent, 1);
  await replaceWorker(fixture, 2);
  await clock.advance(READING_MS);
  t.deepEqual(getGapLines(log), []);
  worker.lists = createLists([3], 2);
  await clock.advance(READING_MS);
  worker.lists = createLists([3, 4, 7], 2);
  await clock.advance(READING_MS);
  t.deepEqual(getGapLines(log), [{ level: "warn", worker: "i-1@2", acked: 0, listed: 3 }]);
  agent.stop();
});

// Guards against a warning without a fault: a former process of the agent has acknowledged ends.
test("PoolWorkerAgent does not warn of ends that a former process may have acknowledged", async (t) => {
  const { clock, log, worker, agent } = await createSilentWorker();
  worker.lists = createLists([5, 6]);
  await clock.advance(READING_MS);
  await acknowledge(agent, 6);
  worker.lists = createLists([7]);
  await clock.advance(READING_MS);
  t.deepEqual(getGapLines(log), []);
  worker.lists = createLists([9]);
  await clock.advance(READING_MS);
  t.deepEqual(getGapLines(log), [{ level: "warn", worker: "i-1@1", acked: 6, listed: 9 }]);
  agent.stop();
});
