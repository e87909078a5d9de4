/**
 * Tests of how the scheduler handles the reports of an agent whose process is replaced, in virtual
 * time, with scripted reports.
 */
import test, { type ExecutionContext } from "ava";
import type { WorkerReport } from "../../../src/coordination/pool/AgentChannel.ts";
import { getLeaseExpiryWaitMs } from "../../../src/coordination/pool/PoolTimings.ts";
import { createEndedRun, createWorkerReport } from "../../support/poolFixtures.ts";
import {
  addJob,
  AGENT,
  createScriptedScheduler,
  HANDLED_MS,
  type ScriptedScheduler,
} from "./createScriptedScheduler.ts";
import { TIMINGS } from "./simulatedPool.ts";

/** Number of the call of the first process after which its worker was given the run. */
const FORMER_CALL = 50;

const REASON = "its worker does not list it (ordered)";
const UNKNOWN_WORKER = undefined;
const SILENT_WORKER = createWorkerReport({ callNumber: 0, answers: false });

/** Checks that a report of process "b" shows no run lost, and its lists of a later call one. */
async function expectLostFrom(
  t: ExecutionContext,
  { clock, channel, scheduler, getLostReasons }: ScriptedScheduler,
  first: WorkerReport | undefined,
  callNumber: number,
): Promise<void> {
  channel.setReport("b", first);
  await clock.advance(HANDLED_MS);
  t.deepEqual(getLostReasons(), []);
  channel.setReport("b", createWorkerReport({ callNumber }));
  await clock.advance(HANDLED_MS);
  t.deepEqual(getLostReasons(), [REASON]);
  scheduler.stop();
}

[
  { title: "does not know its worker yet", first: UNKNOWN_WORKER },
  { title: "has no answer of its worker yet", first: SILENT_WORKER },
].forEach(({ title, first }) => {
  // Guards against an accepted task that does not run, because its run, which was ordered from the
  // former process of the agent, is found lost only after as many calls of the new process.
  test(`AgentReportHandler finds a run lost after a new process that ${title}`, async (t) => {
    const fixture = await createScriptedScheduler();
    const { channel } = fixture;
    channel.orderCallNumber = FORMER_CALL;
    await addJob(fixture, { longRunning: true });
    t.is(channel.starts.length, 1);
    await expectLostFrom(t, fixture, first, 3);
  });
});

// Guards against a second run of a task whose first one was ordered from the new process: lists of a
// call that was in progress then do not show it.
test("AgentReportHandler retains a run that a new process started before its first lists", async (t) => {
  const fixture = await createScriptedScheduler();
  const { clock, channel } = fixture;
  channel.setReport("b", UNKNOWN_WORKER);
  await clock.advance(HANDLED_MS);
  channel.orderCallNumber = 1;
  await addJob(fixture, { longRunning: true });
  t.is(channel.starts.length, 1);
  await expectLostFrom(t, fixture, createWorkerReport({ callNumber: 1 }), 2);
});

// Guards against a second run of a task whose first one goes on: the first report of the new process
// reset the call number that the process itself had named for the run.
test("AgentReportHandler retains a run that a new process started before its first report", async (t) => {
  const fixture = await createScriptedScheduler();
  const { channel } = fixture;
  channel.orderCallNumber = 2;
  channel.orderProcess = "b";
  await addJob(fixture, { longRunning: true });
  t.is(channel.starts.length, 1);
  await expectLostFrom(t, fixture, createWorkerReport({ callNumber: 2 }), 3);
});

// Guards against the end of a run that is acknowledged without a trace because nothing waits for it.
test("AgentReportHandler logs each end of a run that is not active once", async (t) => {
  const fixture = await createScriptedScheduler();
  const { clock, log, channel, scheduler } = fixture;
  const ended = createEndedRun({ run: 7, outcome: "failed" });
  // Agents repeat ends until these are acknowledged.
  channel.setReport("a", createWorkerReport({ ended: [ended] }));
  await clock.advance(HANDLED_MS);
  channel.setReport("a", createWorkerReport({ callNumber: 2, ended: [ended] }));
  await clock.advance(HANDLED_MS);
  const { task, run, outcome, number } = ended;
  t.deepEqual(
    log.lines
      .filter(({ sentence }) => sentence.startsWith("A run that is not active has ended"))
      .map(({ fields }) => fields),
    [{ task, run, agent: AGENT, worker: createWorkerReport().worker, outcome, number }],
  );
  scheduler.stop();
});

// Guards against an end that is acknowledged before it is stored, so that its task runs again after
// a takeover: it was handled again once another incarnation had been reported in between.
test("AgentReportHandler handles an end once although another incarnation is reported in between", async (t) => {
  const fixture = await createScriptedScheduler();
  const { clock, channel, scheduler, store } = fixture;
  const former = createWorkerReport({ worker: "i-1@100", ended: [createEndedRun()] });
  const later = createWorkerReport({ worker: "i-1@200" });
  await addJob(fixture);
  t.is(channel.starts.length, 1);
  store.faults.outage = true;
  channel.setReport("a", former);
  await clock.advance(HANDLED_MS);
  channel.setReport("a", later);
  // The former incarnation counts again once no lease of the later one can be valid.
  await clock.advance(getLeaseExpiryWaitMs(TIMINGS.workerLeaseMs) + HANDLED_MS);
  channel.setReport("b", former);
  await clock.advance(TIMINGS.observeWaitMs);
  t.is(scheduler.state.workerTable.getWorker(AGENT)?.report.worker, former.worker);
  t.is(channel.ackedEnds.get(former.worker), 0);
  store.faults.outage = false;
  await clock.advance(TIMINGS.observeWaitMs + HANDLED_MS);
  t.is(channel.ackedEnds.get(former.worker), 1);
  scheduler.stop();
});

[
  { title: "briefly where a suspected task is tried", elapsedMs: 300, isBrief: true },
  { title: "no shorter where a task worked for long before a crash", elapsedMs: 60_000 },
].forEach(({ title, elapsedMs, isBrief = false }) => {
  // Guards against agents that are called ten times as often, for as long as their tasks had worked
  // before an ordinary crash.
  test(`AgentReportHandler waits ${title}`, async (t) => {
    const fixture = await createScriptedScheduler();
    const { clock, channel, scheduler } = fixture;
    await addJob(fixture, { longRunning: true });
    const [first = { task: "", run: 0 }] = channel.starts;
    const next = createWorkerReport({ worker: "i-2@200", callNumber: 2 });
    const crash = { worker: createWorkerReport().worker, runs: [{ ...first, elapsedMs }] };
    channel.orderCallNumber = next.callNumber;
    channel.setReport("a", next, [crash]);
    await clock.advance(TIMINGS.observeWaitMs + HANDLED_MS);
    t.is(channel.starts.length, 2);
    t.true(channel.lastWaitMs > 0);
    t.is(channel.lastWaitMs < TIMINGS.observeWaitMs, isBrief);
    scheduler.stop();
  });
});
