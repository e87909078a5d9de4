/**
 * Polls the worker and updates the task table and the capacity of the VM from its reports. Starts are
 * accepted from the second report on, and only if it was requested after the start delay: by then,
 * all calls that an earlier incarnation of the agent had in flight have reached the worker.
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
  private readonly _onReading: (clockMs: number) => void;
  private readonly _reconciler: WorkerReconciler;
  private _report: WorkerReport | undefined;
  private _reportedAt = 0;
  private _startedAt = 0;
  private _isPolling = false;

  /**
   * Creates a poller.
   * @param options - Options of the task service.
   * @param table - Tasks of the VM.
   * @param allocator - Allocator of the VM's capacity.
   * @param onReading - Called with a reading of the worker's clock that has just arrived.
   */
  constructor(
    options: TaskServiceOptions,
    table: TaskTable,
    allocator: CapacityAllocator,
    onReading: (clockMs: number) => void,
  ) {
    this._options = options;
    this._table = table;
    this._onReading = onReading;
    this._reconciler = new WorkerReconciler(table, allocator);
  }

  /** Begins the delay after which tasks may start. */
  start(): void {
    this._startedAt = this._options.clock.now();
  }

  /** Gets the usage of the VM that the worker last reported. */
  getUsed(): Resources {
    return this._report?.used ?? NO_RESOURCES;
  }

  /** Gets the heat level that the worker last reported. */
  getHeatLevel(): number | undefined {
    return this._report?.heatLevel;
  }

  /** Gets the last heat report of the worker; undefined before the first report. */
  getHeatReport(): HeatReport | undefined {
    return this._report === undefined
      ? undefined
      : { receivedAt: this._reportedAt, level: this._report.heatLevel };
  }

  /** Requests a report from the worker, unless a request is in progress. */
  async poll(): Promise<void> {
    if (this._isPolling) {
      return;
    }
    this._isPolling = true;
    const requestedAt = this._options.clock.now();
    const result = await this._options.worker.report();
    this._isPolling = false;
    if (result.isErr()) {
      this._options.log.warn("The worker did not return its report; it is polled again.", {
        detail: result.error.detail,
      });
      return;
    }
    this._handleReport(result.value, requestedAt);
  }

  private _handleReport(report: WorkerReport, requestedAt: number): void {
    this._onReading(report.clockMs);
    const throttles = this._reconciler.apply(report, requestedAt, this._options.clock.now());
    throttles.forEach((order) => void this._throttle(order));
    const startDelayMs = this._options.startDelayMs ?? DEFAULT_START_DELAY_MS;
    const hasDelayPassed = requestedAt - this._startedAt >= startDelayMs;
    if (!this._table.isReady() && this._report !== undefined && hasDelayPassed) {
      this._table.open();
      this._options.log.info("Task starts are now accepted.", {
        tasks: this._table.getAll().length,
      });
    }
    this._report = report;
    this._reportedAt = requestedAt;
  }

  private async _throttle(order: ThrottleOrder): Promise<void> {
    const result = await this._options.worker.throttle(order.task, order.attempt, order.percent);
    if (result.isErr()) {
      this._options.log.warn(
        "A task could not be throttled; the order is repeated if the next report still requires it.",
        { task: order.task },
      );
    }
  }
}
