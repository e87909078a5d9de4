/**
 * Polls the worker and brings the agent's books in line with its reports. The books are opened for
 * starts by the second report, taken after every order that an earlier incarnation of the agent may
 * still have had on its way to the worker.
 */
import type { CapacityBook } from "../../../coordination/tasks/CapacityBook.ts";
import type { TaskTable } from "../../../coordination/tasks/TaskTable.ts";
import {
  WorkerReconciler,
  type ThrottleOrder,
} from "../../../coordination/tasks/WorkerReconciler.ts";
import type { HeatReport } from "../../../coordination/disturbance/HeatTracker.ts";
import type { WorkerReport } from "../../../protocol/platform/Worker.ts";
import { NO_RESOURCES, type Resources } from "../../../protocol/Resources.ts";
import type { TaskServiceOptions } from "./TaskServiceOptions.ts";

const DEFAULT_SETTLE_MS = 1_000;

/** Polls one worker. */
export class WorkerPoller {
  private readonly _options: TaskServiceOptions;
  private readonly _table: TaskTable;
  private readonly _reconciler: WorkerReconciler;
  private _report: WorkerReport | undefined;
  private _reportedAt = 0;
  private _beganAt = 0;
  private _underWay = false;

  /**
   * Creates a poller.
   * @param options - Surroundings of the task service.
   * @param table - Tasks of the VM.
   * @param book - Capacity book of the VM.
   */
  constructor(options: TaskServiceOptions, table: TaskTable, book: CapacityBook) {
    this._options = options;
    this._table = table;
    this._reconciler = new WorkerReconciler(table, book);
  }

  /** Notes when the agent began to ask. */
  begin(): void {
    this._beganAt = this._options.clock.now();
  }

  /** Gives the usage of the VM that the worker last reported. */
  getUsed(): Resources {
    return this._report?.used ?? NO_RESOURCES;
  }

  /** Gives the heat level that the worker last reported. */
  getHeatLevel(): number | undefined {
    return this._report?.heatLevel;
  }

  /** Gives the last heat report of the worker; undefined before the first report. */
  getHeatReport(): HeatReport | undefined {
    return this._report === undefined
      ? undefined
      : { receivedAt: this._reportedAt, level: this._report.heatLevel };
  }

  /** Asks the worker once, unless it is being asked. */
  async poll(): Promise<void> {
    if (this._underWay) {
      return;
    }
    this._underWay = true;
    const askedAt = this._options.clock.now();
    const result = await this._options.worker.report();
    this._underWay = false;
    if (result.isErr()) {
      this._options.log.warn("The worker did not report.", { detail: result.error.detail });
      return;
    }
    this._take(result.value, askedAt);
  }

  private _take(report: WorkerReport, askedAt: number): void {
    const throttles = this._reconciler.apply(report, askedAt, this._options.clock.now());
    throttles.forEach((order) => void this._throttle(order));
    const settleMs = this._options.settleMs ?? DEFAULT_SETTLE_MS;
    const settled = askedAt - this._beganAt >= settleMs;
    if (!this._table.isReady() && this._report !== undefined && settled) {
      this._table.open();
      this._options.log.info("Tasks may start.", { tasks: this._table.getAll().length });
    }
    this._report = report;
    this._reportedAt = askedAt;
  }

  private async _throttle(order: ThrottleOrder): Promise<void> {
    const result = await this._options.worker.throttle(order.task, order.attempt, order.percent);
    if (result.isErr()) {
      this._options.log.warn("A task could not be throttled.", { task: order.task });
    }
  }
}
