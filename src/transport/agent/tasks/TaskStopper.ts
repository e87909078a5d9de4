/**
 * Stops tasks on the worker: takes a checkpoint first if one is requested, calls the worker to stop
 * the attempt, and retries until the worker confirms the stop.
 */
import type { Clock } from "../../../protocol/platform/Clock.ts";
import type { Log } from "../../../protocol/platform/Log.ts";
import type { Worker, WorkerTask } from "../../../protocol/platform/Worker.ts";
import { formatTaskKey, type TaskKey } from "../../../coordination/tasks/TaskKey.ts";
import type { TaskEnd, TaskRecord } from "../../../coordination/tasks/TaskRecord.ts";
import type { TaskTable } from "../../../coordination/tasks/TaskTable.ts";

/** Dependencies of a stopper. */
export interface TaskStopperDependencies {
  readonly worker: Worker;
  readonly table: TaskTable;
  readonly clock: Clock;
  readonly log: Log;
}

/** Stops the tasks of one VM. */
export class TaskStopper {
  private readonly _worker: Worker;
  private readonly _table: TaskTable;
  private readonly _clock: Clock;
  private readonly _log: Log;
  private readonly _inProgress = new Map<string, Promise<void>>();

  /**
   * Creates a stopper.
   * @param deps - Dependencies of the stopper.
   */
  constructor(deps: TaskStopperDependencies) {
    this._worker = deps.worker;
    this._table = deps.table;
    this._clock = deps.clock;
    this._log = deps.log;
  }

  /** Tries once to stop every task in phase `stopping`. */
  async stopAll(): Promise<void> {
    const stopping = this._table.getAll().filter((record) => record.phase === "stopping");
    await Promise.all(stopping.map((record) => this.stop(record)));
  }

  /**
   * Tries once to stop an attempt in phase `stopping`, or waits for the try that is in progress. The
   * record of the attempt shows whether it has ended.
   * @param key - The attempt.
   */
  async stop(key: TaskKey): Promise<void> {
    const id = formatTaskKey(key);
    const pending = this._inProgress.get(id) ?? this._stop(key);
    this._inProgress.set(id, pending);
    try {
      await pending;
    } finally {
      this._inProgress.delete(id);
    }
  }

  private async _stop(key: TaskKey): Promise<void> {
    const record = this._table.get(key);
    if (record?.phase !== "stopping") {
      return;
    }
    if (record.checkpointFirst && record.leaseUntil > this._clock.now()) {
      await this._checkpoint(record);
    }
    const result = await this._worker.stop(key.task, key.attempt);
    if (result.isErr()) {
      const { detail } = result.error;
      this._log.warn("A task could not be stopped; the stop is retried.", {
        task: formatTaskKey(key),
        detail,
      });
      return;
    }
    this._recordStopped(key, result.value);
  }

  private async _checkpoint(record: TaskRecord): Promise<void> {
    const result = await this._worker.checkpoint(record.task, record.attempt);
    if (result.isErr()) {
      const { detail } = result.error;
      this._log.warn("The checkpoint of a task failed; the task is stopped without it.", {
        task: formatTaskKey(record),
        detail,
      });
      return;
    }
    this._table.recordCheckpoint(record, result.value);
  }

  private _recordStopped(key: TaskKey, task: WorkerTask | undefined): void {
    if (task?.phase === "running") {
      this._log.error(
        "The worker confirmed a stop but reports the task as running; the stop is retried.",
        {
          task: key.task,
        },
      );
      return;
    }
    this._table.recordEnd(key, this._getEnd(key, task), this._clock.now());
    this._log.info("A task has stopped.", {
      task: formatTaskKey(key),
      reason: this._table.get(key)?.reason,
    });
  }

  private _getEnd(key: TaskKey, task: WorkerTask | undefined): TaskEnd {
    const record = this._table.get(key);
    const known = { checkpoint: record?.checkpoint ?? "", progress: record?.progress ?? 0 };
    if (task === undefined || task.phase === "running") {
      return { phase: "stopped", reason: "", ...known };
    }
    return {
      phase: task.phase,
      checkpoint: task.checkpoint === "" ? known.checkpoint : task.checkpoint,
      progress: task.progress,
      reason: task.phase === "stopped" ? "" : task.reason,
    };
  }
}
