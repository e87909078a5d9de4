/**
 * Runs one round of placement on what the scheduler of a pool knows: first the tasks that wait,
 * then copies of speculative tasks that are slow.
 */
import type { ActiveRun, TaskState } from "../../state/pool/TaskState.ts";
import type { WorkerQuarantine } from "../placement/WorkerQuarantine.ts";
import type { PaceDirector } from "./PaceDirector.ts";
import { PlacementBoard } from "./PlacementBoard.ts";
import type { PoolState } from "./PoolState.ts";
import { getSlowCopies, getWaitingSteps, planRound, type PlannedRun } from "./RoundPlanner.ts";
import { getStepKey } from "./RunBook.ts";
import { mayBeOvertaken } from "./RunWatch.ts";

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
  plan(now: number, timeOfDayMs: number): readonly PlannedRun[] {
    const { jobs, table } = this._state;
    const isSlow = (task: TaskState, active: ActiveRun): boolean =>
      mayBeOvertaken({ task, active }, table.getWorker(active.agent), now);
    const copies = getSlowCopies(jobs, isSlow, timeOfDayMs);
    const steps = [...getWaitingSteps(jobs, timeOfDayMs), ...copies];
    return steps.length === 0 ? [] : planRound(steps, this._createBoard(now)).runs;
  }

  private _createBoard(now: number): PlacementBoard {
    const { table, book } = this._state;
    const usable = table.getUsable(now);
    const agents = usable.map(({ agent }) => agent);
    const board = new PlacementBoard(usable, {
      admissions: this._quarantine.getAdmissions(agents, now),
      getCommitted: (worker) => table.getCommitted(worker),
      isDisturbing: (serving, image) => this._paces.isDisturbing(serving, image, now),
      mayDisturb: (serving, image) => this._paces.mayDisturb(serving, image, now),
    });
    book.getAll().forEach(({ task, active }) => {
      board.noteRun(active.agent, getStepKey(task.address), task.definition);
    });
    return board;
  }
}
