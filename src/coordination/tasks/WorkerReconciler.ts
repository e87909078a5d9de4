/**
 * Brings the task table and the capacity book in line with a worker's report. A report is a
 * picture of the moment in which the worker was asked or later: what changed here after that
 * moment is left alone.
 */
import type { Resources } from "../../protocol/Resources.ts";
import type { WorkerReport, WorkerTask } from "../../protocol/platform/Worker.ts";
import type { CapacityAllocator } from "./CapacityAllocator.ts";
import { formatTaskKey, type TaskKey } from "./TaskKey.ts";
import { isEndPhase, type TaskRecord } from "./TaskRecord.ts";
import type { TaskTable } from "./TaskTable.ts";

const FULL_PERCENT = 100;

/** A task that is to be limited to the processors that it has committed. */
export interface ThrottleOrder extends TaskKey {
  readonly percent: number;
}

/** Reconciles one agent's books with its worker. */
export class WorkerReconciler {
  private readonly _table: TaskTable;
  private readonly _allocator: CapacityAllocator;

  /**
   * Creates a reconciler.
   * @param table - Tasks of the VM.
   * @param allocator - Capacity book of the VM.
   */
  constructor(table: TaskTable, allocator: CapacityAllocator) {
    this._table = table;
    this._allocator = allocator;
  }

  /**
   * Takes in a report.
   * @param report - What the worker told.
   * @param askedAt - When the worker was asked, on the agent's monotonic clock, in milliseconds.
   * @param now - Monotonic time in milliseconds.
   * @returns Tasks that use more processors than the VM can commit to them.
   */
  apply(report: WorkerReport, askedAt: number, now: number): readonly ThrottleOrder[] {
    this._allocator.setCapacity(report.capacity);
    report.tasks.forEach((task) => {
      this._applyTask(task, askedAt, now);
    });
    this._stopUnlisted(report, askedAt, now);
    const throttles = report.tasks.flatMap((task) => this._applyUsage(task, now));
    this._stopYieldingTasks(now);
    return throttles;
  }

  private _applyTask(task: WorkerTask, askedAt: number, now: number): void {
    const record = this._table.get(task);
    if (record === undefined) {
      this._adopt(task, askedAt, now);
      return;
    }
    if (task.phase !== "running") {
      this._table.recordEnd(task, { ...task, phase: task.phase }, now);
      return;
    }
    if (isEndPhase(record.phase) && record.changedAt < askedAt) {
      this._adopt(task, askedAt, now);
    }
  }

  private _adopt(task: WorkerTask, askedAt: number, now: number): void {
    const forbidden = this._table.isStartForbidden(task);
    this._table.adopt(task, askedAt);
    if (forbidden && task.phase === "running") {
      const order = { reason: "the attempt was stopped before", checkpointFirst: false };
      this._table.orderStop(task, order, now);
    }
  }

  /** A running task that the worker does not list is stopped, so that its end is confirmed. */
  private _stopUnlisted(report: WorkerReport, askedAt: number, now: number): void {
    const listed = new Set(report.tasks.map(formatTaskKey));
    this._table
      .getAll()
      .filter((record) => record.phase === "running" && record.changedAt < askedAt)
      .filter((record) => !listed.has(formatTaskKey(record)))
      .forEach((record) => {
        const order = { reason: "the worker no longer lists it", checkpointFirst: false };
        this._table.orderStop(record, order, now);
      });
  }

  private _applyUsage(task: WorkerTask, now: number): readonly ThrottleOrder[] {
    const record = this._table.get(task);
    const held = this._allocator.getCommitment(task);
    if (record?.phase !== "running" || held === undefined) {
      return [];
    }
    this._table.recordUsage(task);
    const hard = { ...task.used, processorsMilli: held.processorsMilli };
    if (!this._allocator.raiseCommitment(task, hard)) {
      const order = { reason: "it outgrew its declared size", checkpointFirst: true };
      this._table.orderStop(task, order, now);
      return [];
    }
    return this._limitProcessors(record, task.used, held);
  }

  /** Processors can be limited, so a task that uses too many is throttled and not stopped. */
  private _limitProcessors(
    record: TaskRecord,
    used: Resources,
    held: Resources,
  ): readonly ThrottleOrder[] {
    const excess = used.processorsMilli > held.processorsMilli;
    if (
      !excess ||
      this._allocator.raiseCommitment(record, { ...held, processorsMilli: used.processorsMilli })
    ) {
      return [];
    }
    const percent = Math.floor((FULL_PERCENT * held.processorsMilli) / used.processorsMilli);
    const { task, attempt } = record;
    return percent < record.throttlePercent ? [{ task, attempt, percent }] : [];
  }

  private _stopYieldingTasks(now: number): void {
    this._allocator.getTasksToYield().forEach((key) => {
      const order = { reason: "the VM has too little for its services", checkpointFirst: true };
      this._table.orderStop(key, order, now);
    });
  }
}
