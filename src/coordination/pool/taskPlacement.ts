/**
 * One round of placement for a pool: which waiting tasks start now and on which workers. A gang is
 * placed whole or not at all.
 */
import type { JobState, StepState } from "../../state/pool/JobState.ts";
import type { ActiveRun, TaskState } from "../../state/pool/TaskState.ts";
import type { PlacementTask, CandidateWorker, PlacementState } from "./PlacementState.ts";
import { getStepKey } from "./ActiveRunTable.ts";
import { compareRanks, getSchedulingRank, type SchedulingRank } from "./schedulingOrder.ts";

/** Runs of a task from which on no more copies are made. */
const MAX_SPECULATIVE_RUNS = 4;

/** A run to be ordered. */
export interface PlannedRun {
  readonly job: JobState;
  readonly task: TaskState;
  readonly run: number;
  readonly target: CandidateWorker;
}

/** A step with tasks that wait for room. */
export interface WaitingStep {
  readonly job: JobState;
  readonly step: StepState;
  readonly tasks: readonly TaskState[];
  readonly rank: SchedulingRank;
}

/** Result of a round. */
export interface PlacementResult {
  readonly runs: readonly PlannedRun[];
  /** Steps of which tasks found no room, in their order. */
  readonly unplaced: readonly WaitingStep[];
}

/**
 * Gives the steps with tasks that wait, in the order in which they get room.
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
        const tasks = getWaitingTasks(step);
        return tasks.length === 0
          ? []
          : [{ job, step, tasks, rank: getSchedulingRank(job, step, timeOfDayMs) }];
      }),
    )
    .sort((a, b) => compareRanks(a.rank, b.rank));
}

/**
 * Gives the tasks of which a copy may run beside the one that is slow, most urgent jobs first.
 * @param jobs - Jobs of the pool.
 * @param isSlow - Whether a run is not expected to end soon.
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
          : [{ job, step, tasks, rank: getSchedulingRank(job, step, timeOfDayMs) }];
      }),
    )
    .sort((a, b) => compareRanks(a.rank, b.rank));
}

/**
 * Places the tasks of waiting steps.
 * @param steps - The steps in their order.
 * @param board - The workers; what is placed is taken from them.
 */
export function placeSteps(steps: readonly WaitingStep[], board: PlacementState): PlacementResult {
  const planned = steps.map((waiting) => ({ waiting, runs: placeStep(waiting, board) }));
  return {
    runs: planned.flatMap(({ runs }) => runs),
    unplaced: planned
      .filter(({ waiting, runs }) => runs.length < waiting.tasks.length)
      .map(({ waiting }) => waiting),
  };
}

function maySpeculate(task: TaskState): boolean {
  return !task.isDone && task.activeRuns.length === 1 && task.lastRun < MAX_SPECULATIVE_RUNS;
}

/** A gang waits until no member runs; its members start together. */
function getWaitingTasks(step: StepState): readonly TaskState[] {
  const waiting = step.tasks.filter((task) => !task.isDone && task.activeRuns.length === 0);
  const isWhole = waiting.length === step.tasks.length;
  return step.definition.gang && !isWhole ? [] : waiting;
}

function placeStep(waiting: WaitingStep, board: PlacementState): readonly PlannedRun[] {
  return waiting.step.definition.gang ? placeGang(waiting, board) : placeTasks(waiting, board);
}

function placeTasks(waiting: WaitingStep, board: PlacementState): readonly PlannedRun[] {
  const { job, tasks } = waiting;
  const targets = findWorkers(waiting, board, undefined);
  return targets.flatMap((target, position): readonly PlannedRun[] => {
    const task = tasks[position];
    return task === undefined ? [] : [{ job, task, run: task.lastRun + 1, target }];
  });
}

function placeGang(waiting: WaitingStep, board: PlacementState): readonly PlannedRun[] {
  const { job, tasks, step } = waiting;
  const racks = step.definition.sameRack
    ? [...new Set(board.workers.map(({ rack }) => rack)), undefined]
    : [undefined];
  const targets = racks.reduce<readonly CandidateWorker[]>(
    (found, rack) => (found.length > 0 ? found : findGangWorkers(waiting, board, rack)),
    [],
  );
  const run = Math.max(0, ...tasks.map((task) => task.lastRun)) + 1;
  return targets.flatMap((target, position): readonly PlannedRun[] => {
    const task = tasks[position];
    return task === undefined ? [] : [{ job, task, run, target }];
  });
}

/** Places all tasks or none. */
function findGangWorkers(
  waiting: WaitingStep,
  board: PlacementState,
  rack: string | undefined,
): readonly CandidateWorker[] {
  const before = board.workers;
  const targets = findWorkers(waiting, board, rack);
  if (targets.length < waiting.tasks.length) {
    board.restore(before);
    return [];
  }
  return targets;
}

/** Places tasks of one step until one finds no room; the others are of the same size. */
function findWorkers(
  { step, tasks }: WaitingStep,
  board: PlacementState,
  rack: string | undefined,
): readonly CandidateWorker[] {
  const targets: CandidateWorker[] = [];
  const isIdle = step.tasks.every((task) => task.activeRuns.length === 0);
  tasks.every((task) => {
    const isFirst = step.definition.gang || (isIdle && targets.length === 0);
    const target = board.place({ ...toPlacementTask(task), rack, isFirstOfStep: isFirst });
    if (target !== undefined) {
      targets.push(target);
    }
    return target !== undefined;
  });
  return targets;
}

/**
 * Gives a task as the board places it, on any rack and among others of its step.
 * @param task - The task.
 */
export function toPlacementTask(task: TaskState): PlacementTask {
  return {
    stepKey: getStepKey(task.address),
    definition: task.definition,
    avoidedAgents: new Set([...task.avoidedAgents, ...task.activeRuns.map(({ agent }) => agent)]),
    rack: undefined,
    isFirstOfStep: false,
  };
}
