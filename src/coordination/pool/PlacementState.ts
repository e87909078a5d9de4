/**
 * State of a pool's workers during one scheduling cycle: the free capacity of each, the tasks on
 * it, and which worker suits a task best. Serving tasks are packed together; tasks that use idle
 * processors go to the worker with the most idle processors on which they disturb nobody; all
 * others go to the fullest worker with enough free capacity.
 */
import type { StepDefinition } from "../../protocol/pool/JobDefinition.ts";
import { fits, subtractResources, type Resources } from "../../protocol/Resources.ts";
import type { Admission } from "../placement/WorkerQuarantine.ts";
import type { WorkerState } from "./WorkerTable.ts";

/** Bonus for each serving task of the same image on a worker, in thousandths of a core. */
const SAME_IMAGE_BONUS_MILLI = 2_000;
/** Penalty for each other serving image on a worker, in thousandths of a core. */
const OTHER_IMAGE_PENALTY_MILLI = 40_000;
/**
 * Penalty for a worker whose idle processors are already used by other tasks, in thousandths of a
 * core.
 */
const OVERCOMMITTED_PENALTY_MILLI = 8_000;
/**
 * Share of a task's processors that a worker must tolerate for the task to be placed there on idle
 * processors.
 */
const MIN_TOLERATED_SHARE = 0.8;
/** Share of the workers on which suspected tasks are tried at the same time; at least one is. */
const MAX_TRIAL_SHARE = 0.2;
/** The same if many suspected tasks wait. */
const MAX_CROWDED_TRIAL_SHARE = 0.6;
/** Number of tasks for each of these workers up to which each is tried alone. */
const MAX_LONELY_ROUNDS = 4;
/** Number of groups for each worker that tasks form beyond that. */
const CROWDED_ROUNDS = 2;
/**
 * Penalty for each suspected task on a worker if another one is placed, in thousandths of a core: if
 * both started together again, the next crash could not tell them apart.
 */
const SUSPECT_PENALTY_MILLI = 50_000;
/** Penalty for a worker whose agent the task avoids, in thousandths of a core. */
const AVOIDED_AGENT_PENALTY_MILLI = 100_000;
/** Penalty for a rack other than that of the data, in thousandths of a core. */
const REMOTE_DATA_PENALTY_MILLI = 50_000;

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

/** A task to be placed. */
export interface PlacementTask {
  /** Job, occurrence and step. */
  readonly stepKey: string;
  readonly definition: StepDefinition;
  /** Agents on which a run of the task is active, has failed or has stalled. */
  readonly avoidedAgents: ReadonlySet<string>;
  /** Rack on which the task must run; undefined for any. */
  readonly rack: string | undefined;
  /**
   * Whether no task of its step is running: a worker that tolerates little of it is then better
   * than none.
   */
  readonly isFirstOfStep: boolean;
  readonly suspicion: Suspicion;
}

/** Whether a task is suspected of crashing the workers that start it. */
export type Suspicion =
  | "none"
  /** Of one crash soon after its start: it is tried on a worker on which no other task starts. */
  | "once"
  /** Of crashes at the same time after several starts: it is tried alone. */
  | "repeatedly"
  /** After some time of work: it is kept apart from others that are suspected. */
  | "later";

/** Data about the workers that their reports do not contain. */
export interface PlacementContext {
  /** How quarantined workers may be used. */
  readonly admissions: ReadonlyMap<string, Admission>;
  /** Returns the resources committed on a worker. */
  readonly getCommitted: (worker: string) => Resources;
  /** Number of tasks that wait to be tried. */
  readonly trialCount: number;
  /**
   * Returns how much more of an image on idle processors a worker tolerates, in thousandths of a
   * core.
   */
  readonly getToleratedMilli: (worker: string, serving: Iterable<string>, image: string) => number;
}

/** Tracks the free capacity of the workers during one scheduling cycle and places tasks on them. */
export class PlacementState {
  private readonly _context: PlacementContext;
  private readonly _workers = new Map<string, CandidateWorker>();

  /**
   * Creates the state at the start of a cycle.
   * @param workers - Workers that may be given runs.
   * @param context - Data about them that their reports do not contain.
   */
  constructor(workers: readonly WorkerState[], context: PlacementContext) {
    this._context = context;
    const { admissions, getCommitted } = context;
    workers.forEach(({ agent, report }) => {
      const free = subtractResources(report.capacity, getCommitted(report.worker));
      this._workers.set(agent, {
        agent,
        worker: report.worker,
        rack: report.rack,
        labels: report.labels,
        free,
        idleMilli: free.processorsMilli,
        unmeasuredMilli: 0,
        servingCounts: new Map(),
        admission: admissions.get(agent) ?? "open",
        isTrying: false,
        groupSize: 0,
        hasNewTasks: false,
        suspectCount: 0,
        stepCounts: new Map(),
      });
    });
  }

  get workers(): readonly CandidateWorker[] {
    return [...this._workers.values()];
  }

