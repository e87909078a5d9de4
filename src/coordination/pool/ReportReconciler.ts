/**
 * Reconciles the lists of a worker with the active runs that are assigned to it. A run that is
 * listed as running is running, and one that is listed as ended has ended. A run in neither list is
 * lost, but only if the lists are complete and were certainly made after the last moment at which the
 * worker could have started it.
 */
import { parseTaskId } from "../../protocol/pool/TaskId.ts";
import type { EndedRun, RunningRun } from "../../protocol/platform/PoolWorker.ts";
import type { ActiveRun, TaskState } from "../../state/pool/TaskState.ts";
import type { WorkerReport } from "./AgentChannel.ts";
import {
  formatRunKey,
  getRunKey,
  isShownBy,
  type ActiveRunTable,
  type ActiveTaskRun,
} from "./ActiveRunTable.ts";
import { hasSameId } from "./incarnations.ts";

const FULL_PERCENT = 100;
/** Time for which a long-running run is at work before it counts as a success, in milliseconds. */
const MIN_WORK_MS = 1_000;

/** Callbacks for the differences between a report and the active runs. */
export interface ReconcilerCallbacks {
  /** Returns a task; undefined if it is unknown. */
  readonly getTask: (id: string) => TaskState | undefined;
  /** An active run has ended. */
  readonly onRunEnded: (taskRun: ActiveTaskRun, ended: EndedRun) => void;
  /** A run that is not active has ended: it was given up, or its end was handled before. */
  readonly onUnknownRunEnded: (ended: EndedRun) => void;
  /** A long-running run has been at work for some time. */
  readonly onRunAtWork: (taskRun: ActiveTaskRun) => void;
  /** The worker does not have an active run and will never start it. */
  readonly onRunLost: (taskRun: ActiveTaskRun, reason: string) => void;
  /** The worker lists a run that is not active there. */
  readonly onUnknownRun: (running: RunningRun) => void;
}

/** A report with what was handled before it. */
export interface ReportInput {
  readonly agent: string;
  /** Process of the agent. */
  readonly process: string;
  readonly report: WorkerReport;
  /** Run ends up to this number were handled before. */
  readonly lastHandledEnd: number;
  /** Monotonic time in milliseconds. */
  readonly now: number;
}

/** Reconciles reports with the table of active runs. */
export class ReportReconciler {
  private readonly _activeRuns: ActiveRunTable;
  private readonly _callbacks: ReconcilerCallbacks;

  /**
   * Creates a reconciler.
   * @param activeRuns - Table of active runs.
   * @param callbacks - Called for ended, lost and unknown runs.
   */
  constructor(activeRuns: ActiveRunTable, callbacks: ReconcilerCallbacks) {
    this._activeRuns = activeRuns;
    this._callbacks = callbacks;
  }

  /**
   * Handles a report. If the worker does not respond, its lists are out of date or missing, but the
   * ends that it has listed remain true.
   * @param input - The report.
   */
  reconcile(input: ReportInput): void {
    const { report, lastHandledEnd } = input;
    this.handleEnds(
      report.worker,
      report.ended.filter(({ number }) => number > lastHandledEnd),
    );
    if (!report.answers) {
      return;
    }
    report.running.forEach((running) => {
      this._handleRunning(input, running);
    });
    // A run that is not listed may be among ends that are listed once others are acknowledged.
    if (!report.mayLackEnds) {
      this._reportMissing(input);
    }
  }

  /**
   * Handles ends that an incarnation has listed.
   * @param worker - The incarnation.
   * @param ended - The ends.
   */
  handleEnds(worker: string, ended: readonly EndedRun[]): void {
    ended.forEach((end) => {
      this._handleEnd(worker, end);
    });
  }

  private _handleEnd(worker: string, ended: EndedRun): void {
    // A late start may have been executed by the next incarnation under the same id.
    const taskRun = this._findRun(
      ended,
      (active) => active.worker === worker || hasSameId(worker, active.worker),
    );
    if (taskRun === undefined) {
      this._callbacks.onUnknownRunEnded(ended);
    } else {
      this._callbacks.onRunEnded(taskRun, ended);
    }
  }

  private _handleRunning(input: ReportInput, running: RunningRun): void {
    const { now, report, process } = input;
    const taskRun = this._findRun(running, (active) => active.worker === report.worker);
    if (taskRun === undefined) {
      this._callbacks.onUnknownRun(running);
      return;
    }
    const { task, active } = taskRun;
    task.updateCheckpoint(running.checkpoint);
    const isAtWork = isWorking(taskRun, running, now);
    const hasBegun = active.phase === "ordered" || active.phase === "unconfirmed";
    const hasProgressed = running.percent > active.percent;
    task.updateRun(active.run, {
      percent: running.percent,
      isAtWork: active.isAtWork || isAtWork,
      progressedAt: hasProgressed || hasBegun ? now : active.progressedAt,
      ...(hasBegun
        ? { phase: "running", since: now, callNumber: report.callNumber, callProcess: process }
        : {}),
    });
    if (isAtWork && !active.isAtWork) {
      this._callbacks.onRunAtWork(taskRun);
    }
  }

  private _reportMissing(input: ReportInput): void {
    const { agent, process, report } = input;
    const lists = { process, callNumber: report.callNumber };
    const listed = new Set(report.running.map(({ task, run }) => formatRunKey(task, run)));
    this._activeRuns
      .getByAgent(agent)
      .filter(({ active }) => active.worker === report.worker)
      .filter((taskRun) => !listed.has(getRunKey(taskRun)))
      .filter(({ active }) => active.phase === "unconfirmed" || isShownBy(active, lists))
      .forEach((taskRun) => {
        this._callbacks.onRunLost(taskRun, `its worker does not list it (${taskRun.active.phase})`);
      });
  }

  private _findRun(
    { task: id, run }: Pick<RunningRun, "task" | "run">,
    isWanted: (active: ActiveRun) => boolean,
  ): ActiveTaskRun | undefined {
    const task = parseTaskId(id) === undefined ? undefined : this._callbacks.getTask(id);
    const active = task?.getRun(run);
    return task !== undefined && active !== undefined && isWanted(active)
      ? { task, active }
      : undefined;
  }
}

/** Returns whether a long-running run has been at work for some time. */
function isWorking({ task, active }: ActiveTaskRun, running: RunningRun, now: number): boolean {
  return (
    task.definition.longRunning &&
    active.phase === "running" &&
    running.percent >= FULL_PERCENT &&
    now - active.since >= MIN_WORK_MS
  );
}
