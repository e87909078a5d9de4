/**
 * Tests of what is done about runs as time passes.
 */
import test from "ava";
import { getRunAction, type RunContext } from "../../../src/coordination/pool/runMonitor.ts";
import type { WorkerState } from "../../../src/coordination/pool/WorkerTable.ts";
import { TaskState, type ActiveRun } from "../../../src/state/pool/TaskState.ts";
import type { ActiveTaskRun } from "../../../src/coordination/pool/ActiveRunTable.ts";
import { createStep, createWorkerReport } from "../../support/poolFixtures.ts";

const JOB = "0123456789abcdef";
const WORKER = "i-1@100";

function createActiveRun(change: Partial<ActiveRun>): ActiveTaskRun {
  const address = { job: JOB, occurrence: 0, step: 0, index: 0 };
  const task = new TaskState(address, createStep({ estimateMs: 1_000 }));
  const { run } = task.addRun({ agent: "agent-1", worker: WORKER }, 0);
  task.updateRun(run, change);
  const active = task.getRun(run);
  if (active === undefined) {
    throw new Error("the run is not there");
  }
  return { task, active };
}

function createContext(change: Partial<WorkerState> = {}): RunContext {
  const worker: WorkerState = {
    agent: "agent-1",
    report: createWorkerReport(),
    reportedAt: 0,
    answeredAt: 0,
    leasesExpireBy: 6_000,
    mayExitAt: undefined,
    lastHandledEnd: 0,
    backoffUntil: 0,
    ...change,
  };
  return { worker, formerLeasesExpireBy: 16_000 };
}

test("RunWatch sends a start without a result again", (t) => {
  const booked = createActiveRun({ phase: "ordered", since: 0, tries: 1 });
  t.is(getRunAction(booked, createContext(), 100).kind, "none");
  t.is(getRunAction(booked, createContext(), 1_000).kind, "start");
});

test("RunWatch stops a run whose starts got no answer", (t) => {
  const booked = createActiveRun({ phase: "ordered", since: 0, tries: 4 });
  t.is(getRunAction(booked, createContext(), 1_000).kind, "stop");
});

test("RunWatch tells a run to stop again while the worker goes on listing it", (t) => {
  const booked = createActiveRun({ phase: "stopping", since: 0, callNumber: 3, stopReason: "why" });
  t.deepEqual(getRunAction(booked, createContext(), 5_000), { kind: "stop", reason: "why" });
});

test("RunWatch stops a run that makes no progress, unless it is slowed or at work for good", (t) => {
  const stalled = { phase: "running", since: 0, percent: 30, progressedAt: 0 } as const;
  const getPlace = (answeredAt: number): RunContext => createContext({ answeredAt });
  t.is(getRunAction(createActiveRun(stalled), getPlace(1_000), 1_000).kind, "none");
  t.is(getRunAction(createActiveRun(stalled), getPlace(3_000), 3_000).kind, "stop");
  const paced = createActiveRun({ ...stalled, pacePercent: 0 });
  t.is(getRunAction(paced, getPlace(3_000), 3_000).kind, "none");
  const atWork = createActiveRun({ ...stalled, percent: 100 });
  t.is(getRunAction(atWork, getPlace(3_000), 3_000).kind, "none");
});

test("RunWatch does not take a run for stalled whose worker has not been heard of", (t) => {
  const running = createActiveRun({ phase: "running", since: 0, percent: 30, progressedAt: 0 });
  t.is(getRunAction(running, createContext({ answeredAt: 500 }), 4_000).kind, "none");
});

test("RunWatch takes a run for ended only when no lease can hold it", (t) => {
  const booked = createActiveRun({ phase: "running", since: 0, percent: 100 });
  t.is(getRunAction(booked, createContext(), 5_999).kind, "none");
  t.is(getRunAction(booked, createContext(), 6_000).kind, "void");
});

test("RunWatch takes a run for ended where a later incarnation is in place, not an earlier one", (t) => {
  const booked = createActiveRun({ phase: "unconfirmed", since: 0 });
  const later = createContext({ report: createWorkerReport({ worker: "i-1@200" }) });
  t.is(getRunAction(booked, later, 100).kind, "void");
  const earlier = createContext({ report: createWorkerReport({ worker: "i-0@50" }) });
  t.is(getRunAction(booked, earlier, 100).kind, "none");
  t.is(getRunAction(booked, earlier, 16_000).kind, "void");
});

test("RunWatch waits out the leases of former schedulers at an agent that is not heard of", (t) => {
  const booked = createActiveRun({ phase: "unconfirmed", since: 0 });
  const unheard = { worker: undefined, formerLeasesExpireBy: 16_000 };
  t.is(getRunAction(booked, unheard, 15_999).kind, "none");
  t.is(getRunAction(booked, unheard, 16_000).kind, "void");
});
