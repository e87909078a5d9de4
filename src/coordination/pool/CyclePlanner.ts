/**
 * Runs one round of placement on what the scheduler of a pool knows: first the tasks that wait,
 * then copies of speculative tasks that are slow, then runs that are better off elsewhere.
 */
import type { ActiveRun, TaskState } from "../../state/pool/TaskState.ts";
import type { WorkerQuarantine } from "../placement/WorkerQuarantine.ts";
import type { PaceController } from "./PaceController.ts";
import { PlacementState } from "./PlacementState.ts";
import type { PoolState } from "./PoolState.ts";
import {
  getSpeculativeSteps,
  getWaitingSteps,
  placeSteps,
  toPlacementTask,
  type PlannedRun,
} from "./taskPlacement.ts";
import { getStepKey, type ActiveTaskRun } from "./ActiveRunTable.ts";
import { shouldSpeculate } from "./runMonitor.ts";

/** What a round decides. */
export interface CyclePlan {
  /** Runs to start. */
  readonly starts: readonly PlannedRun[];
  /** Runs to stop so that their tasks start elsewhere. */
  readonly moves: readonly ActiveTaskRun[];
}

/** Rounds of one scheduler. */
export class CyclePlanner {
  private readonly _state: PoolState;
  private readonly _quarantine: WorkerQuarantine;
  private readonly _paceController: PaceController;

  /**
   * Creates a runner.
   * @param state - What the scheduler knows.
   * @param quarantine - Workers under suspicion.
   * @param paceController - What disturbs serving tasks.
   */
  constructor(state: PoolState, quarantine: WorkerQuarantine, paceController: PaceController) {
    this._state = state;
    this._quarantine = quarantine;
    this._paceController = paceController;
  }

  /**
   * Plans a round.
   * @param now - Monotonic time in milliseconds.
   * @param timeOfDayMs - Time of day in Unix milliseconds.
   */
  plan(now: number, timeOfDayMs: number): CyclePlan {
    const { jobs, workerTable: table } = this._state;
    const isSlow = (task: TaskState, active: ActiveRun): boolean =>
      shouldSpeculate({ task, active }, table.getWorker(active.agent), now);
    const copies = getSpeculativeSteps(jobs, isSlow, timeOfDayMs);
    const steps = [...getWaitingSteps(jobs, timeOfDayMs), ...copies];
    const unwelcome = this._paceController.getRunsToMove();
    if (steps.length === 0 && unwelcome.length === 0) {
      return { starts: [], moves: [] };
    }
    const board = this._createPlacementState(now);
    const { runs: starts } = placeSteps(steps, board);
    const moves = unwelcome.filter(({ task, active }) =>
      board.hasBetterWorker(toPlacementTask(task), active.agent),
    );
    return { starts, moves };
  }

  private _createPlacementState(now: number): PlacementState {
    const { workerTable: table, activeRuns: book } = this._state;
    const usable = table.getSchedulable(now);
    const agents = usable.map(({ agent }) => agent);
    const capacities = new Map(
      usable.map(({ report }) => [report.worker, report.capacity.processorsMilli]),
    );
    const board = new PlacementState(usable, {
      admissions: this._quarantine.getAdmissions(agents, now),
      getCommitted: (worker) => table.getCommitted(worker),
      getToleratedMilli: (worker, serving, image) =>
        (capacities.get(worker) ?? 0) *
        this._paceController.getToleratedShare(worker, serving, image),
    });
    book.getAll().forEach((booked) => {
      const { task, active } = booked;
      const isMeasured = this._paceController.isMeasured(booked);
      board.addRun(active.agent, getStepKey(task.address), task.definition, isMeasured);
    });
    return board;
  }
}
