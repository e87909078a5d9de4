/**
 * Tests of what is done about runs as time passes.
 */
import test from "ava";
import { getRunStep, type RunPlace } from "../../../src/coordination/pool/RunWatch.ts";
import type { WorkerRecord } from "../../../src/coordination/pool/WorkerTable.ts";
import { TaskState, type ActiveRun } from "../../../src/state/pool/TaskState.ts";
import type { BookedRun } from "../../../src/coordination/pool/RunBook.ts";
import { createStep, createWorkerReport } from "../../support/poolFixtures.ts";

const JOB = "0123456789abcdef";
const WORKER = "i-1@100";

function createBooked(change: Partial<ActiveRun>): BookedRun {
  const address = { job: JOB, occurrence: 0, step: 0, index: 0 };
  const task = new TaskState(address, createStep({ estimateMs: 1_000 }));
  const { run } = task.addRun({ agent: "agent-1", worker: WORKER }, 0);
  task.changeRun(run, change);
  const active = task.getRun(run);
  if (active === undefined) {
    throw new Error("the run is not there");
  }
  return { task, active };
}

function createPlace(change: Partial<WorkerRecord> = {}): RunPlace {
  const worker: WorkerRecord = {
    agent: "agent-1",
    report: createWorkerReport(),
    reportedAt: 0,
    answeredAt: 0,
    lapsesAt: 6_000,
    leavesAt: undefined,
    seenEnd: 0,
    pausedUntil: 0,
    ...change,
  };
  return { worker, takeoverLapsesAt: 16_000 };
}

test("RunWatch sends a start without a result again", (t) => {
  const booked = createBooked({ phase: "ordered", since: 0, tries: 1 });
  t.is(getRunStep(booked, createPlace(), 100).kind, "none");
  t.is(getRunStep(booked, createPlace(), 1_000).kind, "start");
});

test("RunWatch stops a run whose starts got no answer", (t) => {
  const booked = createBooked({ phase: "ordered", since: 0, tries: 4 });
  t.is(getRunStep(booked, createPlace(), 1_000).kind, "stop");
});

test("RunWatch tells a run to stop again while the worker goes on listing it", (t) => {
  const booked = createBooked({ phase: "stopping", since: 0, callNumber: 3, stopReason: "why" });
  t.deepEqual(getRunStep(booked, createPlace(), 5_000), { kind: "stop", reason: "why" });
});

test("RunWatch stops a run that makes no progress, unless it is slowed or at work for good", (t) => {
  const stalled = { phase: "running", since: 0, percent: 30, progressedAt: 0 } as const;
  const getPlace = (answeredAt: number): RunPlace => createPlace({ answeredAt });
  t.is(getRunStep(createBooked(stalled), getPlace(1_000), 1_000).kind, "none");
  t.is(getRunStep(createBooked(stalled), getPlace(3_000), 3_000).kind, "stop");
  const paced = createBooked({ ...stalled, pacePercent: 0 });
  t.is(getRunStep(paced, getPlace(3_000), 3_000).kind, "none");
  const atWork = createBooked({ ...stalled, percent: 100 });
  t.is(getRunStep(atWork, getPlace(3_000), 3_000).kind, "none");
});

test("RunWatch does not take a run for stalled whose worker has not been heard of", (t) => {
  const running = createBooked({ phase: "running", since: 0, percent: 30, progressedAt: 0 });
  t.is(getRunStep(running, createPlace({ answeredAt: 500 }), 4_000).kind, "none");
});

test("RunWatch takes a run for ended only when no lease can hold it", (t) => {
  const booked = createBooked({ phase: "running", since: 0, percent: 100 });
  t.is(getRunStep(booked, createPlace(), 5_999).kind, "none");
  t.is(getRunStep(booked, createPlace(), 6_000).kind, "void");
});

test("RunWatch takes a run for ended where a later incarnation is in place, not an earlier one", (t) => {
  const booked = createBooked({ phase: "unconfirmed", since: 0 });
  const later = createPlace({ report: createWorkerReport({ worker: "i-1@200" }) });
  t.is(getRunStep(booked, later, 100).kind, "void");
  const earlier = createPlace({ report: createWorkerReport({ worker: "i-0@50" }) });
  t.is(getRunStep(booked, earlier, 100).kind, "none");
  t.is(getRunStep(booked, earlier, 16_000).kind, "void");
});

test("RunWatch waits out the leases of former schedulers at an agent that is not heard of", (t) => {
  const booked = createBooked({ phase: "unconfirmed", since: 0 });
  const unheard = { worker: undefined, takeoverLapsesAt: 16_000 };
  t.is(getRunStep(booked, unheard, 15_999).kind, "none");
  t.is(getRunStep(booked, unheard, 16_000).kind, "void");
});