  /**
   * Adds a run that is already on a worker and whose resources are committed there.
   * @param agent - Agent of the worker.
   * @param stepKey - Step of its task.
   * @param definition - Definition of the step.
   * @param isMeasured - Whether the last measurement of the worker includes the run.
   */
  addRun(agent: string, stepKey: string, definition: StepDefinition, isMeasured = true): void {
    const worker = this._workers.get(agent);
    if (worker !== undefined) {
      const unmeasuredMilli =
        worker.unmeasuredMilli + (isMeasured ? 0 : getIdleProcessorsMilli(definition));
      this._workers.set(agent, {
        ...addTask(worker, stepKey, definition),
        unmeasuredMilli,
      });
    }
  }

  /**
   * Adds what a run that is already on a worker means for tasks that may crash workers.
   * @param agent - Agent of the worker.
   * @param suspicion - Whether its task is suspected.
   * @param isNew - Whether it was started a moment ago.
   */
  addSuspicion(agent: string, suspicion: Suspicion, isNew: boolean): void {
    const worker = this._workers.get(agent);
    if (worker !== undefined) {
      this._workers.set(agent, addSuspicion(worker, suspicion, isNew));
    }
  }

  /**
   * Chooses a worker for a task and subtracts the task's resources from its free capacity.
   * @param task - The task.
   * @param mayUseReserve - Whether a reserve may be chosen if there is no other worker; by default,
   * for long-running tasks, as these may fail any number of times.
   * @returns The worker; undefined if no eligible one has enough free capacity.
   */
  place(
    task: PlacementTask,
    mayUseReserve = task.definition.longRunning,
  ): CandidateWorker | undefined {
    const required = getCommittedResources(task.definition);
    const suitable = this.workers
      .filter((worker) => fits(required, worker.free) && isSuitable(worker, task))
      .filter((worker) => task.isFirstOfStep || this._tolerates(worker, task.definition));
    const candidates = suitable.filter((worker) => this._mayBeTried(worker, task));
    const best =
      this._chooseBest(candidates, task, ["open", "probe"]) ??
      (mayUseReserve ? this._chooseBest(candidates, task, ["reserve"]) : undefined);
    if (best === undefined) {
      this._keepForTrial(suitable, task);
    } else {
      const remaining = { ...best, free: subtractResources(best.free, required) };
      const committedMilli = required.processorsMilli;
      const groupSize = best.groupSize + Number(task.suspicion === "once");
      const marked = { ...addSuspicion(remaining, task.suspicion, true), groupSize };
      const placed = addTask(marked, task.stepKey, task.definition);
      const idleMilli = placed.idleMilli - committedMilli;
      this._workers.set(best.agent, {
        ...placed,
        idleMilli,
        unmeasuredMilli: best.unmeasuredMilli + getIdleProcessorsMilli(task.definition),
        admission: best.admission === "open" ? "open" : "closed",
      });
    }
    return best;
  }

  /**
   * Returns whether a task would be placed on another worker, and subtracts its resources from the
   * chosen worker.
   * @param task - The task.
   * @param agent - Agent of the worker that runs the task now.
   */
  hasBetterWorker(task: PlacementTask, agent: string): boolean {
    const worker = this.place(task, false);
    return worker !== undefined && worker.agent !== agent;
  }

  /** Returns the candidate with the highest score among those with the given admissions. */
  private _chooseBest(
    candidates: readonly CandidateWorker[],
    task: PlacementTask,
    admissions: readonly Admission[],
  ): CandidateWorker | undefined {
    return candidates
      .filter(({ admission }) => admissions.includes(admission))
      .map((worker) => ({ worker, score: this._score(worker, task) }))
      .reduce<{ worker: CandidateWorker; score: number } | undefined>(
        (found, next) => (found === undefined || next.score > found.score ? next : found),
        undefined,
      )?.worker;
  }

  /**
   * Returns whether a task may start on a worker as far as tasks are concerned that may crash it
   * soon after their start. These are tried apart from all others, so that another crash convicts no
   * other task, and on few workers at a time.
   */
  private _mayBeTried(worker: CandidateWorker, { suspicion }: PlacementTask): boolean {
    if (!isTrial(suspicion)) {
      return !worker.isTrying;
    }
    if (worker.isTrying) {
      const { groupSize } = worker;
      return suspicion === "once" && groupSize > 0 && groupSize < this._maxGroupSize;
    }
    return !worker.hasNewTasks && this._mayTryMore;
  }

  private get _mayTryMore(): boolean {
    return this.workers.filter(({ isTrying }) => isTrying).length < this._maxTrialWorkers;
  }

  private get _maxTrialWorkers(): number {
    return this._countShare(this._areTrialsMany ? MAX_CROWDED_TRIAL_SHARE : MAX_TRIAL_SHARE);
  }

  /** Returns the number of workers in a share of them, at least one. */
  private _countShare(share: number): number {
    return Math.max(1, Math.floor(this._workers.size * share));
  }

