/**
 * Compares what a worker lists with what is booked on it. A run that is listed runs; an end that is
 * listed is an end; a run that is in neither list is void, but only where the lists were certainly
 * made after the worker had its last chance to begin it.
 */
import { parseTaskId } from "../../protocol/pool/TaskId.ts";
import type { EndedRun, RunningRun } from "../../protocol/platform/PoolWorker.ts";
import type { ActiveRun, TaskState } from "../../state/pool/TaskState.ts";
import type { WorkerReport } from "./AgentChannel.ts";
import type { BookedRun, RunBook } from "./RunBook.ts";

/** Receiver of what a report shows. */
export interface ReportEvents {
  /** Gives a task; undefined where it is unknown. */
  readonly getTask: (id: string) => TaskState | undefined;
  /** A booked run has ended. */
  readonly onEnd: (booked: BookedRun, ended: EndedRun) => void;
  /** An end needs no record. */
  readonly onIdleEnd: (ended: EndedRun) => void;
  /** A booked run does not exist and never will. */
  readonly onVoid: (booked: BookedRun, reason: string) => void;
  /** A run is on the worker that is not booked there. */
  readonly onStray: (running: RunningRun) => void;
}

/** A report and what came before it. */
export interface ReportInput {
  readonly agent: string;
  readonly report: WorkerReport;
  /** Ends up to this number have been taken in before. */
  readonly seenEnd: number;
  readonly isNewProcess: boolean;
  /** Monotonic time in milliseconds. */
  readonly now: number;
}

/** Compares reports with the book. */
export class ReportReconciler {
  private readonly _book: RunBook;
  private readonly _events: ReportEvents;

  /**
   * Creates it.
   * @param book - Runs that are booked.
   * @param events - Receiver of what reports show.
   */
  constructor(book: RunBook, events: ReportEvents) {
    this._book = book;
    this._events = events;
  }

  /**
   * Takes in a report.
   * @param input - The report.
   */
  handle(input: ReportInput): void {
    const { agent, report, isNewProcess } = input;
    if (isNewProcess) {
      this._forgetCallNumbers(agent);
    }
    report.ended
      .filter((ended) => ended.number > input.seenEnd)
      .forEach((ended) => {
        this._handleEnd(input, ended);
      });
    report.running.forEach((running) => {
      this._handleRunning(input, running);
    });
    this._voidMissing(input);
  }

  /** Lists of a new process of the agent are later than all that the former one did. */
  private _forgetCallNumbers(agent: string): void {
    this._book
      .getByAgent(agent)
      .filter(({ active }) => active.callNumber !== undefined)
      .forEach(({ task, active }) => {
        task.changeRun(active.run, { callNumber: 0 });
      });
  }

  private _handleEnd(input: ReportInput, ended: EndedRun): void {
    const booked = this._find(input, ended.task, ended.run);
    if (booked === undefined) {
      this._events.onIdleEnd(ended);
    } else {
      this._events.onEnd(booked, ended);
    }
  }

  private _handleRunning(input: ReportInput, running: RunningRun): void {
    const { now } = input;
    const booked = this._find(input, running.task, running.run);
    if (booked === undefined) {
      this._events.onStray(running);
      return;
    }
    const { task, active } = booked;
    task.noteCheckpoint(running.checkpoint);
    const hasBegun = active.phase === "ordered" || active.phase === "unconfirmed";
    const hasProgressed = running.percent > active.percent;
    task.changeRun(active.run, {
      percent: running.percent,
      progressedAt: hasProgressed || hasBegun ? now : active.progressedAt,
      ...(hasBegun ? { phase: "running", since: now, callNumber: 0 } : {}),
    });
  }

  private _voidMissing(input: ReportInput): void {
    const { agent, report } = input;
    const listed = new Set(report.running.map(({ task, run }) => `${task} ${run}`));
    this._book
      .getByAgent(agent)
      .filter(({ active }) => active.worker === report.worker)
      .filter(({ task, active }) => !listed.has(`${task.id} ${active.run}`))
      .filter(({ active }) => mustBeListed(active, report.callNumber))
      .forEach((booked) => {
        this._events.onVoid(booked, `worker does not list it (${booked.active.phase})`);
      });
  }

  private _find(input: ReportInput, id: string, run: number): BookedRun | undefined {
    const task = parseTaskId(id) === undefined ? undefined : this._events.getTask(id);
    const active = task?.getRun(run);
    return task !== undefined && active?.worker === input.report.worker
      ? { task, active }
      : undefined;
  }
}

/** Whether lists made by a call would have the run, did it exist. */
function mustBeListed(active: ActiveRun, callNumber: number): boolean {
  return (
    active.phase === "unconfirmed" ||
    (active.callNumber !== undefined && callNumber > active.callNumber)
  );
}
