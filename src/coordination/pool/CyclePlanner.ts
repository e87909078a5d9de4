/**
 * Plans one scheduling cycle from the state of a pool's scheduler: first the waiting tasks, then
 * speculative runs of slow tasks, then runs that should move to other workers.
 */
import type { ActiveRun, TaskState } from "../../state/pool/TaskState.ts";
import type { WorkerQuarantine } from "../placement/WorkerQuarantine.ts";
import { NEW_RUN_MS } from "./CrashHandler.ts";
import type { LeaseGrants } from "./LeaseGrants.ts";
import type { PaceController } from "./PaceController.ts";
import type { PlacedTask } from "./candidateWorker.ts";
import { PlacementState } from "./PlacementState.ts";
import type { PoolState } from "./PoolState.ts";
import {
  getSpeculativeSteps,
  getSuspicion,
  getWaitingSteps,
  placeSteps,
  toPlacementTask,
  type PlannedRun,
} from "./taskPlacement.ts";
import type { ActiveTaskRun } from "./ActiveRunTable.ts";
import { shouldSpeculate } from "./runMonitor.ts";
import { limitStarts } from "./startLimit.ts";

/** Decisions of one scheduling cycle. */
export interface CyclePlan {
  /** Runs to start. */
  readonly starts: readonly PlannedRun[];
  /** Runs to stop so that their tasks start on other workers. */
  readonly moves: readonly ActiveTaskRun[];
  /** Whether runs were left for a later cycle because too many start orders are on the way. */
  readonly isLimited: boolean;
}

/** Dependencies of CyclePlanner. */
export interface CyclePlannerDependencies {
  readonly state: PoolState;
  readonly quarantine: WorkerQuarantine;
  /** Source of tolerated shares and of runs that should move. */
  readonly paceController: PaceController;
  readonly grants: Pick<LeaseGrants, "mayGrant">;
}

/** Plans the scheduling cycles of one scheduler. */
export class CyclePlanner {
  private readonly _deps: CyclePlannerDependencies;

  /**
   * Creates a planner.
   * @param deps - Dependencies.
   */
  constructor(deps: CyclePlannerDependencies) {
    this._deps = deps;
  }

  /**
   * Plans a scheduling cycle.
   * @param now - Monotonic time in milliseconds.
   * @param timeOfDayMs - Time of day in Unix milliseconds.
   */
  plan(now: number, timeOfDayMs: number): CyclePlan {
    const { state, paceController } = this._deps;
    const { jobs, workerTable } = state;
    const isSlow = (task: TaskState, active: ActiveRun): boolean =>
      shouldSpeculate({ task, active }, workerTable.getWorker(active.agent), now);
    const speculative = getSpeculativeSteps(jobs, isSlow, timeOfDayMs);
    const steps = [...getWaitingSteps(jobs, timeOfDayMs), ...speculative];
    const runsToMove = paceController.getRunsToMove();
    if (steps.length === 0 && runsToMove.length === 0) {
      return { starts: [], moves: [], isLimited: false };
    }
    const trialCount = steps
      .filter(({ isTrial }) => isTrial)
      .reduce((sum, { tasks }) => sum + tasks.length, 0);
    const placement = this._createPlacementState(now, trialCount);
    const { runs } = placeSteps(steps, placement);
    const starts = limitStarts(runs, state);
    const moves = runsToMove.filter(({ task, active }) =>
      placement.hasBetterWorker(toPlacementTask(task), active.agent),
    );
    return { starts, moves, isLimited: starts.length < runs.length };
  }

  private _createPlacementState(now: number, trialCount: number): PlacementState {
    const { state, quarantine, paceController, grants } = this._deps;
    const { workerTable, activeRuns } = state;
    // Nothing can be started on a worker that gets no lease.
    const schedulable = workerTable
      .getSchedulable(now)
      .filter(({ agent }) => grants.mayGrant(agent));
    const agents = schedulable.map(({ agent }) => agent);
    const capacities = new Map(
      schedulable.map(({ report }) => [report.worker, report.capacity.processorsMilli]),
    );
    const placement = new PlacementState(schedulable, {
      admissions: quarantine.getAdmissions(agents, now),
      trialCount,
      getCommitted: (worker) => workerTable.getCommitted(worker),
      getToleratedMilli: (worker, serving, image) =>
        (capacities.get(worker) ?? 0) * paceController.getToleratedShare(worker, serving, image),
    });
    activeRuns.agents.forEach((agent) => {
      const runs = activeRuns.getByAgent(agent);
      placement.addRuns(
        agent,
        runs.map((taskRun) => this._toPlacedTask(taskRun, now)),
      );
    });
    return placement;
  }

  private _toPlacedTask(taskRun: ActiveTaskRun, now: number): PlacedTask {
    const { task, active } = taskRun;
    const { stepKey, definition } = task;
    return {
      stepKey,
      definition,
      isMeasured: !definition.usesIdleProcessors || this._deps.paceController.isMeasured(taskRun),
      suspicion: getSuspicion(task),
      isNew: isNew(active, now),
    };
  }
}

/** Returns whether a run was started a moment ago. */
function isNew({ phase, since }: ActiveRun, now: number): boolean {
  return phase !== "unconfirmed" && phase !== "stopping" && now - since < NEW_RUN_MS;
}
