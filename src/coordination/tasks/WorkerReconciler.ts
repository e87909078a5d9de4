/**
 * Reconciles the task table and the capacity allocator with a worker's report. A report reflects
 * the worker's state at some time after the query was sent, so whatever changed in the table after
 * that is left untouched.
 */
import type { Resources } from "../../protocol/Resources.ts";
import type { WorkerReport, WorkerTask } from "../../protocol/platform/Worker.ts";
import type { CapacityAllocator } from "./CapacityAllocator.ts";
import { formatTaskKey, type TaskKey } from "./TaskKey.ts";
import { isEndPhase, type TaskRecord } from "./TaskRecord.ts";
import type { TaskTable } from "./TaskTable.ts";

const FULL_PERCENT = 100;

/** Order to limit a task to the processors that are committed to it. */
export interface ThrottleOrder extends TaskKey {
  readonly percent: number;
}

/** Reconciles an agent's task table and capacity allocator with its worker. */
export class WorkerReconciler {
  private readonly _table: TaskTable;
  private readonly _allocator: CapacityAllocator;

  /**
   * Creates a reconciler.
   * @param table - Tasks of the VM.
   * @param allocator - Capacity allocator of the VM.
   */
  constructor(table: TaskTable, allocator: CapacityAllocator) {
    this._table = table;
    this._allocator = allocator;
  }

  /**
   * Applies a report.
   * @param report - Report of the worker.
   * @param requestedAt - When the worker was queried, on the agent's monotonic clock, in
   * milliseconds.
   * @param now - Monotonic time in milliseconds.
   * @returns Throttle orders for tasks that use more processors than the VM can commit to them.
   */
  apply(report: WorkerReport, requestedAt: number, now: number): readonly ThrottleOrder[] {
    this._allocator.setCapacity(report.capacity);
    report.tasks.forEach((task) => {
      this._applyTask(task, requestedAt, now);
    });
    this._stopUnlisted(report, requestedAt, now);
    const throttles = report.tasks.flatMap((task) => this._applyUsage(task, now));
    this._stopYieldingTasks(now);
    return throttles;
  }

  private _applyTask(task: WorkerTask, requestedAt: number, now: number): void {
    const record = this._table.get(task);
    if (record === undefined) {
      this._adopt(task, requestedAt, now);
      return;
    }
    if (task.phase !== "running") {
      this._table.recordEnd(task, { ...task, phase: task.phase }, now);
      return;
    }
    if (isEndPhase(record.phase) && record.changedAt < requestedAt) {
      this._adopt(task, requestedAt, now);
    }
  }

  private _adopt(task: WorkerTask, requestedAt: number, now: number): void {
    const forbidden = this._table.isStartForbidden(task);
    this._table.adopt(task, requestedAt);
    if (forbidden && task.phase === "running") {
      const order = {
        reason: "the attempt had already ended or been refused or stopped",
        checkpointFirst: false,
      };
      this._table.orderStop(task, order, now);
    }
  }

  /** Stops running tasks that the worker no longer lists, so that their end is confirmed. */
  private _stopUnlisted(report: WorkerReport, requestedAt: number, now: number): void {
    const listed = new Set(report.tasks.map(formatTaskKey));
    this._table
      .getAll()
      .filter((record) => record.phase === "running" && record.changedAt < requestedAt)
      .filter((record) => !listed.has(formatTaskKey(record)))
      .forEach((record) => {
        const order = { reason: "the worker no longer lists the task", checkpointFirst: false };
        this._table.orderStop(record, order, now);
      });
  }

  private _applyUsage(task: WorkerTask, now: number): readonly ThrottleOrder[] {
    const record = this._table.get(task);
    const committed = this._allocator.getCommitment(task);
    if (record?.phase !== "running" || committed === undefined) {
      return [];
    }
    this._table.recordUsage(task);
    const unthrottleable = { ...task.used, processorsMilli: committed.processorsMilli };
    if (!this._allocator.raiseCommitment(task, unthrottleable)) {
      const order = {
        reason: "the task exceeds its declared size and the VM has no free capacity for it",
        checkpointFirst: true,
      };
      this._table.orderStop(task, order, now);
      return [];
    }
    return this._limitProcessors(record, task.used, committed);
  }

  /**
   * Throttles a task that exceeds its processors instead of stopping it, since processors can be
   * limited while memory and accelerators cannot.
   */
  private _limitProcessors(
    record: TaskRecord,
    used: Resources,
    committed: Resources,
  ): readonly ThrottleOrder[] {
    const exceeds = used.processorsMilli > committed.processorsMilli;
    if (
      !exceeds ||
      this._allocator.raiseCommitment(record, {
        ...committed,
        processorsMilli: used.processorsMilli,
      })
    ) {
      return [];
    }
    const percent = Math.floor((FULL_PERCENT * committed.processorsMilli) / used.processorsMilli);
    const { task, attempt } = record;
    return percent < record.throttlePercent ? [{ task, attempt, percent }] : [];
  }

  private _stopYieldingTasks(now: number): void {
    this._allocator.getTasksToYield().forEach((key) => {
      const order = {
        reason: "the VM is short of capacity for its services",
        checkpointFirst: true,
      };
      this._table.orderStop(key, order, now);
    });
  }
}
