/**
 * Tests of the actions that become due for active runs as time passes.
 */
import test from "ava";
import { getRunAction, type RunContext } from "../../../src/coordination/pool/runMonitor.ts";
import type { WorkerState } from "../../../src/coordination/pool/WorkerTable.ts";
import { TaskState, type ActiveRun } from "../../../src/state/pool/TaskState.ts";
import type { ActiveTaskRun } from "../../../src/coordination/pool/ActiveRunTable.ts";
import { createStep, createWorkerReport } from "../../support/poolFixtures.ts";

const JOB = "0123456789abcdef";
const WORKER = "i-1@100";

function createActiveRun(overrides: Partial<ActiveRun>): ActiveTaskRun {
  const address = { job: JOB, occurrence: 0, step: 0, index: 0 };
  const task = new TaskState(address, createStep({ estimateMs: 1_000 }));
  const { run } = task.addRun({ agent: "agent-1", worker: WORKER }, 0);
  task.updateRun(run, overrides);
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
    reportedAt: 0,
    answeredAt: 0,
    leasesExpireBy: 6_000,
    mayExitAt: undefined,
    backoffUntil: 0,
    ...overrides,
  };
  return { worker, formerLeasesExpireBy: 16_000 };
}

test("runMonitor resends a start order without a result", (t) => {
  const activeRun = createActiveRun({ phase: "ordered", since: 0, tries: 1 });
  t.is(getRunAction(activeRun, createContext(), 100).kind, "none");
  t.is(getRunAction(activeRun, createContext(), 1_000).kind, "start");
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
  const later = createContext({ report: createWorkerReport({ worker: "i-1@200" }) });
  t.is(getRunAction(activeRun, later, 100).kind, "void");
  const earlier = createContext({ report: createWorkerReport({ worker: "i-0@50" }) });
  t.is(getRunAction(activeRun, earlier, 100).kind, "none");
  t.is(getRunAction(activeRun, earlier, 16_000).kind, "void");
});

test("runMonitor waits for the end of former schedulers' leases if the agent has not reported", (t) => {
  const activeRun = createActiveRun({ phase: "unconfirmed", since: 0 });
  const noReport = { worker: undefined, formerLeasesExpireBy: 16_000 };
  t.is(getRunAction(activeRun, noReport, 15_999).kind, "none");
  t.is(getRunAction(activeRun, noReport, 16_000).kind, "void");
});
