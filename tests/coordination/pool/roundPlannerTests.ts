/**
 * Tests of placement: whose turn it is under overload, gangs, bounds for each worker, labels, racks,
 * and where serving tasks and tasks on idle processors go.
 */
import test from "ava";
import {
  PlacementBoard,
  type BoardContext,
} from "../../../src/coordination/pool/PlacementBoard.ts";
import {
  getSlowCopies,
  getWaitingSteps,
  planRound,
  type RoundPlan,
} from "../../../src/coordination/pool/RoundPlanner.ts";
import type { WorkerRecord } from "../../../src/coordination/pool/WorkerTable.ts";
import type { StepDefinition } from "../../../src/protocol/pool/JobDefinition.ts";
import { NO_RESOURCES } from "../../../src/protocol/Resources.ts";
import { JobState } from "../../../src/state/pool/JobState.ts";
import type { JobRecord } from "../../../src/state/pool/records.ts";
import { createJobRecord, createStep, createWorkerReport } from "../../support/poolFixtures.ts";

const NOTHING_DISTURBS: Pick<BoardContext, "getRoomMilli"> = {
  getRoomMilli: () => Number.POSITIVE_INFINITY,
};

function createWorker(name: string, processorsMilli: number, rack = "rack-1"): WorkerRecord {
  const capacity = { processorsMilli, memoryBytes: 1_000_000, accelerators: 0 };
  const labels = ["kind-a", rack];
  return {
    agent: name,
    report: createWorkerReport({ worker: `${name}@1`, capacity, rack, labels }),
    reportedAt: 0,
    answeredAt: 0,
    lapsesAt: 6_000,
    leavesAt: undefined,
    seenEnd: 0,
    pausedUntil: 0,
  };
}

function createBoard(
  workers: readonly WorkerRecord[],
  disturbs: Partial<typeof NOTHING_DISTURBS> = {},
): PlacementBoard {
  return new PlacementBoard(workers, {
    admissions: new Map(),
    getCommitted: () => NO_RESOURCES,
    ...NOTHING_DISTURBS,
    ...disturbs,
  });
}

function createJob(
  number: number,
  step: Partial<StepDefinition>,
  record: Partial<JobRecord> = {},
): JobState {
  const id = number.toString(16).padStart(16, "0");
  return new JobState(id, createJobRecord([createStep(step)], record), undefined, 0);
}

function plan(jobs: readonly JobState[], board: PlacementBoard, now = 0): RoundPlan {
  return planRound(getWaitingSteps(jobs, now), board);
}

function getTargets(result: RoundPlan): readonly string[] {
  return result.runs.map(({ target }) => target.agent);
}

test("RoundPlanner places by priority, then those that can still be in time, then by latest start", (t) => {
  const jobs = [
    createJob(1, {}, { priority: 2, acceptedAtMs: 9_000 }),
    createJob(2, {}, { acceptedAtMs: 0 }),
    createJob(3, {}, { acceptedAtMs: 9_500 }),
    createJob(4, {}, { acceptedAtMs: 9_000 }),
    createJob(5, {}, { acceptedAtMs: 7_000 }),
  ];
  const order = getWaitingSteps(jobs, 10_000).map(({ job }) => Number(job.id));
  t.deepEqual(order, [4, 3, 5, 2, 1]);
});

test("RoundPlanner says which steps found no room", (t) => {
  const jobs = [createJob(1, { taskCount: 6 }), createJob(2, { taskCount: 1 })];
  const result = plan(jobs, createBoard([createWorker("a", 4_000)]));
  t.is(result.runs.length, 4);
  t.deepEqual(
    result.waiting.map(({ job }) => Number(job.id)),
    [1, 2],
  );
});

test("RoundPlanner places a gang whole, with one run number, or not at all", (t) => {
  const gang = createJob(1, { taskCount: 4, gang: true });
  const small = createBoard([createWorker("a", 3_000)]);
  t.deepEqual(plan([gang], small).runs, []);
  t.is(plan([createJob(2, { taskCount: 3 })], small).runs.length, 3);
  gang.getTask({ occurrence: 0, step: 0, index: 2 })?.restore({ run: 6 }, 0);
  const { runs } = plan([gang], createBoard([createWorker("a", 3_000), createWorker("b", 3_000)]));
  t.deepEqual(
    runs.map(({ run }) => run),
    [7, 7, 7, 7],
  );
});

test("RoundPlanner keeps a gang on one rack where it asks for that", (t) => {
  const gang = createJob(1, { taskCount: 3, gang: true, sameRack: true });
  const workers = [
    createWorker("a", 2_000, "rack-1"),
    createWorker("b", 2_000, "rack-2"),
    createWorker("c", 2_000, "rack-2"),
  ];
  const targets = getTargets(plan([gang], createBoard(workers)));
  t.is(targets.length, 3);
  t.false(targets.includes("a"));
});

