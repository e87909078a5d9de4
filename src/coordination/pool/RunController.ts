/**
 * Orders agents to start and stop runs, and resends orders without a result. A start is ordered
 * only after it was recorded, and counts as ordered from when it is sent.
 */
import type { Clock } from "../../protocol/platform/Clock.ts";
import type { Log } from "../../protocol/platform/Log.ts";
import type { OrderFailure, OrderReport, RunOrder, RunResult, StartOrder } from "./AgentChannel.ts";
import type { LeaseGrants } from "./LeaseGrants.ts";
import type { OrderSender } from "./OrderSender.ts";
import type { PoolState } from "./PoolState.ts";
import type { ActiveTaskRun, ListCall } from "./ActiveRunTable.ts";
import { findStopReason } from "./desiredRuns.ts";
import { hasSameId } from "./incarnations.ts";
import { getCommittedResources } from "./stepResources.ts";
import { getRunAction, STALLED_REASON } from "./runMonitor.ts";

/** Why a run is not started on a worker that has become too small. */
const NO_ROOM_REASON = "its worker has room for it no more";
const NO_LEASE_REASON = "its worker gets no lease";

/** Dependencies of a run controller. */
export interface RunControllerDependencies {
  readonly state: PoolState;
  readonly orders: OrderSender;
  readonly clock: Clock;
  readonly log: Log;
  readonly grants: Pick<LeaseGrants, "getFormerLeaseEnd">;
  /** Called when a run certainly does not exist and will never start. */
  readonly onRunLost: (taskRun: ActiveTaskRun, reason: string) => void;
  /** Called when a run is stopped because it makes no progress. */
  readonly onRunStalled: (taskRun: ActiveTaskRun) => void;
  /** Called when an agent follows a scheduler of a later epoch. */
  readonly onSuperseded: () => void;
}

/** Starts and stops the runs of one scheduler. */
export class RunController {
  private readonly _deps: RunControllerDependencies;

  /**
   * Creates a controller.
   * @param deps - State, order sender and callbacks.
   */
  constructor(deps: RunControllerDependencies) {
    this._deps = deps;
  }

  /**
   * Requests the start of a run that has been recorded.
   * @param id - Id of the task.
   * @param run - Number of the run.
   */
  startRecorded(id: string, run: number): void {
    const taskRun = this._findActiveRun(id, run);
    if (taskRun?.active.phase === "recording") {
      this._requestStart(taskRun);
    }
  }

  /**
   * Creates the order to start a run that is sent now, under a lease that has just been extended; the
   * run counts as ordered from now on. One that is no longer needed or has no room is dropped, or
   * stopped if it was ordered before.
   * @param worker - Incarnation of the worker.
   * @param order - The run.
   * @returns The order; undefined if the run is not to be started.
   */
  createStart(worker: string, order: RunOrder): StartOrder | undefined {
    const taskRun = this._findStartable(worker, order);
    if (taskRun === undefined) {
      return undefined;
    }
    const { task, active } = taskRun;
    const stopReason = this._findStopReason(taskRun) ?? active.stopReason;
    const reason = stopReason === "" && !this._hasRoom(taskRun) ? NO_ROOM_REASON : stopReason;
    if (reason !== "") {
      this._withdrawStart(taskRun, reason);
      return undefined;
    }
    const now = this._deps.clock.now();
    const { run, tries } = active;
    task.updateRun(run, { phase: "ordered", since: now, tries: tries + 1 });
    const payload = this._deps.state.getJobOf(task)?.record.payload ?? "";
    return { task: task.id, run, payload, checkpoint: task.checkpoint, ticket: "" };
  }

  /**
   * Handles that the start of a run cannot be ordered, as its worker gets no lease. A run that was
   * ordered before is ordered again as long as it may be there.
   * @param worker - Incarnation of the worker.
   * @param order - The run.
   */
  handleMissingLease(worker: string, order: RunOrder): void {
    const taskRun = this._findStartable(worker, order);
    if (taskRun?.active.phase === "recording") {
      this._deps.onRunLost(taskRun, NO_LEASE_REASON);
    }
  }

