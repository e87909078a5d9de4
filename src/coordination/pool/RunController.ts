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
import type { ActiveTaskRun } from "./ActiveRunTable.ts";
import { getRunAction, STALLED_REASON } from "./runMonitor.ts";

/** What a director needs. */
export interface RunControllerDependencies {
  readonly state: PoolState;
  readonly orders: OrderSender;
  readonly clock: Clock;
  readonly log: Log;
  readonly formerLeasesExpireBy: number;
  /** Called where a run certainly does not exist and never will. */
  readonly onRunLost: (booked: ActiveTaskRun, reason: string) => void;
  /** Called where a run is stopped because its worker makes nothing of it. */
  readonly onRunStalled: (booked: ActiveTaskRun) => void;
  /** Called where a later scheduler is known to an agent or worker. */
  readonly onSuperseded: () => void;
}

/** Orders of one scheduler by run. */
export class RunController {
  private readonly _deps: RunControllerDependencies;

  /**
   * Creates a director.
   * @param deps - What it needs.
   */
  constructor(deps: RunControllerDependencies) {
    this._deps = deps;
  }

  /**
   * Orders a run that has been recorded; one that is not wanted any more is dropped.
   * @param id - Id of the task.
   * @param run - Number of the run.
   */
  startRecorded(id: string, run: number): void {
    const booked = this._findActiveRun(id, run);
    if (booked?.active.phase !== "recording") {
      return;
    }
    if (booked.active.stopReason !== "") {
      this._deps.onRunLost(booked, booked.active.stopReason);
      return;
    }
    this._sendStart(booked);
  }

  /**
   * Stops a run.
   * @param booked - The run.
   * @param reason - Why.
   */
  stop(booked: ActiveTaskRun, reason: string): void {
    const { task, active } = booked;
    if (active.phase === "recording") {
      task.updateRun(active.run, { stopReason: reason });
    } else if (active.phase !== "stopping") {
      this._orderStop(booked, reason);
    }
  }

  private _orderStop(booked: ActiveTaskRun, reason: string): void {
    const { task, active } = booked;
    if (active.phase !== "stopping") {
      this._deps.log.info("Run is stopped.", { task: task.id, run: active.run, reason });
    }
    this._sendStop(booked, reason);
  }

  /**
   * Stops a run that is not booked.
   * @param agent - Agent of the worker.
   * @param worker - Incarnation of the worker.
   * @param order - The run.
   */
  stopUnknownRun(agent: string, worker: string, order: RunOrder): void {
    this._deps.log.warn("Worker runs what is not booked there.", { agent, ...order });
    this._deps.orders.stop(agent, worker, order);
  }

  /** Does what has become due. */
  tick(): void {
    const {
      state,
      clock,
      formerLeasesExpireBy,
      onRunLost: onVoid,
      onRunStalled: onStalled,
    } = this._deps;
    const now = clock.now();
    state.activeRuns.getAll().forEach((booked) => {
      const worker = state.workerTable.getWorker(booked.active.agent);
      const step = getRunAction(booked, { worker, formerLeasesExpireBy }, now);
      switch (step.kind) {
        case "start":
          this._sendStart(booked);
          return;
        case "stop":
          if (step.reason === STALLED_REASON) {
            onStalled(booked);
          }
          this._orderStop(booked, step.reason);
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
  handleOrderReport(agent: string, worker: string, report: OrderReport): void {
    report.starts.forEach((result) => {
      this._handleStartResult(agent, worker, result, report.callNumber);
    });
    report.stops.forEach((result) => {
      const booked = this._findActiveRun(result.task, result.run);
      const isStopping = booked?.active.worker === worker && booked.active.phase === "stopping";
      if (isStopping && result.failure === undefined) {
        booked.task.updateRun(result.run, { callNumber: report.callNumber });
      }
    });
  }

  private _handleStartResult(
    agent: string,
    worker: string,
    result: RunResult,
    callNumber: number,
  ): void {
    const booked = this._findActiveRun(result.task, result.run);
    if (booked?.active.worker !== worker || booked.active.phase !== "ordered") {
      return;
    }
    const { failure } = result;
    if (failure !== undefined) {
      this._recordFailedStart(agent, booked, failure);
    }
    if (failure === "fenced") {
      this._deps.onSuperseded();
    } else if (failure !== undefined && isRefusal(failure) && booked.active.tries === 1) {
      this._deps.onRunLost(booked, `refused: ${failure}`);
    } else {
      this._recordCallNumber(booked, result, callNumber);
    }
  }

  /** An order that was carried out or refused shows in lists made from then on. */
  private _recordCallNumber(booked: ActiveTaskRun, result: RunResult, callNumber: number): void {
    if (result.failure !== "unknown") {
      booked.task.updateRun(booked.active.run, { callNumber });
    }
  }

  private _recordFailedStart(
    agent: string,
    { task, active }: ActiveTaskRun,
    failure: WorkerCallFailure["kind"],
  ): void {
    const { state, clock, log } = this._deps;
    log.warn("Start was not carried out.", { task: task.id, run: active.run, agent, failure });
    if (isRefusal(failure)) {
      const isLasting = failure !== "no-room" && failure !== "late";
      state.workerTable.recordRefusal(agent, isLasting, clock.now());
    }
  }

  private _sendStart({ task, active }: ActiveTaskRun): void {
    const { state, orders, clock } = this._deps;
    const { run, agent, worker, tries } = active;
    task.updateRun(run, { phase: "ordered", since: clock.now(), tries: tries + 1 });
    const payload = state.getJobOf(task)?.record.payload ?? "";
    orders.start(agent, worker, {
      task: task.id,
      run,
      payload,
      checkpoint: task.checkpoint,
      ticket: "",
    });
  }

  private _sendStop({ task, active }: ActiveTaskRun, stopReason: string): void {
    const { orders, clock } = this._deps;
    const { run, agent, worker } = active;
    const tries = active.phase === "stopping" ? active.tries + 1 : 1;
    const change = { phase: "stopping", since: clock.now(), callNumber: undefined } as const;
    task.updateRun(run, { ...change, stopReason, tries });
    orders.stop(agent, worker, { task: task.id, run });
  }

  private _findActiveRun(id: string, run: number): ActiveTaskRun | undefined {
    const task = this._deps.state.getTask(id);
    const active = task?.getRun(run);
    return task !== undefined && active !== undefined ? { task, active } : undefined;
  }
}

/** Whether a worker that answers so certainly did not begin the run. */
function isRefusal(failure: WorkerCallFailure["kind"]): boolean {
  return ["no-room", "unhealthy", "late", "no-ticket", "rejected", "draining"].includes(failure);
}
