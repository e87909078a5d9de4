/**
 * Stops the tasks that must stop: takes the checkpoint where one is wanted, asks the worker to stop
 * the attempt, and repeats until the worker confirms.
 */
import type { Clock } from "../../../protocol/platform/Clock.ts";
import type { Log } from "../../../protocol/platform/Log.ts";
import type { Worker, WorkerTask } from "../../../protocol/platform/Worker.ts";
import { formatTaskKey, type TaskKey } from "../../../coordination/tasks/TaskKey.ts";
import type { TaskEnd, TaskRecord } from "../../../coordination/tasks/TaskRecord.ts";
import type { TaskTable } from "../../../coordination/tasks/TaskTable.ts";

/** Parts that a stopper works with. */
export interface TaskStopperOptions {
  readonly worker: Worker;
  readonly table: TaskTable;
  readonly clock: Clock;
  readonly log: Log;
}

/** Stops tasks at the worker. */
export class TaskStopper {
  private readonly _worker: Worker;
  private readonly _table: TaskTable;
  private readonly _clock: Clock;
  private readonly _log: Log;
  private readonly _underWay = new Map<string, Promise<void>>();

  /**
   * Creates a stopper.
   * @param options - Parts that it works with.
   */
  constructor(options: TaskStopperOptions) {
    this._worker = options.worker;
    this._table = options.table;
    this._clock = options.clock;
    this._log = options.log;
  }

  /** Tries to stop every task that must stop and is not being stopped already. */
  async stopAll(): Promise<void> {
    const stopping = this._table.getAll().filter((record) => record.phase === "stopping");
    await Promise.all(stopping.map((record) => this.stop(record)));
  }

  /**
   * Tries once to stop an attempt that must stop; its record tells whether it has ended.
   * @param key - The attempt.
   */
  async stop(key: TaskKey): Promise<void> {
    const text = formatTaskKey(key);
    const attempt = this._underWay.get(text) ?? this._stop(key);
    this._underWay.set(text, attempt);
    try {
      await attempt;
    } finally {
      this._underWay.delete(text);
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
      this._log.warn("A task could not be stopped.", { task: formatTaskKey(key), detail });
      return;
    }
    this._noteStopped(key, result.value);
  }

  private async _checkpoint(record: TaskRecord): Promise<void> {
    const result = await this._worker.checkpoint(record.task, record.attempt);
    if (result.isErr()) {
      const { detail } = result.error;
      this._log.warn("A checkpoint failed.", { task: formatTaskKey(record), detail });
      return;
    }
    this._table.noteCheckpoint(record, result.value);
  }

  private _noteStopped(key: TaskKey, task: WorkerTask | undefined): void {
    if (task?.phase === "running") {
      this._log.error("The worker stopped a task and lists it as running.", { task: key.task });
      return;
    }
    this._table.noteEnd(key, this._getEnd(key, task), this._clock.now());
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
