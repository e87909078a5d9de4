/**
 * The workers of a pool in one round of placement: what is free on each, what runs there, and which
 * one suits a task best. Tasks that serve users are kept together; tasks that live on idle processors go
 * where most are idle and nobody is disturbed; all others fill up the fullest worker that has the
 * room.
 */
import type { StepDefinition } from "../../protocol/pool/JobDefinition.ts";
import { fits, subtractResources, type Resources } from "../../protocol/Resources.ts";
import type { Admission } from "../placement/WorkerQuarantine.ts";
import type { WorkerRecord } from "./WorkerTable.ts";

/** Weight of each serving task of a worker for one more of them, in thousandths of a core. */
const SERVING_WEIGHT_MILLI = 2_000;
/** Weight of each other serving image of a worker against it, in thousandths of a core. */
const MIXED_WEIGHT_MILLI = 40_000;
/** Weight of a worker whose idle processors others use already, in thousandths of a core. */
const CRAMPED_MILLI = 8_000;
/** Share of its processors that a worker must bear of a task on idle ones for it to be placed. */
const LEAST_BORNE_SHARE = 0.8;
/** Weight of a worker on which the task has failed before, in thousandths of a core. */
const FAILED_WEIGHT_MILLI = 100_000;
/** Weight of a rack away from the data, in thousandths of a core. */
const DATA_WEIGHT_MILLI = 50_000;

/** A worker with what the round has placed on it. */
export interface BoardWorker {
  readonly agent: string;
  readonly worker: string;
  readonly rack: string;
  readonly labels: readonly string[];
  readonly free: Resources;
  /** Processors that no task is expected to use, in thousandths; negative where overbooked. */
  readonly idleMilli: number;
  /** Idle processors of runs that no measure shows yet, in thousandths. */
  readonly givenMilli: number;
  /** Tasks that serve users, by image. */
  readonly serving: ReadonlyMap<string, number>;
  readonly admission: Admission;
  /** Tasks by step. */
  readonly steps: ReadonlyMap<string, number>;
}

/** A task as it is placed. */
export interface BoardTask {
  /** Job, occurrence and step. */
  readonly stepKey: string;
  readonly definition: StepDefinition;
  /** Agents on which the task has failed or has been given up. */
  readonly avoid: ReadonlySet<string>;
  /** Rack on which the task must run; undefined for any. */
  readonly rack: string | undefined;
  /** Whether nothing of its step runs: a worker that bears little of it is better than none. */
  readonly isFirst: boolean;
}

/** What a board is told of workers beside their reports. */
export interface BoardContext {
  /** How workers under suspicion may be used. */
  readonly admissions: ReadonlyMap<string, Admission>;
  /** Gives what is committed on a worker. */
  readonly getCommitted: (worker: string) => Resources;
  /** Gives how much more of an image on idle processors a worker bears, in thousandths of a core. */
  readonly getRoomMilli: (worker: string, serving: Iterable<string>, image: string) => number;
}

/** Workers in one round. */
export class PlacementBoard {
  private readonly _context: BoardContext;
  private readonly _workers = new Map<string, BoardWorker>();

