/**
 * State of the worker stand-in: tasks that advance on a timer and whose leases are checked before
 * each step. An attempt that is not newer than the last one, or an epoch older than the last one, is
 * refused. The capacity of the VM is not enforced: the committed resources are recorded, so that a
 * check of the journal finds overcommitment.
 */
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import type { Clock, Timer } from "../../src/protocol/platform/Clock.ts";
import {
  getLeaseEnd,
  type WorkerLease,
  type WorkerReport,
  type WorkerStart,
  type WorkerTask,
} from "../../src/protocol/platform/Worker.ts";
import { addResources, NO_RESOURCES } from "../../src/protocol/Resources.ts";
import type { Resources } from "../../src/protocol/Resources.ts";
import type { Journal } from "../support/Journal.ts";
import { parseCheckpoint, RunningTask } from "./RunningTask.ts";
import { UsageSamples } from "./UsageSamples.ts";
import type { WorkerEvent } from "./WorkerJournal.ts";

const STEP_MS = 25;
const MAX_STEP_MS = 2 * STEP_MS;
const SAMPLE_INTERVAL_MS = 100;

/** Reason for which the worker refused a call. */
export interface ModelRefusal {
  readonly kind: "refused" | "unknown-task";
  readonly detail: string;
}

/** Options of the worker. */
export interface WorkerModelOptions {
  readonly vm: string;
  readonly capacity: Resources;
  /** Age of the usage that is reported, in milliseconds. */
  readonly usageLagMs: number;
  /** Called when a task crashes the worker. */
  readonly onCrash: () => void;
}

/** Conditions that a test can change at any time. */
export interface WorkerConditions {
  /** Heat level to report; undefined for none. */
  heatLevel: number | undefined;
  /** Every task fails at its next step. */
  failEverything: boolean;
  /** Every start is refused. */
  refuseStarts: boolean;
  /** Processors used by anything other than tasks, in thousandths of a core. */
  otherProcessorsMilli: number;
}

/** State of the worker of one VM. */
export class WorkerModel {
  /** Conditions in effect. */
  readonly conditions: WorkerConditions = {
    heatLevel: undefined,
    failEverything: false,
    refuseStarts: false,
    otherProcessorsMilli: 0,
  };
  private readonly _clock: Clock;
  private readonly _options: WorkerModelOptions;
  private readonly _journal: Journal<WorkerEvent>;
  private readonly _tasks = new Map<string, RunningTask>();
  private readonly _attempts = new Map<string, number>();
  private readonly _epochs = new Map<number, number>();
  private readonly _usage: UsageSamples;
  private _stepTimer: Timer | undefined;
  private _sampleTimer: Timer | undefined;

  /**
   * Creates a worker without tasks.
   * @param clock - Clock of steps and leases.
   * @param options - Options of the worker.
   * @param journal - Journal to which all events are added.
   */
  constructor(clock: Clock, options: WorkerModelOptions, journal: Journal<WorkerEvent>) {
    this._clock = clock;
    this._options = options;
    this._journal = journal;
    this._usage = new UsageSamples(options.usageLagMs);
    const { vm, capacity } = options;
    journal.add({ event: "worker-start", at: clock.now(), vm, capacity });
    this._recordUsage();
  }

  /** Cancels all timers; no task advances any more. */
  close(): void {
    this._stepTimer?.cancel();
    this._sampleTimer?.cancel();
  }

  /** Gets the capacity of the VM, its usage and its tasks. */
  report(): WorkerReport {
    const sample = this._usage.get(this._clock.now());
    return {
      vm: this._options.vm,
      clockMs: this._clock.now(),
      capacity: this._options.capacity,
      used: sample.total,
      heatLevel: this.conditions.heatLevel,
      tasks: [...this._tasks.values()].map((task) => this._toWorkerTask(task)),
    };
  }

  /**
   * Starts a task.
   * @param order - The order.
   */
  start(order: WorkerStart): Result<void, ModelRefusal> {
    const workMs = parseCheckpoint(order.checkpoint, order.task);
    const reason = this._getRefusal(order, workMs);
    const { task, attempt, partition, epoch } = order;
    const at = this._clock.now();
    const vm = this._options.vm;
    if (reason !== undefined || workMs === undefined) {
      const detail = reason ?? "the checkpoint belongs to another task";
      this._journal.add({ event: "refuse-start", at, vm, task, attempt, reason: detail });
      return err({ kind: "refused", detail });
    }
    this._attempts.set(task, attempt);
    this._epochs.set(partition, epoch);
    this._tasks.set(formatAttemptKey(task, attempt), new RunningTask(order, at, workMs));
    const identity = { task, attempt, partition, epoch };
    const committed = this._getCommitted();
    this._journal.add({ event: "start", at, vm, ...identity, workFromMs: workMs, committed });
    this._scheduleTick();
    return ok();
  }

  /**
   * Renews the lease of a running task.
   * @param task - Id of the task.
   * @param attempt - Attempt that holds the lease.
   * @param lease - The new lease.
   */
  renew(task: string, attempt: number, lease: WorkerLease): Result<void, ModelRefusal> {
    return this._findRunning(task, attempt).map((running) => {
      running.renew(getLeaseEnd(lease, this._clock.now()));
    });
  }

  /**
   * Takes a checkpoint of a running task and returns its reference.
   * @param task - Id of the task.
   * @param attempt - Attempt to checkpoint.
   */
  checkpoint(task: string, attempt: number): Result<string, ModelRefusal> {
    return this._findRunning(task, attempt).map((running) => {
      const at = this._clock.now();
      const { vm } = this._options;
      const { workMs } = running;
      this._journal.add({ event: "checkpoint", at, vm, task, attempt, workMs });
      return running.checkpoint();
    });
  }

