/**
 * The workers of a pool in one round of placement: what is free on each, what runs there, and which
 * one suits a task best. Tasks that serve users are kept together; tasks that live on idle processors go
 * where most are idle and nobody is disturbed; all others fill up the fullest worker that has the
 * room.
 */
import type { StepDefinition } from "../../protocol/pool/JobDefinition.ts";
import { fits, subtractResources, type Resources } from "../../protocol/Resources.ts";
import type { Admission } from "../placement/WorkerQuarantine.ts";
import type { WorkerState } from "./WorkerTable.ts";

/** Weight of each serving task of a worker for one more of them, in thousandths of a core. */
const SAME_IMAGE_BONUS_MILLI = 2_000;
/** Weight of each other serving image of a worker against it, in thousandths of a core. */
const OTHER_IMAGE_PENALTY_MILLI = 40_000;
/** Weight of a worker whose idle processors others use already, in thousandths of a core. */
const OVERCOMMITTED_PENALTY_MILLI = 8_000;
/** Share of its processors that a worker must bear of a task on idle ones for it to be placed. */
const MIN_TOLERATED_SHARE = 0.8;
/** Weight of a worker on which the task has failed before, in thousandths of a core. */
const FAILED_PENALTY_MILLI = 100_000;
/** Weight of a rack away from the data, in thousandths of a core. */
const REMOTE_DATA_PENALTY_MILLI = 50_000;

/** A worker with what the round has placed on it. */
export interface CandidateWorker {
  readonly agent: string;
  readonly worker: string;
  readonly rack: string;
  readonly labels: readonly string[];
  readonly free: Resources;
  /** Processors that no task is expected to use, in thousandths; negative where overbooked. */
  readonly idleMilli: number;
  /** Idle processors of runs that no measure shows yet, in thousandths. */
  readonly unmeasuredMilli: number;
  /** Tasks that serve users, by image. */
  readonly servingCounts: ReadonlyMap<string, number>;
  readonly admission: Admission;
  /** Tasks by step. */
  readonly stepCounts: ReadonlyMap<string, number>;
}

/** A task as it is placed. */
export interface PlacementTask {
  /** Job, occurrence and step. */
  readonly stepKey: string;
  readonly definition: StepDefinition;
  /** Agents on which the task has failed or has been given up. */
  readonly avoidedAgents: ReadonlySet<string>;
  /** Rack on which the task must run; undefined for any. */
  readonly rack: string | undefined;
  /** Whether nothing of its step runs: a worker that bears little of it is better than none. */
  readonly isFirstOfStep: boolean;
}

/** What a board is told of workers beside their reports. */
export interface PlacementContext {
  /** How workers under suspicion may be used. */
  readonly admissions: ReadonlyMap<string, Admission>;
  /** Gives what is committed on a worker. */
  readonly getCommitted: (worker: string) => Resources;
  /** Gives how much more of an image on idle processors a worker bears, in thousandths of a core. */
  readonly getToleratedMilli: (worker: string, serving: Iterable<string>, image: string) => number;
}

/** Workers in one round. */
export class PlacementState {
  private readonly _context: PlacementContext;
  private readonly _workers = new Map<string, CandidateWorker>();

