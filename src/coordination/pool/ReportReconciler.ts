/**
 * Compares what a worker lists with what is booked on it. A run that is listed runs; an end that is
 * listed is an end; a run that is in neither list is void, but only where the lists were certainly
 * made after the worker had its last chance to begin it.
 */
import { parseTaskId } from "../../protocol/pool/TaskId.ts";
import type { EndedRun, RunningRun } from "../../protocol/platform/PoolWorker.ts";
import type { ActiveRun, TaskState } from "../../state/pool/TaskState.ts";
import type { WorkerReport } from "./AgentChannel.ts";
import type { ActiveTaskRun, ActiveRunTable } from "./ActiveRunTable.ts";

/** Receiver of what a report shows. */
export interface ReconcilerCallbacks {
  /** Gives a task; undefined where it is unknown. */
  readonly getTask: (id: string) => TaskState | undefined;
  /** A booked run has ended. */
  readonly onRunEnded: (booked: ActiveTaskRun, ended: EndedRun) => void;
  /** An end needs no record. */
  readonly onUnknownRunEnded: (ended: EndedRun) => void;
  /** A booked run does not exist and never will. */
  readonly onRunLost: (booked: ActiveTaskRun, reason: string) => void;
  /** A run is on the worker that is not booked there. */
  readonly onUnknownRun: (running: RunningRun) => void;
}

/** A report and what came before it. */
export interface ReportInput {
  readonly agent: string;
  readonly report: WorkerReport;
  /** Ends up to this number have been taken in before. */
  readonly lastHandledEnd: number;
  readonly isNewProcess: boolean;
  /** Monotonic time in milliseconds. */
  readonly now: number;
}

/** Compares reports with the book. */
export class ReportReconciler {
  private readonly _activeRuns: ActiveRunTable;
  private readonly _callbacks: ReconcilerCallbacks;

  /**
   * Creates it.
   * @param activeRuns - Runs that are booked.
   * @param callbacks - Receiver of what reports show.
   */
  constructor(activeRuns: ActiveRunTable, callbacks: ReconcilerCallbacks) {
    this._activeRuns = activeRuns;
    this._callbacks = callbacks;
  }

  /**
   * Takes in a report.
   * @param input - The report.
   */
  reconcile(input: ReportInput): void {
    const { agent, report, isNewProcess } = input;
    if (isNewProcess) {
      this._resetCallNumbers(agent);
    }
    report.ended
      .filter((ended) => ended.number > input.lastHandledEnd)
      .forEach((ended) => {
        this._handleEnd(input, ended);
      });
    report.running.forEach((running) => {
      this._handleRunning(input, running);
    });
    this._reportMissing(input);
  }

  /** Lists of a new process of the agent are later than all that the former one did. */
  private _resetCallNumbers(agent: string): void {
    this._activeRuns
      .getByAgent(agent)
      .filter(({ active }) => active.callNumber !== undefined)
      .forEach(({ task, active }) => {
        task.updateRun(active.run, { callNumber: 0 });
      });
  }

  private _handleEnd(input: ReportInput, ended: EndedRun): void {
    const booked = this._findActiveRun(input, ended.task, ended.run);
    if (booked === undefined) {
      this._callbacks.onUnknownRunEnded(ended);
    } else {
      this._callbacks.onRunEnded(booked, ended);
    }
  }

  private _handleRunning(input: ReportInput, running: RunningRun): void {
    const { now } = input;
    const booked = this._findActiveRun(input, running.task, running.run);
    if (booked === undefined) {
      this._callbacks.onUnknownRun(running);
      return;
    }
    const { task, active } = booked;
    task.updateCheckpoint(running.checkpoint);
    const hasBegun = active.phase === "ordered" || active.phase === "unconfirmed";
    const hasProgressed = running.percent > active.percent;
    task.updateRun(active.run, {
      percent: running.percent,
      progressedAt: hasProgressed || hasBegun ? now : active.progressedAt,
      ...(hasBegun ? { phase: "running", since: now, callNumber: 0 } : {}),
    });
  }

  private _reportMissing(input: ReportInput): void {
    const { agent, report } = input;
    const listed = new Set(report.running.map(({ task, run }) => `${task} ${run}`));
    this._activeRuns
      .getByAgent(agent)
      .filter(({ active }) => active.worker === report.worker)
      .filter(({ task, active }) => !listed.has(`${task.id} ${active.run}`))
      .filter(({ active }) => shouldBeListed(active, report.callNumber))
      .forEach((booked) => {
        this._callbacks.onRunLost(booked, `worker does not list it (${booked.active.phase})`);
      });
  }

  private _findActiveRun(input: ReportInput, id: string, run: number): ActiveTaskRun | undefined {
    const task = parseTaskId(id) === undefined ? undefined : this._callbacks.getTask(id);
    const active = task?.getRun(run);
    return task !== undefined && active?.worker === input.report.worker
      ? { task, active }
      : undefined;
  }
}

/** Whether lists made by a call would have the run, did it exist. */
function shouldBeListed(active: ActiveRun, callNumber: number): boolean {
  return (
    active.phase === "unconfirmed" ||
    (active.callNumber !== undefined && callNumber > active.callNumber)
  );
}
