/**
 * Polls the worker and brings the agent's books in line with its reports. The books are opened for
 * starts by the second report, taken after every order that an earlier incarnation of the agent may
 * still have had on its way to the worker.
 */
import type { CapacityAllocator } from "../../../coordination/tasks/CapacityAllocator.ts";
import type { TaskTable } from "../../../coordination/tasks/TaskTable.ts";
import {
  WorkerReconciler,
  type ThrottleOrder,
} from "../../../coordination/tasks/WorkerReconciler.ts";
import type { HeatReport } from "../../../coordination/disturbance/HeatTracker.ts";
import type { WorkerReport } from "../../../protocol/platform/Worker.ts";
import { NO_RESOURCES, type Resources } from "../../../protocol/Resources.ts";
import type { TaskServiceOptions } from "./TaskServiceOptions.ts";

const DEFAULT_START_DELAY_MS = 1_000;

/** Polls one worker. */
export class WorkerPoller {
  private readonly _options: TaskServiceOptions;
  private readonly _table: TaskTable;
  private readonly _reconciler: WorkerReconciler;
  private _report: WorkerReport | undefined;
  private _reportedAt = 0;
  private _startedAt = 0;
  private _isPolling = false;

  /**
   * Creates a poller.
   * @param options - Surroundings of the task service.
   * @param table - Tasks of the VM.
   * @param allocator - Capacity book of the VM.
   */
  constructor(options: TaskServiceOptions, table: TaskTable, allocator: CapacityAllocator) {
    this._options = options;
    this._table = table;
    this._reconciler = new WorkerReconciler(table, allocator);
  }

  /** Notes when the agent began to ask. */
  start(): void {
    this._startedAt = this._options.clock.now();
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
    if (this._isPolling) {
      return;
    }
    this._isPolling = true;
    const requestedAt = this._options.clock.now();
    const result = await this._options.worker.report();
    this._isPolling = false;
    if (result.isErr()) {
      this._options.log.warn("The worker did not report.", { detail: result.error.detail });
      return;
    }
    this._handleReport(result.value, requestedAt);
  }

  private _handleReport(report: WorkerReport, requestedAt: number): void {
    const throttles = this._reconciler.apply(report, requestedAt, this._options.clock.now());
    throttles.forEach((order) => void this._throttle(order));
    const startDelayMs = this._options.startDelayMs ?? DEFAULT_START_DELAY_MS;
    const hasDelayPassed = requestedAt - this._startedAt >= startDelayMs;
    if (!this._table.isReady() && this._report !== undefined && hasDelayPassed) {
      this._table.open();
      this._options.log.info("Tasks may start.", { tasks: this._table.getAll().length });
    }
    this._report = report;
    this._reportedAt = requestedAt;
  }

  private async _throttle(order: ThrottleOrder): Promise<void> {
    const result = await this._options.worker.throttle(order.task, order.attempt, order.percent);
    if (result.isErr()) {
      this._options.log.warn("A task could not be throttled.", { task: order.task });
    }
  }
}
