/**
 * A worker to which tasks may be given in one scheduling cycle, with the tasks on it so far.
 */
import type { StepDefinition } from "../../protocol/pool/JobDefinition.ts";
import type { Resources } from "../../protocol/Resources.ts";
import type { Admission } from "../placement/WorkerQuarantine.ts";
import { isTrial, type PlacementTask, type Suspicion } from "./placementTask.ts";
import { getIdleProcessorsMilli } from "./stepResources.ts";

/** Bonus for each serving task of the same image on a worker, in thousandths of a core. */
const SAME_IMAGE_BONUS_MILLI = 2_000;
/** Penalty for each other serving image on a worker, in thousandths of a core. */
const OTHER_IMAGE_PENALTY_MILLI = 40_000;
/**
 * Penalty for a worker whose idle processors are already used by other tasks, in thousandths of a
 * core.
 */
const OVERCOMMITTED_PENALTY_MILLI = 8_000;

/** A worker with the tasks placed on it so far in the cycle. */
export interface CandidateWorker {
  readonly agent: string;
  readonly worker: string;
  readonly rack: string;
  readonly labels: readonly string[];
  readonly free: Resources;
  /** Processors that no task is expected to use, in thousandths; negative if overcommitted. */
  readonly idleMilli: number;
  /** Idle processors assigned to runs that no measurement includes yet, in thousandths. */
  readonly unmeasuredMilli: number;
  /** Number of serving tasks by image. */
  readonly servingCounts: ReadonlyMap<string, number>;
  readonly admission: Admission;
  /** Whether a suspected task is tried on it; nothing else may be placed there meanwhile. */
  readonly isTrying: boolean;
  /** Number of tasks that were placed there in this cycle to be tried together. */
  readonly groupSize: number;
  /** Whether a task was started or placed on it a moment ago. */
  readonly hasNewTasks: boolean;
  /** Number of tasks on it that are suspected without being tried. */
  readonly suspectCount: number;
  /** Number of tasks by step. */
  readonly stepCounts: ReadonlyMap<string, number>;
}

/** What a task on a worker means for further ones. */
export interface PlacedTask {
  /** Job, occurrence and step. */
  readonly stepKey: string;
  readonly definition: StepDefinition;
  /** Whether the last measurement of the worker includes its run. */
  readonly isMeasured: boolean;
  readonly suspicion: Suspicion;
  /** Whether it was started or placed a moment ago. */
  readonly isNew: boolean;
}

/**
 * Adds tasks to those on a worker; what they commit is not subtracted.
 * @param worker - The worker.
 * @param tasks - The tasks.
 */
export function addTasks(worker: CandidateWorker, tasks: readonly PlacedTask[]): CandidateWorker {
  const serving = tasks.filter(({ definition }) => definition.latencyTargetMs !== undefined);
  return {
    ...worker,
    idleMilli: worker.idleMilli - sumIdleProcessors(tasks),
    unmeasuredMilli:
      worker.unmeasuredMilli + sumIdleProcessors(tasks.filter(({ isMeasured }) => !isMeasured)),
    servingCounts: addCounts(
      worker.servingCounts,
      serving.map(({ definition }) => definition.image),
    ),
    stepCounts: addCounts(
      worker.stepCounts,
      tasks.map(({ stepKey }) => stepKey),
    ),
    isTrying: worker.isTrying || tasks.some(({ suspicion }) => isTrial(suspicion)),
    hasNewTasks: worker.hasNewTasks || tasks.some(({ isNew }) => isNew),
    suspectCount:
      worker.suspectCount + tasks.filter(({ suspicion }) => suspicion === "later").length,
  };
}

function sumIdleProcessors(tasks: readonly PlacedTask[]): number {
  return tasks.reduce((sum, { definition }) => sum + getIdleProcessorsMilli(definition), 0);
}

function addCounts(
  counts: ReadonlyMap<string, number>,
  names: readonly string[],
): ReadonlyMap<string, number> {
  if (names.length === 0) {
    return counts;
  }
  const added = new Map(counts);
  names.forEach((name) => added.set(name, (added.get(name) ?? 0) + 1));
  return added;
}

/**
 * Returns whether a task may run on a worker, apart from its admission and free capacity.
 * @param worker - The worker.
 * @param task - The task.
 */
export function isSuitable(worker: CandidateWorker, task: PlacementTask): boolean {
  const { requiredLabel, maxPerWorker } = task.definition;
  const count = worker.stepCounts.get(task.stepKey) ?? 0;
  return (
    (requiredLabel === undefined || worker.labels.includes(requiredLabel)) &&
    (task.rack === undefined || worker.rack === task.rack) &&
    (maxPerWorker === undefined || count < maxPerWorker)
  );
}

/**
 * Returns the score of a worker's free capacity for a task that commits processors; higher is
 * better.
 * @param worker - The worker.
 * @param definition - Step of the task.
 */
export function scoreFreeCapacity(worker: CandidateWorker, definition: StepDefinition): number {
  // Serving tasks are packed by image: a task that disturbs one image may be harmless to another,
  // and workers without serving tasks are left to tasks that disturb all of them.
  const others = [...worker.servingCounts.keys()].filter(
    (image) => image !== definition.image,
  ).length;
  const same = worker.servingCounts.get(definition.image) ?? 0;
  const servingMilli =
    definition.latencyTargetMs === undefined
      ? 0
      : same * SAME_IMAGE_BONUS_MILLI - others * OTHER_IMAGE_PENALTY_MILLI;
  const leftMilli = worker.free.processorsMilli - definition.resources.processorsMilli;
  const overcommittedMilli =
    worker.idleMilli < definition.resources.processorsMilli ? OVERCOMMITTED_PENALTY_MILLI : 0;
  return servingMilli - leftMilli - overcommittedMilli;
}
