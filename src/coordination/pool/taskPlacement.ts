/**
 * Placement of waiting tasks in one scheduling cycle: which ones start now and on which workers. A
 * gang is placed as a whole or not at all.
 */
import type { JobState, StepState } from "../../state/pool/JobState.ts";
import type { ActiveRun, TaskState } from "../../state/pool/TaskState.ts";
import type { CandidateWorker } from "./candidateWorker.ts";
import type { PlacementState } from "./PlacementState.ts";
import { isTrial, type PlacementTask, type Suspicion } from "./placementTask.ts";
import { compareRanks, getSchedulingRank, type SchedulingRank } from "./schedulingOrder.ts";

/**
 * Time from its start to the crash up to which a task is tried apart after one crash, in milliseconds.
 * An agent notices within some 70 ms that its worker has gone, and few tasks have just started when a
 * worker crashes by itself.
 */
export const FIRST_TRIAL_MS = 300;
/** The same if workers have crashed at the same time after two starts of the task. */
const REPEATED_TRIAL_MS = 10_000;
/** Number of runs of a task from which no more speculative runs are started. */
const MAX_RUNS_FOR_SPECULATION = 4;

/** A run to be started. */
export interface PlannedRun {
  readonly job: JobState;
  readonly task: TaskState;
  readonly run: number;
  readonly target: CandidateWorker;
}

/** A step with tasks that wait for capacity. */
export interface WaitingStep {
  readonly job: JobState;
  readonly step: StepState;
  readonly tasks: readonly TaskState[];
  readonly rank: SchedulingRank;
  /** Whether the tasks are suspected and tried apart from others. */
  readonly isTrial: boolean;
}

/** Result of placing waiting steps. */
export interface PlacementResult {
  readonly runs: readonly PlannedRun[];
  /** Steps of which not all tasks could be placed, in scheduling order. */
  readonly unplaced: readonly WaitingStep[];
}

/**
 * Returns the steps with waiting tasks, in scheduling order.
 * @param jobs - Jobs of the pool.
 * @param timeOfDayMs - Time of day in Unix milliseconds.
 */
export function getWaitingSteps(
  jobs: readonly JobState[],
  timeOfDayMs: number,
): readonly WaitingStep[] {
  return jobs
    .filter((job) => !job.isEnded)
    .flatMap((job) =>
      job.getReadySteps().flatMap((step): readonly WaitingStep[] => {
        const rank = getSchedulingRank(job, step, timeOfDayMs);
        return splitSuspects(getWaitingTasks(step), step).map((tasks) => {
          return { job, step, tasks, rank, isTrial: tasks.some(isTried) };
        });
      }),
    )
    .sort(compareWaitingSteps);
}

/**
 * Returns the steps with tasks that may get a speculative run beside a slow one, in scheduling
 * order.
 * @param jobs - Jobs of the pool.
 * @param isSlow - Returns whether a run is not expected to end soon.
 * @param timeOfDayMs - Time of day in Unix milliseconds.
 */
export function getSpeculativeSteps(
  jobs: readonly JobState[],
  isSlow: (task: TaskState, active: ActiveRun) => boolean,
  timeOfDayMs: number,
): readonly WaitingStep[] {
  return jobs
    .filter((job) => !job.isEnded)
    .flatMap((job) =>
      job.getReadySteps().flatMap((step): readonly WaitingStep[] => {
        const tasks = step.definition.speculative
          ? step.tasks.filter(
              (task) => maySpeculate(task) && task.activeRuns.every((run) => isSlow(task, run)),
            )
          : [];
        return tasks.length === 0
          ? []
          : [{ job, step, tasks, rank: getSchedulingRank(job, step, timeOfDayMs), isTrial: false }];
      }),
    )
    .sort((a, b) => compareRanks(a.rank, b.rank));
}

/**
 * Places the tasks of waiting steps.
 * @param steps - The steps, in scheduling order.
 * @param placement - State of the workers; updated with what is placed.
 */
export function placeSteps(
  steps: readonly WaitingStep[],
  placement: PlacementState,
): PlacementResult {
  const planned = steps.map((waiting) => ({ waiting, runs: placeStep(waiting, placement) }));
  return {
    runs: planned.flatMap(({ runs }) => runs),
    unplaced: planned
      .filter(({ waiting, runs }) => runs.length < waiting.tasks.length)
      .map(({ waiting }) => waiting),
  };
}

function maySpeculate(task: TaskState): boolean {
  return (
    !task.isDone &&
    !task.isSuspected &&
    task.activeRuns.length === 1 &&
    task.lastRun < MAX_RUNS_FOR_SPECULATION
  );
}

/**
 * Separates the suspected tasks of a step from the others: they have workers of their own, so that
 * one kind may find room where the other does not. A gang is not separated.
 */
