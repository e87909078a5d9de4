/**
 * Tests of where tasks are placed that may crash the workers that start them: a trial is kept apart
 * from all else, so that another crash convicts no other task, and takes few workers from others.
 */
import test from "ava";
import { PlacementState } from "../../../src/coordination/pool/PlacementState.ts";
import {
  getSpeculativeSteps,
  getWaitingSteps,
  placeSteps,
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

const STEP = createStep();
/** A run of another step that is not suspected. */
const RUN = {
  ...{ stepKey: "other", definition: STEP, isMeasured: true, isNew: false },
  suspicion: "none",
} as const;
const SOON_MS = 300;
const LATER_MS = 5_000;

function createWorkers(processorsMilli: readonly number[]): readonly WorkerState[] {
  return processorsMilli.map((processors, position) => {
    const capacity = { processorsMilli: processors, memoryBytes: 1_000_000, accelerators: 0 };
    return {
      ...{ agent: `agent-${position}`, process: "" },
      report: createWorkerReport({ worker: `i-${position}@1`, capacity }),
      ...{ reportedAt: 0, answeredAt: 0, leasesExpireBy: 6_000, backoffUntil: 0 },
      mayExitAt: undefined,
    };
  });
}

function createPlacement(...processorsMilli: readonly number[]): PlacementState {
  return createCrowdedPlacement(0, ...processorsMilli);
}

/** Creates the state of workers while a number of tasks wait to be tried. */
function createCrowdedPlacement(
  trialCount: number,
  ...processorsMilli: readonly number[]
): PlacementState {
  return new PlacementState(createWorkers(processorsMilli), {
    ...{ admissions: new Map(), trialCount },
    getCommitted: () => NO_RESOURCES,
    getToleratedMilli: () => Number.POSITIVE_INFINITY,
  });
}

/** Creates a job of which the first tasks are suspected. */
function createJob(
  number: number,
  suspectCount: number,
  step: Partial<StepDefinition> = {},
  { elapsedMs = SOON_MS, ...record }: Partial<JobRecord> & { elapsedMs?: number } = {},
): JobState {
  const definition = createJobRecord([createStep(step)], record);
  const job = new JobState(createJobId(number), definition, undefined, 0);
  [...job.tasks].slice(0, suspectCount).forEach((task) => {
    task.crashHistory.recordCrash(1, elapsedMs);
  });
  return job;
}

function place(jobs: readonly JobState[], placement: PlacementState): readonly string[] {
  return placeSteps(getWaitingSteps(jobs, 0), placement).runs.map(
    ({ job, task, target }) => `${Number(job.id)}.${task.address.index} ${target.agent}`,
  );
}

test("PlacementState tries a suspected task on the emptiest worker, with nothing else there", (t) => {
  const jobs = [createJob(1, 0, { taskCount: 8 }), createJob(2, 1)];
  const placed = place(jobs, createPlacement(4_000, 6_000, 5_000));
  t.is(placed[0], "2.0 agent-1");
  t.is(placed.length, 1 + 8);
  t.false(placed.slice(1).some((run) => run.endsWith("agent-1")));
});

test("PlacementState tries suspected tasks on a fifth of the workers, on one at least", (t) => {
  const countTrials = (workerCount: number): number =>
    place(
      [createJob(1, 4, { taskCount: 4 })],
      createPlacement(...Array.from({ length: workerCount }, () => 4_000)),
    ).length;
  t.deepEqual([1, 4, 5, 9, 10, 15].map(countTrials), [1, 1, 1, 1, 2, 3]);
});

test("PlacementState keeps trials and new tasks apart, whichever was there first", (t) => {
  const withTrial = createPlacement(4_000, 3_000);
  withTrial.addRuns("agent-0", [{ ...RUN, suspicion: "once" }]);
  t.deepEqual(place([createJob(1, 0, { taskCount: 2 })], withTrial), [
    "1.0 agent-1",
    "1.1 agent-1",
  ]);
  t.deepEqual(place([createJob(1, 1)], withTrial), []);
  const withNewTask = createPlacement(4_000, 3_000);
  withNewTask.addRuns("agent-0", [{ ...RUN, isNew: true }]);
  t.deepEqual(place([createJob(1, 1)], withNewTask), ["1.0 agent-1"]);
});

// Guards against tasks that wait long, as each is tried alone after many workers have crashed.
test("PlacementState tries suspected tasks in groups if many wait", (t) => {
  const workers = [8_000, 8_000, 8_000, 8_000, 8_000];
  const countByAgent = (trialCount: number): readonly number[] => {
    const placement = createCrowdedPlacement(trialCount, ...workers);
    const placed = place([createJob(1, 40, { taskCount: 40 })], placement);
    const counts = Map.groupBy(placed, (run) => run.split(" ")[1]);
    return [...counts.values()].map(({ length }) => length).toSorted();
  };
  t.deepEqual(countByAgent(4), [1]);
  t.deepEqual(countByAgent(40), [7, 7, 7]);
});

// Guards against suspected tasks that wait for ever, since others start on each worker all the time.
test("PlacementState keeps new tasks away from a worker on which a suspected task waits to be tried", (t) => {
  const placement = createPlacement(4_000, 3_000);
  placement.addRuns("agent-0", [{ ...RUN, isNew: true }]);
  placement.addRuns("agent-1", [{ ...RUN, isNew: true }]);
  const jobs = [createJob(1, 0, { taskCount: 6 }), createJob(2, 1)];
  const placed = place(jobs, placement);
  t.deepEqual(new Set(placed.map((run) => run.split(" ")[1])), new Set(["agent-1"]));
  t.is(placed.length, 3);
});

test("PlacementState keeps tasks that are suspected later in their work apart from each other", (t) => {
  const jobs = [createJob(1, 3, { taskCount: 3 }, { elapsedMs: LATER_MS })];
  const targets = place(jobs, createPlacement(9_000, 4_000, 4_000)).map((run) => run.split(" ")[1]);
  t.deepEqual(targets.toSorted(), ["agent-0", "agent-1", "agent-2"]);
});

test("taskPlacement tries suspected tasks before others of their priority, and not before higher ones", (t) => {
  const jobs = [
    createJob(1, 0, {}, { priority: 1 }),
    createJob(2, 0, {}, { priority: 2 }),
    createJob(3, 1, { taskCount: 2 }, { priority: 2 }),
  ];
  const order = getWaitingSteps(jobs, 0).map(
    ({ job, tasks }) => `${Number(job.id)}: ${tasks.map(({ address }) => address.index).join()}`,
  );
  t.deepEqual(order, ["1: 0", "3: 0", "2: 0", "3: 1"]);
});

test("taskPlacement starts a gang with suspected tasks as a whole", (t) => {
  const gang = createJob(1, 1, { taskCount: 3, gang: true });
  t.is(place([gang], createPlacement(4_000)).length, 3);
});

test("taskPlacement starts no speculative run of a suspected task", (t) => {
  const jobs = [0, 1].map((suspectCount) =>
    createJob(suspectCount + 1, suspectCount, { speculative: true }),
  );
  jobs.forEach((job) => {
    [...job.tasks][0]?.addRun({ agent: "agent-0", worker: "i-0@1" }, 0);
  });
  const steps = getSpeculativeSteps(jobs, () => true, 0);
  t.deepEqual(
    steps.map(({ job }) => Number(job.id)),
    [1],
  );
});
