/**
 * Tests of the actions that become due for active runs as time passes.
 */
import test from "ava";
import { getRunAction, type RunContext } from "../../../src/coordination/pool/runMonitor.ts";
import type { WorkerReport } from "../../../src/coordination/pool/AgentChannel.ts";
import type { WorkerState } from "../../../src/coordination/pool/WorkerTable.ts";
import { TaskState, type ActiveRun } from "../../../src/state/pool/TaskState.ts";
import type { ActiveTaskRun } from "../../../src/coordination/pool/ActiveRunTable.ts";
import { createStep, createWorkerReport } from "../../support/poolFixtures.ts";

const JOB = "0123456789abcdef";
const WORKER = "i-1@100";
/** Process of the agent that reports, and numbers its calls. */
const PROCESS = "p-1";

function createActiveRun(overrides: Partial<ActiveRun>): ActiveTaskRun {
  const address = { job: JOB, occurrence: 0, step: 0, index: 0 };
  const task = new TaskState(address, createStep({ estimateMs: 1_000 }));
  const { run } = task.addRun({ agent: "agent-1", worker: WORKER }, 0);
  task.updateRun(run, { callProcess: PROCESS, ...overrides });
  const active = task.getRun(run);
  if (active === undefined) {
    throw new Error("the added run is missing from its task");
  }
  return { task, active };
}

function createContext(overrides: Partial<WorkerState> = {}): RunContext {
  const worker: WorkerState = {
    agent: "agent-1",
    report: createWorkerReport(),
    process: PROCESS,
    reportedAt: 0,
    answeredAt: 0,
    leasesExpireBy: 6_000,
    mayExitAt: undefined,
    backoffUntil: 0,
    ...overrides,
  };
  return { worker, formerLeasesExpireBy: 16_000, stopReason: undefined };
}

test("runMonitor resends a start order without a result", (t) => {
  const activeRun = createActiveRun({ phase: "ordered", since: 0, tries: 1 });
  t.is(getRunAction(activeRun, createContext(), 100).kind, "none");
  t.is(getRunAction(activeRun, createContext(), 1_000).kind, "start");
});

// Guards against a run that waits for ever: its start was executed by a process of the agent that has
// not reported, and never will.
test("runMonitor resends a start order whose result is of another process of the agent", (t) => {
  const ordered = { phase: "ordered", since: 0, tries: 1, callNumber: 7 } as const;
  t.is(getRunAction(createActiveRun(ordered), createContext(), 1_000).kind, "none");
  const ofOther = createActiveRun({ ...ordered, callProcess: "p-2" });
  t.is(getRunAction(ofOther, createContext(), 100).kind, "none");
  t.is(getRunAction(ofOther, createContext(), 1_000).kind, "start");
});

test("runMonitor stops a run after its start orders got no result", (t) => {
  const activeRun = createActiveRun({ phase: "ordered", since: 0, tries: 4 });
  t.is(getRunAction(activeRun, createContext(), 1_000).kind, "stop");
});

test("runMonitor resends a stop order while the worker still lists the run", (t) => {
  const activeRun = createActiveRun({
    phase: "stopping",
    since: 0,
    callNumber: 3,
    stopReason: "why",
  });
  t.deepEqual(getRunAction(activeRun, createContext(), 5_000), { kind: "stop", reason: "why" });
});

test("runMonitor stops a run that makes no progress, unless it is paced or reports full progress", (t) => {
  const stalled = { phase: "running", since: 0, percent: 30, progressedAt: 0 } as const;
  const getContext = (answeredAt: number): RunContext => createContext({ answeredAt });
  t.is(getRunAction(createActiveRun(stalled), getContext(1_000), 1_000).kind, "none");
  t.is(getRunAction(createActiveRun(stalled), getContext(3_000), 3_000).kind, "stop");
  const paced = createActiveRun({ ...stalled, pacePercent: 0 });
  t.is(getRunAction(paced, getContext(3_000), 3_000).kind, "none");
  const working = createActiveRun({ ...stalled, percent: 100 });
  t.is(getRunAction(working, getContext(3_000), 3_000).kind, "none");
});