  /** Finds a run whose start was requested, unless it has been given up or stopped since. */
  private _findStartable(worker: string, { task, run }: RunOrder): ActiveTaskRun | undefined {
    const taskRun = this._findActiveRun(task, run);
    const isStartable =
      taskRun?.active.worker === worker && ["recording", "ordered"].includes(taskRun.active.phase);
    return isStartable ? taskRun : undefined;
  }

  private _withdrawStart(taskRun: ActiveTaskRun, reason: string): void {
    if (taskRun.active.phase === "recording") {
      this._deps.onRunLost(taskRun, reason);
    } else {
      this._orderStop(taskRun, reason);
    }
  }

  private _requestStart({ task, active }: ActiveTaskRun): void {
    const { agent, worker, run } = active;
    this._deps.orders.start(agent, worker, { task: task.id, run });
  }

  /**
   * Stops a run.
   * @param taskRun - The run.
   * @param reason - Reason of the stop.
   */
  stop(taskRun: ActiveTaskRun, reason: string): void {
    const { task, active } = taskRun;
    if (active.phase === "recording") {
      task.updateRun(active.run, { stopReason: reason });
    } else if (active.phase !== "stopping") {
      this._orderStop(taskRun, reason);
    }
  }

  private _orderStop(taskRun: ActiveTaskRun, reason: string): void {
    const { task, active } = taskRun;
    if (active.phase !== "stopping") {
      this._deps.log.info("Run is being stopped.", { task: task.id, run: active.run, reason });
    }
    this._sendStop(taskRun, reason);
  }

  /**
   * Stops a run that is not active on its worker.
   * @param agent - Agent of the worker.
   * @param worker - Incarnation of the worker.
   * @param order - The run.
   */
  stopUnknownRun(agent: string, worker: string, order: RunOrder): void {
    this._deps.log.warn("Worker lists a run that is not active there; the run is being stopped.", {
      agent,
      ...order,
    });
    this._deps.orders.stop(agent, worker, order);
  }

  /** Executes all actions that are due. */
  tick(): void {
    const { state, clock, grants, onRunLost, onRunStalled } = this._deps;
    const now = clock.now();
    state.activeRuns.getAll().forEach((taskRun) => {
      const worker = state.workerTable.getWorker(taskRun.active.agent);
      const formerLeasesExpireBy = grants.getFormerLeaseEnd(taskRun.active.agent);
      const stopReason = this._findStopReason(taskRun);
      const action = getRunAction(taskRun, { worker, formerLeasesExpireBy, stopReason }, now);
      switch (action.kind) {
        case "start":
          this._requestStart(taskRun);
          return;
        case "stop":
          if (action.reason === STALLED_REASON) {
            onRunStalled(taskRun);
          }
          this._orderStop(taskRun, action.reason);
          return;
        case "void":
          onRunLost(taskRun, action.reason);
          return;
        case "none":
      }
    });
  }

  /**
   * Handles the results of orders.
   * @param agent - Agent that returned the results.
   * @param worker - Incarnation of the worker.
   * @param report - The results.
   */
  handleOrderReport(agent: string, worker: string, report: OrderReport): void {
    const lists = this._getListCall(agent, report);
    report.starts.forEach((result) => {
      this._handleStartResult(agent, worker, result, lists);
    });
    report.stops.forEach((result) => {
      const taskRun = this._findActiveRun(result.task, result.run);
      if (taskRun?.active.phase !== "stopping" || taskRun.active.stopWorker !== worker) {
        return;
      }
      // The first executed stop decides. If a repetition counted, lists would come too late where
      // they take longer than the time after which a stop is repeated.
      const { callNumber: first, callProcess } = taskRun.active;
      const isFirst = first === undefined || callProcess !== lists.process;
      if (result.failure === undefined && isFirst) {
        this._setListCall(taskRun, lists);
      }
    });
  }

  private _handleStartResult(
    agent: string,
    worker: string,
    result: RunResult,
    lists: ListCall,
  ): void {
    const taskRun = this._findActiveRun(result.task, result.run);
    if (taskRun?.active.worker !== worker || taskRun.active.phase !== "ordered") {
      return;
    }
    const { failure } = result;
    if (failure !== undefined) {
      this._recordFailedStart(agent, taskRun, failure);
    }
    if (failure === "superseded") {
      this._deps.onSuperseded();
    } else if (!decidesAllOrders(failure)) {
      this._handleUndecidedStart(taskRun, failure, lists);
    } else {
      this._setListCall(taskRun, lists);
    }
  }