  /** Maximum number of tasks that are tried together. */
  private get _maxGroupSize(): number {
    return this._areTrialsMany
      ? Math.ceil(this._context.trialCount / (CROWDED_ROUNDS * this._maxTrialWorkers))
      : 1;
  }

  /**
   * Whether so many tasks wait to be tried that it would take long to try each alone. Most of them are
   * innocent then, as when several workers crash by themselves.
   */
  private get _areTrialsMany(): boolean {
    return this._context.trialCount > MAX_LONELY_ROUNDS * this._countShare(MAX_TRIAL_SHARE);
  }

  /**
   * Keeps new tasks away from a worker on which a suspected task would be tried but for tasks that
   * have just started there. Where tasks start all the time, it would never be tried otherwise.
   */
  private _keepForTrial(suitable: readonly CandidateWorker[], task: PlacementTask): void {
    if (!isTrial(task.suspicion) || !this._mayTryMore) {
      return;
    }
    const free = suitable.filter(({ isTrying }) => !isTrying);
    const kept = this._chooseBest(free, task, ["open", "probe"]);
    if (kept !== undefined) {
      this._workers.set(kept.agent, { ...kept, isTrying: true });
    }
  }

  private _tolerates(worker: CandidateWorker, definition: StepDefinition): boolean {
    const minMilli = MIN_TOLERATED_SHARE * definition.resources.processorsMilli;
    return (
      !definition.usesIdleProcessors || this._getToleratedMilli(worker, definition) >= minMilli
    );
  }

  private _getToleratedMilli(
    { worker, servingCounts, unmeasuredMilli }: CandidateWorker,
    { image }: StepDefinition,
  ): number {
    return this._context.getToleratedMilli(worker, servingCounts.keys(), image) - unmeasuredMilli;
  }

  /** Returns the score of a worker for a task; higher is better. */
  private _score(worker: CandidateWorker, task: PlacementTask): number {
    const { definition, avoidedAgents } = task;
    const { dataRack } = definition;
    if (task.suspicion !== "none") {
      // Where the least is lost if it crashes the worker.
      return worker.free.processorsMilli - worker.suspectCount * SUSPECT_PENALTY_MILLI;
    }
    const isRemote = dataRack !== undefined && dataRack !== worker.rack;
    const penalty =
      (avoidedAgents.has(worker.agent) ? AVOIDED_AGENT_PENALTY_MILLI : 0) +
      (isRemote ? REMOTE_DATA_PENALTY_MILLI : 0);
    const capacityMilli = definition.usesIdleProcessors
      ? Math.min(worker.idleMilli, this._getToleratedMilli(worker, definition))
      : scoreFreeCapacity(worker, definition);
    return capacityMilli - penalty;
  }

  /**
   * Restores workers to an earlier state, for a gang of which not all tasks could be placed.
   * @param workers - The earlier state.
   */
  restore(workers: readonly CandidateWorker[]): void {
    workers.forEach((worker) => this._workers.set(worker.agent, worker));
  }
}

/**
 * Returns the resources that a task commits on a worker: the processors of a task that uses idle
 * ones are not counted.
 * @param definition - Step of the task.
 */
export function getCommittedResources(definition: StepDefinition): Resources {
  return definition.usesIdleProcessors
    ? { ...definition.resources, processorsMilli: 0 }
    : definition.resources;
}

function getIdleProcessorsMilli({ usesIdleProcessors, resources }: StepDefinition): number {
  return usesIdleProcessors ? resources.processorsMilli : 0;
}

/**
 * Returns whether a suspected task is tried apart from others.
 * @param suspicion - How the task is suspected.
 */
export function isTrial(suspicion: Suspicion): boolean {
  return suspicion === "once" || suspicion === "repeatedly";
}

function addSuspicion(
  worker: CandidateWorker,
  suspicion: Suspicion,
  isNew: boolean,
): CandidateWorker {
  return {
    ...worker,
    isTrying: worker.isTrying || isTrial(suspicion),
    hasNewTasks: worker.hasNewTasks || isNew,
    suspectCount: worker.suspectCount + Number(suspicion === "later"),
  };
}

function addTask(
  worker: CandidateWorker,
  stepKey: string,
  definition: StepDefinition,
): CandidateWorker {
  return {
    ...worker,
    idleMilli: worker.idleMilli - getIdleProcessorsMilli(definition),
    servingCounts: countServing(worker.servingCounts, definition),
    stepCounts: new Map([
      ...worker.stepCounts,
      [stepKey, (worker.stepCounts.get(stepKey) ?? 0) + 1],
    ]),
  };
}

function countServing(
  serving: ReadonlyMap<string, number>,
  { image, latencyTargetMs }: StepDefinition,
): ReadonlyMap<string, number> {
  return latencyTargetMs === undefined
    ? serving
    : new Map([...serving, [image, (serving.get(image) ?? 0) + 1]]);
}

/** Returns whether a task may run on a worker, apart from its admission and free capacity. */
function isSuitable(worker: CandidateWorker, task: PlacementTask): boolean {
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
 */
function scoreFreeCapacity(worker: CandidateWorker, definition: StepDefinition): number {
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
