/**
 * State of a pool's workers during one scheduling cycle: the free capacity of each, the tasks on
 * it, and which worker suits a task best. Serving tasks are packed together; tasks that use idle
 * processors go to the worker with the most idle processors on which they disturb nobody; all
 * others go to the fullest worker with enough free capacity.
 */
import type { StepDefinition } from "../../protocol/pool/JobDefinition.ts";
import { fits, subtractResources, type Resources } from "../../protocol/Resources.ts";
import type { Admission } from "../placement/WorkerQuarantine.ts";
import {
  addTasks,
  isSuitable,
  scoreFreeCapacity,
  type CandidateWorker,
  type PlacedTask,
} from "./candidateWorker.ts";
import { isTrial, type PlacementTask } from "./placementTask.ts";
import { getCommittedResources } from "./stepResources.ts";
import type { WorkerState } from "./WorkerTable.ts";

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
   * Adds runs that are already on a worker and whose resources are committed there.
   * @param agent - Agent of the worker.
   * @param runs - The runs.
   */
  addRuns(agent: string, runs: readonly PlacedTask[]): void {
    const worker = this._workers.get(agent);
    if (worker !== undefined) {
      this._workers.set(agent, addTasks(worker, runs));
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
      this._assign(best, task, required);
    }
    return best;
  }

  private _assign(best: CandidateWorker, task: PlacementTask, required: Resources): void {
    const { stepKey, definition, suspicion } = task;
    const placed = { stepKey, definition, isMeasured: false, suspicion, isNew: true };
    const worker = addTasks(best, [placed]);
    this._workers.set(best.agent, {
      ...worker,
      free: subtractResources(best.free, required),
      idleMilli: worker.idleMilli - required.processorsMilli,
      groupSize: best.groupSize + Number(suspicion === "once"),
      admission: best.admission === "open" ? "open" : "closed",
    });
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