  /**
   * Gets the call after which lists show what became of orders. All lists of a process show the orders
   * that the one before it executed. An agent of a former version does not name its process.
   */
  private _getListCall(agent: string, { process, callNumber }: OrderReport): ListCall {
    const known = this._deps.state.workerTable.getAgent(agent);
    if (known?.process === undefined) {
      return { process, callNumber };
    }
    if (process === "") {
      return { process: known.process, callNumber };
    }
    return process === known.formerProcess
      ? { process: known.process, callNumber: 0 }
      : { process, callNumber };
  }

  /** Notes that lists of later calls show what became of the orders for a run. */
  private _setListCall({ task, active }: ActiveTaskRun, { process, callNumber }: ListCall): void {
    task.updateRun(active.run, { callNumber, callProcess: process });
  }

  /**
   * Handles the result of a start order that decides at most this order. Orders before and after it
   * may have no result yet and be executed late; only an executed stop rules that out.
   */
  private _handleUndecidedStart(
    taskRun: ActiveTaskRun,
    failure: OrderFailure,
    lists: ListCall,
  ): void {
    const { active } = taskRun;
    const isOnlyOrder = active.tries === 1;
    if (isRefusal(failure)) {
      if (isOnlyOrder) {
        this._deps.onRunLost(taskRun, `refused: ${failure}`);
      } else {
        this._orderStop(taskRun, `a repeated start order was refused: ${failure}`);
      }
    } else if (failure === "wrong-worker" && isOnlyOrder) {
      this._setListCall(taskRun, lists);
    }
  }

  private _recordFailedStart(
    agent: string,
    { task, active }: ActiveTaskRun,
    failure: OrderFailure,
  ): void {
    const { state, clock, log } = this._deps;
    log.warn("Start order of a run failed.", {
      task: task.id,
      run: active.run,
      agent,
      failure,
      tries: active.tries,
    });
    if (isRefusal(failure)) {
      const isLasting = failure !== "no-room" && failure !== "late";
      state.workerTable.recordRefusal(agent, isLasting, clock.now());
    }
  }

  private _sendStop({ task, active }: ActiveTaskRun, stopReason: string): void {
    const { state, orders, clock } = this._deps;
    const { run, agent } = active;
    // The next incarnation under the same id may have the run, or be given its start.
    const present = state.workerTable.getWorker(agent)?.report.worker ?? "";
    const worker = hasSameId(present, active.worker) ? present : active.worker;
    const tries = active.phase === "stopping" ? active.tries + 1 : 1;
    const callNumber = active.stopWorker === worker ? active.callNumber : undefined;
    const change = { phase: "stopping", since: clock.now(), callNumber } as const;
    task.updateRun(run, { ...change, stopReason, stopWorker: worker, tries });
    orders.stop(agent, worker, { task: task.id, run });
  }

  private _hasRoom({ task, active }: ActiveTaskRun): boolean {
    const { workerTable } = this._deps.state;
    return workerTable.hasRoomFor(active.agent, getCommittedResources(task.definition));
  }

  private _findStopReason(taskRun: ActiveTaskRun): string | undefined {
    return findStopReason(this._deps.state.getJobOf(taskRun.task), taskRun);
  }

  private _findActiveRun(id: string, run: number): ActiveTaskRun | undefined {
    const task = this._deps.state.getTask(id);
    const active = task?.getRun(run);
    return task !== undefined && active !== undefined ? { task, active } : undefined;
  }
}

/**
 * Returns whether the result of one start order shows what becomes of all orders to start the run:
 * the worker has it or has had it, and starts it no second time. Lists made by later calls of the
 * agent then contain it.
 */
function decidesAllOrders(failure: OrderFailure | undefined): failure is "old-run" | undefined {
  return failure === undefined || failure === "old-run";
}

/** Returns whether a worker that reports this failure certainly did not execute the order. */
function isRefusal(failure: OrderFailure): boolean {
  return ["no-room", "unhealthy", "late", "no-ticket", "rejected", "draining"].includes(failure);
}