  /**
   * Creates a board.
   * @param records - Workers that may be given runs.
   * @param context - What else is known of them.
   */
  constructor(records: readonly WorkerRecord[], context: BoardContext) {
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
        givenMilli: 0,
        serving: new Map(),
        admission: admissions.get(agent) ?? "open",
        steps: new Map(),
      });
    });
  }

  get workers(): readonly BoardWorker[] {
    return [...this._workers.values()];
  }

  /**
   * Notes a run that is on a worker already; its amount is committed.
   * @param agent - Agent of the worker.
   * @param stepKey - Step of its task.
   * @param definition - Definition of the step.
   * @param isMeasured - Whether what it uses shows in what the worker bears.
   */
  noteRun(agent: string, stepKey: string, definition: StepDefinition, isMeasured = true): void {
    const worker = this._workers.get(agent);
    if (worker !== undefined) {
      const givenMilli = worker.givenMilli + (isMeasured ? 0 : getIdleUse(definition));
      this._workers.set(agent, { ...addTask(worker, stepKey, definition), givenMilli });
    }
  }

  /**
   * Chooses a worker for a task and takes the amount from it.
   * @param task - The task.
   * @returns The worker; undefined where none has room.
   */
  place(task: BoardTask): BoardWorker | undefined {
    const wanted = getCommitment(task.definition);
    const best = this.workers
      .filter((worker) => fits(wanted, worker.free) && accepts(worker, task))
      .filter((worker) => task.isFirst || this._bears(worker, task.definition))
      .map((worker) => ({ worker, rating: this._rate(worker, task) }))
      .reduce<{ worker: BoardWorker; rating: number } | undefined>(
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
        givenMilli: best.givenMilli + getIdleUse(task.definition),
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
  hasBetterPlace(task: BoardTask, agent: string): boolean {
    const place = this.place(task);
    return place !== undefined && place.agent !== agent;
  }

  private _bears(worker: BoardWorker, definition: StepDefinition): boolean {
    const leastMilli = LEAST_BORNE_SHARE * definition.resources.processorsMilli;
    return !definition.usesIdleProcessors || this._getRoomMilli(worker, definition) >= leastMilli;
  }

  private _getRoomMilli(
    { worker, serving, givenMilli }: BoardWorker,
    { image }: StepDefinition,
  ): number {
    return this._context.getRoomMilli(worker, serving.keys(), image) - givenMilli;
  }

  /** Rates a worker for a task; higher is better. */
  private _rate(worker: BoardWorker, { definition, avoid }: BoardTask): number {
    const { dataRack } = definition;
    const isAway = dataRack !== undefined && dataRack !== worker.rack;
    const penalty =
      (avoid.has(worker.agent) ? FAILED_WEIGHT_MILLI : 0) + (isAway ? DATA_WEIGHT_MILLI : 0);
    const room = definition.usesIdleProcessors
      ? Math.min(worker.idleMilli, this._getRoomMilli(worker, definition))
      : rateRoom(worker, definition);
    return room - penalty;
  }

  /**
   * Puts workers back as they were, for a gang of which not all members found room.
   * @param workers - Workers as they were.
   */
  restore(workers: readonly BoardWorker[]): void {
    workers.forEach((worker) => this._workers.set(worker.agent, worker));
  }
}

/**
 * Gives what a task holds of a worker: the processors of a task that lives on idle ones are not
 * counted.
 * @param definition - Step of the task.
 */
export function getCommitment(definition: StepDefinition): Resources {
  return definition.usesIdleProcessors
    ? { ...definition.resources, processorsMilli: 0 }
    : definition.resources;
}

function getIdleUse({ usesIdleProcessors, resources }: StepDefinition): number {
  return usesIdleProcessors ? resources.processorsMilli : 0;
}

function addTask(worker: BoardWorker, stepKey: string, definition: StepDefinition): BoardWorker {
  return {
    ...worker,
    idleMilli: worker.idleMilli - getIdleUse(definition),
    serving: addServing(worker.serving, definition),
    steps: new Map([...worker.steps, [stepKey, (worker.steps.get(stepKey) ?? 0) + 1]]),
  };
}

function addServing(
  serving: ReadonlyMap<string, number>,
  { image, latencyTargetMs }: StepDefinition,
): ReadonlyMap<string, number> {
  return latencyTargetMs === undefined
    ? serving
    : new Map([...serving, [image, (serving.get(image) ?? 0) + 1]]);
}

function accepts(worker: BoardWorker, task: BoardTask): boolean {
  const { requiredLabel, maxPerWorker } = task.definition;
  const count = worker.steps.get(task.stepKey) ?? 0;
  return (
    worker.admission !== "closed" &&
    (requiredLabel === undefined || worker.labels.includes(requiredLabel)) &&
    (task.rack === undefined || worker.rack === task.rack) &&
    (maxPerWorker === undefined || count < maxPerWorker)
  );
}

/** Rates a worker by its room for a task that commits processors; higher is better. */
function rateRoom(worker: BoardWorker, definition: StepDefinition): number {
  // Serving tasks are kept together by image: what disturbs one image may leave another alone, and
  // workers without any are left to what disturbs all.
  const others = [...worker.serving.keys()].filter((image) => image !== definition.image).length;
  const same = worker.serving.get(definition.image) ?? 0;
  const servingMilli =
    definition.latencyTargetMs === undefined
      ? 0
      : same * SERVING_WEIGHT_MILLI - others * MIXED_WEIGHT_MILLI;
  const leftMilli = worker.free.processorsMilli - definition.resources.processorsMilli;
  const crampedMilli = worker.idleMilli < definition.resources.processorsMilli ? CRAMPED_MILLI : 0;
  return servingMilli - leftMilli - crampedMilli;
}
