/**
 * Tests of placement: scheduling order under overload, gangs, limits per worker, labels, racks, and
 * the workers chosen for serving tasks and for tasks on idle processors.
 */
import test from "ava";
import {
  PlacementState,
  type PlacementContext,
} from "../../../src/coordination/pool/PlacementState.ts";
import {
  getSpeculativeSteps,
  getWaitingSteps,
  placeSteps,
  type PlacementResult,
} from "../../../src/coordination/pool/taskPlacement.ts";
import type { WorkerState } from "../../../src/coordination/pool/WorkerTable.ts";
import type { StepDefinition } from "../../../src/protocol/pool/JobDefinition.ts";
import { NO_RESOURCES } from "../../../src/protocol/Resources.ts";
import { JobState } from "../../../src/state/pool/JobState.ts";
import type { JobRecord } from "../../../src/state/pool/records.ts";
import {
  createJobId,
  createJobRecord,
  createStep,
  createWorkerReport,
} from "../../support/poolFixtures.ts";

const NO_DISTURBANCE: Pick<PlacementContext, "getToleratedMilli"> = {
  getToleratedMilli: () => Number.POSITIVE_INFINITY,
};

function createWorker(name: string, processorsMilli: number, rack = "rack-1"): WorkerState {
  const capacity = { processorsMilli, memoryBytes: 1_000_000, accelerators: 0 };
  const labels = ["kind-a", rack];
  return {
    agent: name,
    process: "",
    report: createWorkerReport({ worker: `${name}@1`, capacity, rack, labels }),
    reportedAt: 0,
    answeredAt: 0,
    leasesExpireBy: 6_000,
    mayExitAt: undefined,
    backoffUntil: 0,
  };
}

function createPlacementState(
  workers: readonly WorkerState[],
  overrides: Partial<typeof NO_DISTURBANCE> = {},
): PlacementState {
  return new PlacementState(workers, {
    admissions: new Map(),
    trialCount: 0,
    getCommitted: () => NO_RESOURCES,
    ...NO_DISTURBANCE,
    ...overrides,
  });
}

function createJob(
  number: number,
  step: Partial<StepDefinition>,
  record: Partial<JobRecord> = {},
): JobState {
  return new JobState(
    createJobId(number),
    createJobRecord([createStep(step)], record),
    undefined,
    0,
  );
}

function placeJobs(jobs: readonly JobState[], placement: PlacementState, now = 0): PlacementResult {
  return placeSteps(getWaitingSteps(jobs, now), placement);
}

function getTargets(result: PlacementResult): readonly string[] {
  return result.runs.map(({ target }) => target.agent);
}