  /**
   * Creates a board.
   * @param records - Workers that may be given runs.
   * @param context - What else is known of them.
   */
  constructor(records: readonly WorkerState[], context: PlacementContext) {
    this._context = context;
    const { admissions, getCommitted } = context;
    records.forEach(({ agent, report }) => {
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
        stepCounts: new Map(),
      });
    });
  }

  get workers(): readonly CandidateWorker[] {
    return [...this._workers.values()];
  }

  /**
   * Notes a run that is on a worker already; its amount is committed.
   * @param agent - Agent of the worker.
   * @param stepKey - Step of its task.
   * @param definition - Definition of the step.
   * @param isMeasured - Whether what it uses shows in what the worker bears.
   */
  addRun(agent: string, stepKey: string, definition: StepDefinition, isMeasured = true): void {
    const worker = this._workers.get(agent);
    if (worker !== undefined) {
      const givenMilli =
        worker.unmeasuredMilli + (isMeasured ? 0 : getIdleProcessorsMilli(definition));
      this._workers.set(agent, {
        ...addTask(worker, stepKey, definition),
        unmeasuredMilli: givenMilli,
      });
    }
  }

  /**
   * Chooses a worker for a task and takes the amount from it.
   * @param task - The task.
   * @returns The worker; undefined where none has room.
   */
  place(task: PlacementTask): CandidateWorker | undefined {
    const wanted = getCommittedResources(task.definition);
    const best = this.workers
      .filter((worker) => fits(wanted, worker.free) && isEligible(worker, task))
      .filter((worker) => task.isFirstOfStep || this._tolerates(worker, task.definition))
      .map((worker) => ({ worker, rating: this._score(worker, task) }))
      .reduce<{ worker: CandidateWorker; rating: number } | undefined>(
        (found, next) => (found === undefined || next.rating > found.rating ? next : found),
        undefined,
      )?.worker;
    if (best !== undefined) {
      const left = { ...best, free: subtractResources(best.free, wanted) };
      const committedMilli = wanted.processorsMilli;
      const placed = addTask(left, task.stepKey, task.definition);
      const idleMilli = placed.idleMilli - committedMilli;
      this._workers.set(best.agent, {
        ...placed,
        idleMilli,
        unmeasuredMilli: best.unmeasuredMilli + getIdleProcessorsMilli(task.definition),
        admission: best.admission === "probe" ? "closed" : best.admission,
      });
    }
    return best;
  }

  /**
   * Tells whether a task would be better off on another worker, and takes the amount there.
   * @param task - The task.
   * @param agent - Agent of the worker that it is on.
   */
  hasBetterWorker(task: PlacementTask, agent: string): boolean {
    const place = this.place(task);
    return place !== undefined && place.agent !== agent;
  }

  private _tolerates(worker: CandidateWorker, definition: StepDefinition): boolean {
    const leastMilli = MIN_TOLERATED_SHARE * definition.resources.processorsMilli;
    return (
      !definition.usesIdleProcessors || this._getToleratedMilli(worker, definition) >= leastMilli
    );
  }

  private _getToleratedMilli(
    { worker, servingCounts: serving, unmeasuredMilli: givenMilli }: CandidateWorker,
    { image }: StepDefinition,
  ): number {
    return this._context.getToleratedMilli(worker, serving.keys(), image) - givenMilli;
  }

  /** Rates a worker for a task; higher is better. */
  private _score(
    worker: CandidateWorker,
    { definition, avoidedAgents: avoid }: PlacementTask,
  ): number {
    const { dataRack } = definition;
    const isAway = dataRack !== undefined && dataRack !== worker.rack;
    const penalty =
      (avoid.has(worker.agent) ? FAILED_PENALTY_MILLI : 0) +
      (isAway ? REMOTE_DATA_PENALTY_MILLI : 0);
    const room = definition.usesIdleProcessors
      ? Math.min(worker.idleMilli, this._getToleratedMilli(worker, definition))
      : scoreFreeCapacity(worker, definition);
    return room - penalty;
  }

  /**
   * Puts workers back as they were, for a gang of which not all members found room.
   * @param workers - Workers as they were.
   */
  restore(workers: readonly CandidateWorker[]): void {
    workers.forEach((worker) => this._workers.set(worker.agent, worker));
  }
}

/**
 * Gives what a task holds of a worker: the processors of a task that lives on idle ones are not
 * counted.
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

function isEligible(worker: CandidateWorker, task: PlacementTask): boolean {
  const { requiredLabel, maxPerWorker } = task.definition;
  const count = worker.stepCounts.get(task.stepKey) ?? 0;
  return (
    worker.admission !== "closed" &&
    (requiredLabel === undefined || worker.labels.includes(requiredLabel)) &&
    (task.rack === undefined || worker.rack === task.rack) &&
    (maxPerWorker === undefined || count < maxPerWorker)
  );
}

/** Rates a worker by its room for a task that commits processors; higher is better. */
function scoreFreeCapacity(worker: CandidateWorker, definition: StepDefinition): number {
  // Serving tasks are kept together by image: what disturbs one image may leave another alone, and
  // workers without any are left to what disturbs all.
  const others = [...worker.servingCounts.keys()].filter(
    (image) => image !== definition.image,
  ).length;
  const same = worker.servingCounts.get(definition.image) ?? 0;
  const servingMilli =
    definition.latencyTargetMs === undefined
      ? 0
      : same * SAME_IMAGE_BONUS_MILLI - others * OTHER_IMAGE_PENALTY_MILLI;
  const leftMilli = worker.free.processorsMilli - definition.resources.processorsMilli;
  const crampedMilli =
    worker.idleMilli < definition.resources.processorsMilli ? OVERCOMMITTED_PENALTY_MILLI : 0;
  return servingMilli - leftMilli - crampedMilli;
}