  /**
   * Limits the processors of a task.
   * @param task - Id of the task.
   * @param attempt - Attempt to limit.
   * @param percent - Percentage of its processors that the task may use.
   */
  throttle(task: string, attempt: number, percent: number): Result<void, ModelRefusal> {
    return this._findRunning(task, attempt).map((running) => {
      running.throttle(percent);
    });
  }

  /**
   * Stops a task and refuses later starts of this attempt and of earlier ones.
   * @param task - Id of the task.
   * @param attempt - Attempt to stop.
   * @returns The ended task; undefined if the worker does not know it.
   */
  stop(task: string, attempt: number): WorkerTask | undefined {
    this._attempts.set(task, Math.max(attempt, this._attempts.get(task) ?? 0));
    const known = this._tasks.get(formatAttemptKey(task, attempt));
    if (known?.phase === "running") {
      this._end(known, () => {
        known.end("stopped", "stopped by order");
      });
    }
    return known === undefined ? undefined : this._toWorkerTask(known);
  }

  /**
   * Removes an ended task from the report.
   * @param task - Id of the task.
   * @param attempt - Attempt to remove.
   */
  forget(task: string, attempt: number): Result<void, ModelRefusal> {
    const known = this._tasks.get(formatAttemptKey(task, attempt));
    if (known?.phase === "running") {
      return err({ kind: "refused", detail: "the task is running" });
    }
    this._tasks.delete(formatAttemptKey(task, attempt));
    return ok();
  }

  private _getRefusal(order: WorkerStart, workMs: number | undefined): string | undefined {
    if (this.conditions.refuseStarts) {
      return "the condition refuseStarts is set";
    }
    if (order.epoch < (this._epochs.get(order.partition) ?? 0)) {
      return "the epoch is older than the last one of the partition";
    }
    if (order.attempt <= (this._attempts.get(order.task) ?? 0)) {
      return "the attempt is not newer than the last one of the task";
    }
    if (this._getRunningTasks().some((running) => running.order.task === order.task)) {
      return "a previous attempt is still running";
    }
    return workMs === undefined ? "the checkpoint belongs to another task" : undefined;
  }

  private _findRunning(task: string, attempt: number): Result<RunningTask, ModelRefusal> {
    const known = this._tasks.get(formatAttemptKey(task, attempt));
    if (known === undefined) {
      return err({ kind: "unknown-task", detail: `no attempt ${attempt} of ${task}` });
    }
    this._stopIfLapsed(known, this._clock.now());
    if (known.phase !== "running") {
      return err({ kind: "refused", detail: `the task is ${known.phase}` });
    }
    return ok(known);
  }

  private _getRunningTasks(): readonly RunningTask[] {
    return [...this._tasks.values()].filter((task) => task.phase === "running");
  }

  private _scheduleTick(): void {
    if (this._stepTimer !== undefined) {
      return;
    }
    this._stepTimer = this._clock.after(STEP_MS, () => {
      this._stepTimer = undefined;
      this._tick();
    });
  }

  private _tick(): void {
    // The time is read once, so that the lease is checked against the time recorded in the journal.
    const at = this._clock.now();
    this._getRunningTasks().forEach((task) => {
      this._stopIfLapsed(task, at);
    });
    const running = this._getRunningTasks();
    if (running.length === 0) {
      return;
    }
    const steps = running.map((task) => task.step(at, MAX_STEP_MS));
    this._journal.add({ event: "step", at, vm: this._options.vm, steps });
    running.forEach((task) => {
      this._finishStep(task);
    });
    this._scheduleTick();
  }

  private _finishStep(task: RunningTask): void {
    if (task.crashesWorker) {
      this._options.onCrash();
    }
    if (this.conditions.failEverything) {
      this._end(task, () => {
        task.end("failed", "the condition failEverything is set");
      });
    } else if (task.isDone()) {
      this._end(task, () => {
        task.finish();
      });
    }
  }

  private _stopIfLapsed(task: RunningTask, now: number): void {
    if (task.phase === "running" && task.hasLapsed(now)) {
      this._end(task, () => {
        task.end("stopped", "the lease expired");
      });
    }
  }

  private _end(task: RunningTask, end: () => void): void {
    end();
    const { phase, reason, workMs } = task;
    if (phase === "running") {
      return;
    }
    this._journal.add({
      event: "end",
      at: this._clock.now(),
      vm: this._options.vm,
      task: task.order.task,
      attempt: task.order.attempt,
      phase,
      reason,
      workMs,
      committed: this._getCommitted(),
    });
  }

  private _getCommitted(): Resources {
    return this._getRunningTasks()
      .map((task) => task.order.resources)
      .reduce(addResources, NO_RESOURCES);
  }

  private _recordUsage(): void {
    const running = this._getRunningTasks();
    const { otherProcessorsMilli } = this.conditions;
    const other = { ...NO_RESOURCES, processorsMilli: otherProcessorsMilli };
    this._usage.add({
      at: this._clock.now(),
      total: running.map((task) => task.usage).reduce(addResources, other),
      tasks: new Map(
        running.map((task) => [formatAttemptKey(task.order.task, task.order.attempt), task.usage]),
      ),
    });
    this._sampleTimer = this._clock.after(SAMPLE_INTERVAL_MS, () => {
      this._recordUsage();
    });
  }

  private _toWorkerTask(task: RunningTask): WorkerTask {
    const now = this._clock.now();
    const key = formatAttemptKey(task.order.task, task.order.attempt);
    return task.toWorkerTask(now, this._usage.get(now).tasks.get(key) ?? NO_RESOURCES);
  }
}

function formatAttemptKey(task: string, attempt: number): string {
  return `${task}#${attempt}`;
}