test("runMonitor does not treat a run as stalled while its worker has not answered", (t) => {
  const running = createActiveRun({ phase: "running", since: 0, percent: 30, progressedAt: 0 });
  t.is(getRunAction(running, createContext({ answeredAt: 500 }), 4_000).kind, "none");
});

test("runMonitor treats a run as ended only when its worker's lease has certainly ended", (t) => {
  const activeRun = createActiveRun({ phase: "running", since: 0, percent: 100 });
  t.is(getRunAction(activeRun, createContext(), 5_999).kind, "none");
  t.is(getRunAction(activeRun, createContext(), 6_000).kind, "void");
});

test("runMonitor treats a run as ended when its worker was replaced by a later incarnation, not by an earlier one", (t) => {
  const activeRun = createActiveRun({ phase: "unconfirmed", since: 0 });
  const later = createContext({ report: createWorkerReport({ worker: "i-2@200" }) });
  t.is(getRunAction(activeRun, later, 100).kind, "void");
  const earlier = createContext({ report: createWorkerReport({ worker: "i-0@50" }) });
  t.is(getRunAction(activeRun, earlier, 100).kind, "none");
  t.is(getRunAction(activeRun, earlier, 16_000).kind, "void");
});

/** Returns the action for a run of i-1@100 whose worker has started again under its id. */
function getReplacedAction(
  run: Partial<ActiveRun>,
  report: Partial<WorkerReport>,
  now = 100,
): string {
  const next = createWorkerReport({ worker: "i-1@200", callNumber: 6, ...report });
  return getRunAction(createActiveRun(run), createContext({ report: next }), now).kind;
}

(["ordered", "running", "stopping", "unconfirmed"] as const).forEach((phase) => {
  // Guards against tasks that run twice: the next incarnation under the id of a worker may execute a
  // start that was meant for the one before, until it has been ordered to stop the run.
  test(`runMonitor treats a run as ended after its worker has started again once the run is stopped there, phase ${phase}`, (t) => {
    const stopWorker = phase === "stopping" ? "i-1@100" : "";
    t.is(getReplacedAction({ phase, since: 0, stopWorker, callNumber: 5 }, {}), "stop");
    const stopping = { phase: "stopping", since: 0, stopWorker: "i-1@200" } as const;
    t.is(getReplacedAction(stopping, {}), "none");
    t.is(getReplacedAction(stopping, {}, 5_000), "stop");
    t.is(getReplacedAction({ ...stopping, callNumber: 6 }, {}), "none");
    t.is(getReplacedAction({ ...stopping, callNumber: 5, callProcess: "p-2" }, {}), "none");
    t.is(getReplacedAction({ ...stopping, callNumber: 5 }, {}), "void");
  });
});

test("runMonitor does not treat a run as ended that the next incarnation lists, or while that does not respond", (t) => {
  const stopped = { phase: "stopping", since: 0, stopWorker: "i-1@200", callNumber: 5 } as const;
  const { task, active } = createActiveRun(stopped);
  const listed = { task: task.id, run: active.run, checkpoint: "", percent: 0, measure: 0 };
  t.is(getReplacedAction(stopped, { running: [listed] }), "none");
  t.is(getReplacedAction(stopped, { answers: false }), "none");
  t.is(getReplacedAction(stopped, { mayLackEnds: true }), "none");
  t.is(getReplacedAction(stopped, { answers: false }, 6_000), "void");
});

test("runMonitor waits for the end of former schedulers' leases if the agent has not reported", (t) => {
  const activeRun = createActiveRun({ phase: "unconfirmed", since: 0 });
  const noReport = { ...createContext(), worker: undefined };
  t.is(getRunAction(activeRun, noReport, 15_999).kind, "none");
  t.is(getRunAction(activeRun, noReport, 16_000).kind, "void");
});