function splitSuspects(
  tasks: readonly TaskState[],
  step: StepState,
): readonly (readonly TaskState[])[] {
  const groups = step.definition.gang
    ? [tasks]
    : [tasks.filter(isTried), tasks.filter((task) => !isTried(task))];
  return groups.filter((group) => group.length > 0);
}

/**
 * Returns whether a task is tried apart from others, since it may crash its worker.
 * @param task - The task.
 */
export function isTried(task: TaskState): boolean {
  return isTrial(getSuspicion(task));
}

/**
 * Compares two steps; negative if the first one goes first. Suspected tasks are tried before others
 * of their priority, since they need empty workers for a moment only.
 */
function compareWaitingSteps(a: WaitingStep, b: WaitingStep): number {
  const suspicion = Number(b.isTrial) - Number(a.isTrial);
  return a.rank.priority - b.rank.priority || suspicion || compareRanks(a.rank, b.rank);
}

/** A gang waits until none of its tasks runs; its tasks start together. */
function getWaitingTasks(step: StepState): readonly TaskState[] {
  const waiting = step.tasks.filter(({ isWithoutRun }) => isWithoutRun);
  const isWhole = waiting.length === step.tasks.length;
  return step.definition.gang && !isWhole ? [] : waiting;
}

function placeStep(waiting: WaitingStep, placement: PlacementState): readonly PlannedRun[] {
  return waiting.step.definition.gang
    ? placeGang(waiting, placement)
    : placeTasks(waiting, placement);
}

function placeTasks(waiting: WaitingStep, placement: PlacementState): readonly PlannedRun[] {
  const { job, tasks } = waiting;
  const targets = findWorkers(waiting, placement, undefined);
  return targets.flatMap((target, position): readonly PlannedRun[] => {
    const task = tasks[position];
    return task === undefined ? [] : [{ job, task, run: task.lastRun + 1, target }];
  });
}

function placeGang(waiting: WaitingStep, placement: PlacementState): readonly PlannedRun[] {
  const { job, tasks, step } = waiting;
  const racks = step.definition.sameRack
    ? [...new Set(placement.workers.map(({ rack }) => rack)), undefined]
    : [undefined];
  const targets = racks.reduce<readonly CandidateWorker[]>(
    (found, rack) => (found.length > 0 ? found : findGangWorkers(waiting, placement, rack)),
    [],
  );
  const run = Math.max(0, ...tasks.map((task) => task.lastRun)) + 1;
  return targets.flatMap((target, position): readonly PlannedRun[] => {
    const task = tasks[position];
    return task === undefined ? [] : [{ job, task, run, target }];
  });
}

/** Finds workers for all tasks of a gang or for none. */
function findGangWorkers(
  waiting: WaitingStep,
  placement: PlacementState,
  rack: string | undefined,
): readonly CandidateWorker[] {
  const before = placement.workers;
  const targets = findWorkers(waiting, placement, rack);
  if (targets.length < waiting.tasks.length) {
    placement.restore(before);
    return [];
  }
  return targets;
}

/**
 * Finds workers for the tasks of a step until one cannot be placed; the others need the same
 * resources.
 */
function findWorkers(
  { step, tasks }: WaitingStep,
  placement: PlacementState,
  rack: string | undefined,
): readonly CandidateWorker[] {
  const targets: CandidateWorker[] = [];
  const isStepIdle = step.tasks.every((task) => task.activeRuns.length === 0);
  tasks.every((task) => {
    const isFirstOfStep = step.definition.gang || (isStepIdle && targets.length === 0);
    const target = placement.place({ ...toPlacementTask(task), rack, isFirstOfStep });
    if (target !== undefined) {
      targets.push(target);
    }
    return target !== undefined;
  });
  return targets;
}

/**
 * Returns a task for placement on any rack, as one that is not the first of its step.
 * @param task - The task.
 */
export function toPlacementTask(task: TaskState): PlacementTask {
  return {
    stepKey: task.stepKey,
    definition: task.definition,
    avoidedAgents: new Set([...task.avoidedAgents, ...task.activeRuns.map(({ agent }) => agent)]),
    rack: undefined,
    isFirstOfStep: false,
    suspicion: getSuspicion(task),
  };
}

/**
 * Returns whether a task is suspected of crashing the workers that start it. The tasks of a gang start
 * together on several workers, so that they cannot be tried alone.
 * @param task - The task.
 */
export function getSuspicion(task: TaskState): Suspicion {
  if (!task.isSuspected) {
    return "none";
  }
  const { crashes, crashedAfterMs } = task.crashHistory;
  if (task.definition.gang || crashedAfterMs > (crashes > 1 ? REPEATED_TRIAL_MS : FIRST_TRIAL_MS)) {
    return "later";
  }
  return crashes === 1 ? "once" : "repeatedly";
}