test("taskPlacement orders steps by priority, then by lateness, then by latest start", (t) => {
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

test("taskPlacement returns the steps that could not be placed completely", (t) => {
  const jobs = [createJob(1, { taskCount: 6 }), createJob(2, { taskCount: 1 })];
  const result = placeJobs(jobs, createPlacementState([createWorker("a", 4_000)]));
  t.is(result.runs.length, 4);
  t.deepEqual(
    result.unplaced.map(({ job }) => Number(job.id)),
    [1, 2],
  );
});

test("taskPlacement places a gang as a whole, with one run number, or not at all", (t) => {
  const gang = createJob(1, { taskCount: 4, gang: true });
  const smallWorker = createPlacementState([createWorker("a", 3_000)]);
  t.deepEqual(placeJobs([gang], smallWorker).runs, []);
  t.is(placeJobs([createJob(2, { taskCount: 3 })], smallWorker).runs.length, 3);
  gang.getTask({ occurrence: 0, step: 0, index: 2 })?.restore({ run: 6 }, 0);
  const { runs } = placeJobs(
    [gang],
    createPlacementState([createWorker("a", 3_000), createWorker("b", 3_000)]),
  );
  t.deepEqual(
    runs.map(({ run }) => run),
    [7, 7, 7, 7],
  );
});

test("taskPlacement places a gang on one rack if it requests that", (t) => {
  const gang = createJob(1, { taskCount: 3, gang: true, sameRack: true });
  const workers = [
    createWorker("a", 2_000, "rack-1"),
    createWorker("b", 2_000, "rack-2"),
    createWorker("c", 2_000, "rack-2"),
  ];
  const targets = getTargets(placeJobs([gang], createPlacementState(workers)));
  t.is(targets.length, 3);
  t.false(targets.includes("a"));
});

test("taskPlacement respects maxPerWorker and required labels", (t) => {
  const workers = [createWorker("a", 9_000, "rack-1"), createWorker("b", 9_000, "rack-2")];
  const bounded = placeJobs(
    [createJob(1, { taskCount: 5, maxPerWorker: 2 })],
    createPlacementState(workers),
  );
  t.deepEqual(getTargets(bounded).toSorted(), ["a", "a", "b", "b"]);
  const labelled = createJob(2, { taskCount: 3, requiredLabel: "rack-2" });
  t.deepEqual(getTargets(placeJobs([labelled], createPlacementState(workers))), ["b", "b", "b"]);
});

test("taskPlacement prefers the rack of the data, but does not wait for it", (t) => {
  const workers = [createWorker("a", 2_000, "rack-1"), createWorker("b", 1_000, "rack-2")];
  const job = createJob(1, { taskCount: 2, dataRack: "rack-2" });
  t.deepEqual(getTargets(placeJobs([job], createPlacementState(workers))), ["b", "a"]);
});

test("taskPlacement packs serving tasks by image and leaves workers without any", (t) => {
  const workers = ["a", "b", "c"].map((name) => createWorker(name, 8_000));
  const serving = { taskCount: 3, latencyTargetMs: 20, image: "serving-a" };
  const targets = getTargets(placeJobs([createJob(1, serving)], createPlacementState(workers)));
  t.is(new Set(targets).size, 1);
});

test("taskPlacement commits no processors for tasks on idle ones and avoids disturbing serving tasks", (t) => {
  const workers = [createWorker("a", 2_000), createWorker("b", 2_000)];
  const idle = { usesIdleProcessors: true, image: "idle-a", taskCount: 6 };
  t.is(placeJobs([createJob(1, idle)], createPlacementState(workers)).runs.length, 6);
  const placement = createPlacementState(workers, { getToleratedMilli: () => 100 });
  t.is(
    placeJobs([createJob(2, idle)], placement).runs.length,
    1,
    "the first task of a step is placed even where little of it is tolerated",
  );
});

test("taskPlacement places no more tasks on idle processors than a worker tolerates, measured or not", (t) => {
  const idle = { usesIdleProcessors: true, image: "idle-a", taskCount: 6 };
  const placement = createPlacementState([createWorker("a", 8_000)], {
    getToleratedMilli: () => 3_000,
  });
  t.is(placeJobs([createJob(1, idle)], placement).runs.length, 3);
  const later = createPlacementState([createWorker("a", 8_000)], {
    getToleratedMilli: () => 3_000,
  });
  const definition = createStep(idle);
  const run = { stepKey: "other.0.0.0", definition, suspicion: "none", isNew: false } as const;
  later.addRuns("a", [{ ...run, isMeasured: false }]);
  later.addRuns("a", [{ ...run, isMeasured: true }]);
  t.is(placeJobs([createJob(2, idle)], later).runs.length, 2);
});

test("PlacementState reports whether another worker suits a task better", (t) => {
  const idle = createStep({ usesIdleProcessors: true, image: "idle-a" });
  const workers = [createWorker("a", 8_000), createWorker("b", 8_000)];
  const task = { stepKey: "job.0.0.0", definition: idle, avoidedAgents: new Set<string>() };
  const isBetter = (tolerated: Readonly<Record<string, number>>): boolean => {
    const placement = createPlacementState(workers, {
      getToleratedMilli: (worker) => tolerated[worker] ?? 0,
    });
    return placement.hasBetterWorker(
      { ...task, rack: undefined, isFirstOfStep: false, suspicion: "none" },
      "a",
    );
  };
  t.true(isBetter({ "a@1": 100, "b@1": 2_000 }));
  t.false(isBetter({ "a@1": 100, "b@1": 200 }));
});

test("taskPlacement starts speculative runs only of slow speculative tasks, on another worker", (t) => {
  const speculative = createJob(1, { speculative: true });
  const plain = createJob(2, {});
  [speculative, plain].forEach((job) => {
    job.getTask({ occurrence: 0, step: 0, index: 0 })?.addRun({ agent: "a", worker: "a@1" }, 0);
  });
  const steps = getSpeculativeSteps([speculative, plain], () => true, 0);
  const placement = createPlacementState([createWorker("a", 9_000), createWorker("b", 2_000)]);
  const { runs } = placeSteps(steps, placement);
  t.deepEqual(
    runs.map(({ job, run, target }) => [Number(job.id), run, target.agent]),
    [[1, 2, "b"]],
  );
});

test("taskPlacement sees occurrences when they are due, including several at once", (t) => {
  const schedule = { firstRunAtMs: 1_000, intervalMs: 500, runCount: 3 };
  const job = createJob(1, {}, { schedule });
  t.false(job.openDueOccurrences(999));
  t.is(getWaitingSteps([job], 999).length, 0);
  t.true(job.openDueOccurrences(1_600));
  t.deepEqual(
    getWaitingSteps([job], 1_600).map(({ step }) => step.occurrence),
    [0, 1],
  );
  t.true(job.openDueOccurrences(99_000));
  t.is(getWaitingSteps([job], 99_000).length, 3);
});
