/**
 * Orders runs to start and to stop, and repeats orders without a result. A start is ordered only
 * after it was recorded.
 */
import type { Clock } from "../../protocol/platform/Clock.ts";
import type { Log } from "../../protocol/platform/Log.ts";
import type { WorkerCallFailure } from "../../protocol/platform/PoolWorker.ts";
import type { OrderReport, RunOrder, RunResult } from "./AgentChannel.ts";
import type { OrderSender } from "./OrderSender.ts";
import type { PoolState } from "./PoolState.ts";
import type { BookedRun } from "./RunBook.ts";
import { getRunStep, STALLED } from "./RunWatch.ts";

/** What a director needs. */
export interface RunDirectorParts {
  readonly state: PoolState;
  readonly orders: OrderSender;
  readonly clock: Clock;
  readonly log: Log;
  readonly takeoverLapsesAt: number;
  /** Called where a run certainly does not exist and never will. */
  readonly onVoid: (booked: BookedRun, reason: string) => void;
  /** Called where a run is stopped because its worker makes nothing of it. */
  readonly onStalled: (booked: BookedRun) => void;
  /** Called where a later scheduler is known to an agent or worker. */
  readonly onDeposed: () => void;
}

/** Orders of one scheduler by run. */
export class RunDirector {
  private readonly _parts: RunDirectorParts;

  /**
   * Creates a director.
   * @param parts - What it needs.
   */
  constructor(parts: RunDirectorParts) {
    this._parts = parts;
  }

  /**
   * Orders a run that has been recorded; one that is not wanted any more is dropped.
   * @param id - Id of the task.
   * @param run - Number of the run.
   */
  startRecorded(id: string, run: number): void {
    const booked = this._find(id, run);
    if (booked?.active.phase !== "recording") {
      return;
    }
    if (booked.active.stopReason !== "") {
      this._parts.onVoid(booked, booked.active.stopReason);
      return;
    }
    this._start(booked);
  }

  /**
   * Stops a run.
   * @param booked - The run.
   * @param reason - Why.
   */
  stop(booked: BookedRun, reason: string): void {
    const { task, active } = booked;
    if (active.phase === "recording") {
      task.changeRun(active.run, { stopReason: reason });
    } else if (active.phase !== "stopping") {
      this._repeatStop(booked, reason);
    }
  }

  private _repeatStop(booked: BookedRun, reason: string): void {
    const { task, active } = booked;
    if (active.phase !== "stopping") {
      this._parts.log.info("Run is stopped.", { task: task.id, run: active.run, reason });
    }
    this._stop(booked, reason);
  }

  /**
   * Stops a run that is not booked.
   * @param agent - Agent of the worker.
   * @param worker - Incarnation of the worker.
   * @param order - The run.
   */
  stopStray(agent: string, worker: string, order: RunOrder): void {
    this._parts.log.warn("Worker runs what is not booked there.", { agent, ...order });
    this._parts.orders.stop(agent, worker, order);
  }

  /** Does what has become due. */
  tick(): void {
    const { state, clock, takeoverLapsesAt, onVoid, onStalled } = this._parts;
    const now = clock.now();
    state.book.getAll().forEach((booked) => {
      const worker = state.table.getWorker(booked.active.agent);
      const step = getRunStep(booked, { worker, takeoverLapsesAt }, now);
      switch (step.kind) {
        case "start":
          this._start(booked);
          return;
        case "stop":
          if (step.reason === STALLED) {
            onStalled(booked);
          }
          this._repeatStop(booked, step.reason);
          return;
        case "void":
          onVoid(booked, step.reason);
          return;
        case "none":
      }
    });
  }

  /**
   * Takes in what became of orders.
   * @param agent - Agent that answered.
   * @param worker - Incarnation of the worker.
   * @param report - Results.
   */
  handle(agent: string, worker: string, report: OrderReport): void {
    report.starts.forEach((result) => {
      this._handleStart(agent, worker, result, report.callNumber);
    });
    report.stops.forEach((result) => {
      const booked = this._find(result.task, result.run);
      const isStopping = booked?.active.worker === worker && booked.active.phase === "stopping";
      if (isStopping && result.failure === undefined) {
        booked.task.changeRun(result.run, { callNumber: report.callNumber });
      }
    });
  }

  private _handleStart(agent: string, worker: string, result: RunResult, callNumber: number): void {
    const booked = this._find(result.task, result.run);
    if (booked?.active.worker !== worker || booked.active.phase !== "ordered") {
      return;
    }
    const { failure } = result;
    if (failure !== undefined) {
      this._noteRefusal(agent, booked, failure);
    }
    if (failure === "fenced") {
      this._parts.onDeposed();
    } else if (failure !== undefined && isRefusal(failure) && booked.active.tries === 1) {
      this._parts.onVoid(booked, `refused: ${failure}`);
    } else {
      this._settle(booked, result, callNumber);
    }
  }

  /** An order that was carried out or refused shows in lists made from then on. */
  private _settle(booked: BookedRun, result: RunResult, callNumber: number): void {
    if (result.failure !== "unknown") {
      booked.task.changeRun(booked.active.run, { callNumber });
    }
  }

  private _noteRefusal(
    agent: string,
    { task, active }: BookedRun,
    failure: WorkerCallFailure["kind"],
  ): void {
    const { state, clock, log } = this._parts;
    log.warn("Start was not carried out.", { task: task.id, run: active.run, agent, failure });
    if (isRefusal(failure)) {
      const isLasting = failure !== "no-room" && failure !== "late";
      state.table.noteRefusal(agent, isLasting, clock.now());
    }
  }

  private _start({ task, active }: BookedRun): void {
    const { state, orders, clock } = this._parts;
    const { run, agent, worker, tries } = active;
    task.changeRun(run, { phase: "ordered", since: clock.now(), tries: tries + 1 });
    const payload = state.getJobOf(task)?.record.payload ?? "";
    orders.start(agent, worker, {
      task: task.id,
      run,
      payload,
      checkpoint: task.checkpoint,
      ticket: "",
    });
  }

  private _stop({ task, active }: BookedRun, stopReason: string): void {
    const { orders, clock } = this._parts;
    const { run, agent, worker } = active;
    const tries = active.phase === "stopping" ? active.tries + 1 : 1;
    const change = { phase: "stopping", since: clock.now(), callNumber: undefined } as const;
    task.changeRun(run, { ...change, stopReason, tries });
    orders.stop(agent, worker, { task: task.id, run });
  }

  private _find(id: string, run: number): BookedRun | undefined {
    const task = this._parts.state.getTask(id);
    const active = task?.getRun(run);
    return task !== undefined && active !== undefined ? { task, active } : undefined;
  }
}

/** Whether a worker that answers so certainly did not begin the run. */
function isRefusal(failure: WorkerCallFailure["kind"]): boolean {
  return ["no-room", "unhealthy", "late", "no-ticket", "rejected", "draining"].includes(failure);
}