test("RoundPlanner keeps bounds for each worker and required labels", (t) => {
  const workers = [createWorker("a", 9_000, "rack-1"), createWorker("b", 9_000, "rack-2")];
  const bounded = plan([createJob(1, { taskCount: 5, maxPerWorker: 2 })], createBoard(workers));
  t.deepEqual(getTargets(bounded).toSorted(), ["a", "a", "b", "b"]);
  const labelled = createJob(2, { taskCount: 3, requiredLabel: "rack-2" });
  t.deepEqual(getTargets(plan([labelled], createBoard(workers))), ["b", "b", "b"]);
});

test("RoundPlanner prefers the rack of the data, but does not wait for it", (t) => {
  const workers = [createWorker("a", 2_000, "rack-1"), createWorker("b", 1_000, "rack-2")];
  const job = createJob(1, { taskCount: 2, dataRack: "rack-2" });
  t.deepEqual(getTargets(plan([job], createBoard(workers))), ["b", "a"]);
});

test("RoundPlanner keeps serving tasks together by image and leaves workers free of them", (t) => {
  const workers = ["a", "b", "c"].map((name) => createWorker(name, 8_000));
  const serving = { taskCount: 3, latencyTargetMs: 20, image: "serving-a" };
  const targets = getTargets(plan([createJob(1, serving)], createBoard(workers)));
  t.is(new Set(targets).size, 1);
});

test("RoundPlanner commits no processors for tasks on idle ones, and keeps them off whom they disturb", (t) => {
  const workers = [createWorker("a", 2_000), createWorker("b", 2_000)];
  const idle = { usesIdleProcessors: true, image: "idle-a", taskCount: 6 };
  t.is(plan([createJob(1, idle)], createBoard(workers)).runs.length, 6);
  const board = createBoard(workers, { getRoomMilli: () => 100 });
  t.is(plan([createJob(2, idle)], board).runs.length, 1, "one task runs wherever it must");
});

test("RoundPlanner places no more tasks on idle processors than a worker bears, measured or not", (t) => {
  const idle = { usesIdleProcessors: true, image: "idle-a", taskCount: 6 };
  const board = createBoard([createWorker("a", 8_000)], { getRoomMilli: () => 3_000 });
  t.is(plan([createJob(1, idle)], board).runs.length, 3);
  const later = createBoard([createWorker("a", 8_000)], { getRoomMilli: () => 3_000 });
  const definition = createStep(idle);
  later.noteRun("a", "other.0.0.0", definition, false);
  later.noteRun("a", "other.0.0.0", definition, true);
  t.is(plan([createJob(2, idle)], later).runs.length, 2);
});

test("PlacementBoard tells where a task is better off", (t) => {
  const idle = createStep({ usesIdleProcessors: true, image: "idle-a" });
  const workers = [createWorker("a", 8_000), createWorker("b", 8_000)];
  const task = { stepKey: "job.0.0.0", definition: idle, avoid: new Set<string>() };
  const isBetter = (rooms: Readonly<Record<string, number>>): boolean => {
    const board = createBoard(workers, { getRoomMilli: (worker) => rooms[worker] ?? 0 });
    return board.hasBetterPlace({ ...task, rack: undefined, isFirst: false }, "a");
  };
  t.true(isBetter({ "a@1": 100, "b@1": 2_000 }));
  t.false(isBetter({ "a@1": 100, "b@1": 200 }));
});

test("RoundPlanner copies a speculative task that is slow, on another worker, and no other task", (t) => {
  const copied = createJob(1, { speculative: true });
  const plain = createJob(2, {});
  [copied, plain].forEach((job) => {
    job.getTask({ occurrence: 0, step: 0, index: 0 })?.addRun({ agent: "a", worker: "a@1" }, 0);
  });
  const steps = getSlowCopies([copied, plain], () => true, 0);
  const board = createBoard([createWorker("a", 9_000), createWorker("b", 2_000)]);
  const { runs } = planRound(steps, board);
  t.deepEqual(
    runs.map(({ job, run, target }) => [Number(job.id), run, target.agent]),
    [[1, 2, "b"]],
  );
});

test("RoundPlanner opens occurrences when they are due, also several at once", (t) => {
  const schedule = { firstRunAtMs: 1_000, intervalMs: 500, runCount: 3 };
  const job = createJob(1, {}, { schedule });
  t.false(job.openDue(999));
  t.is(getWaitingSteps([job], 999).length, 0);
  t.true(job.openDue(1_600));
  t.deepEqual(
    getWaitingSteps([job], 1_600).map(({ step }) => step.occurrence),
    [0, 1],
  );
  t.true(job.openDue(99_000));
  t.is(getWaitingSteps([job], 99_000).length, 3);
});
