/**
 * Runs one round of placement on what the scheduler of a pool knows: first the tasks that wait,
 * then copies of speculative tasks that are slow, then runs that are better off elsewhere.
 */
import type { ActiveRun, TaskState } from "../../state/pool/TaskState.ts";
import type { WorkerQuarantine } from "../placement/WorkerQuarantine.ts";
import type { PaceDirector } from "./PaceDirector.ts";
import { PlacementBoard } from "./PlacementBoard.ts";
import type { PoolState } from "./PoolState.ts";
import {
  getSlowCopies,
  getWaitingSteps,
  planRound,
  toBoardTask,
  type PlannedRun,
} from "./RoundPlanner.ts";
import { getStepKey, type BookedRun } from "./RunBook.ts";
import { mayBeOvertaken } from "./RunWatch.ts";

/** What a round decides. */
export interface Round {
  /** Runs to start. */
  readonly starts: readonly PlannedRun[];
  /** Runs to stop so that their tasks start elsewhere. */
  readonly moves: readonly BookedRun[];
}

/** Rounds of one scheduler. */
export class RoundRunner {
  private readonly _state: PoolState;
  private readonly _quarantine: WorkerQuarantine;
  private readonly _paces: PaceDirector;

  /**
   * Creates a runner.
   * @param state - What the scheduler knows.
   * @param quarantine - Workers under suspicion.
   * @param paces - What disturbs serving tasks.
   */
  constructor(state: PoolState, quarantine: WorkerQuarantine, paces: PaceDirector) {
    this._state = state;
    this._quarantine = quarantine;
    this._paces = paces;
  }

  /**
   * Plans a round.
   * @param now - Monotonic time in milliseconds.
   * @param timeOfDayMs - Time of day in Unix milliseconds.
   */
  plan(now: number, timeOfDayMs: number): Round {
    const { jobs, table } = this._state;
    const isSlow = (task: TaskState, active: ActiveRun): boolean =>
      mayBeOvertaken({ task, active }, table.getWorker(active.agent), now);
    const copies = getSlowCopies(jobs, isSlow, timeOfDayMs);
    const steps = [...getWaitingSteps(jobs, timeOfDayMs), ...copies];
    const unwelcome = this._paces.getUnwelcome();
    if (steps.length === 0 && unwelcome.length === 0) {
      return { starts: [], moves: [] };
    }
    const board = this._createBoard(now);
    const { runs: starts } = planRound(steps, board);
    const moves = unwelcome.filter(({ task, active }) =>
      board.hasBetterPlace(toBoardTask(task), active.agent),
    );
    return { starts, moves };
  }

  private _createBoard(now: number): PlacementBoard {
    const { table, book } = this._state;
    const usable = table.getUsable(now);
    const agents = usable.map(({ agent }) => agent);
    const capacities = new Map(
      usable.map(({ report }) => [report.worker, report.capacity.processorsMilli]),
    );
    const board = new PlacementBoard(usable, {
      admissions: this._quarantine.getAdmissions(agents, now),
      getCommitted: (worker) => table.getCommitted(worker),
      getRoomMilli: (worker, serving, image) =>
        (capacities.get(worker) ?? 0) * this._paces.getRoom(worker, serving, image),
    });
    book.getAll().forEach((booked) => {
      const { task, active } = booked;
      const isMeasured = this._paces.isMeasured(booked);
      board.noteRun(active.agent, getStepKey(task.address), task.definition, isMeasured);
    });
    return board;
  }
}
