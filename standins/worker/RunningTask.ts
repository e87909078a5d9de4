/**
 * Task of the worker stand-in: its work advances in steps while its lease is valid.
 */
import type { Resources } from "../../src/protocol/Resources.ts";
import { NO_RESOURCES } from "../../src/protocol/Resources.ts";
import {
  getLeaseEnd,
  type WorkerStart,
  type WorkerTask,
  type WorkerTaskPhase,
} from "../../src/protocol/platform/Worker.ts";
import { getUsage, parseCommand } from "./TaskCommand.ts";
import type { TaskCommand } from "./TaskCommand.ts";
import type { TaskStep } from "./WorkerJournal.ts";

/** Attempt of a task with its progress. */
export class RunningTask {
  /** Order that started the task. */
  readonly order: WorkerStart;
  private readonly _command: TaskCommand;
  private _workMs: number;
  private _leaseEnd: number;
  private _lastStepAt: number;
  private _phase: WorkerTaskPhase = "running";
  private _reason = "";
  private _checkpoint: string;
  private _throttlePercent = 100;

  /**
   * Creates a running task.
   * @param order - Order that started it.
   * @param now - Time of the start.
   * @param workMs - Work done by previous attempts, in milliseconds at full speed.
   */
  constructor(order: WorkerStart, now: number, workMs: number) {
    this.order = order;
    this._command = parseCommand(order.command);
    this._workMs = workMs;
    this._leaseEnd = getLeaseEnd(order.lease, now);
    this._lastStepAt = now;
    this._checkpoint = order.checkpoint;
  }

  /** Phase of the task. */
  get phase(): WorkerTaskPhase {
    return this._phase;
  }

  /** Reason for the end of the task; empty while it runs or if it completed. */
  get reason(): string {
    return this._reason;
  }

  /** Work done, in milliseconds at full speed. */
  get workMs(): number {
    return this._workMs;
  }

  /** Whether the command crashes the worker. */
  get crashesWorker(): boolean {
    return this._command.end === "crash-worker";
  }

  /** Current usage of the task. */
  get usage(): Resources {
    return this._phase === "running"
      ? getUsage(this._command, this.order.resources, this._throttlePercent)
      : NO_RESOURCES;
  }

  /**
   * Returns whether the lease has expired.
   * @param now - Current time.
   */
  hasLapsed(now: number): boolean {
    return now >= this._leaseEnd;
  }

  /**
   * Does the work since the last step.
   * @param now - Current time.
   * @param maxStepMs - Maximum time that a step counts as work, in milliseconds.
   */
  step(now: number, maxStepMs: number): TaskStep {
    const elapsedMs = Math.min(now - this._lastStepAt, maxStepMs);
    const workFromMs = this._workMs;
    const doneMs = (elapsedMs * this._throttlePercent) / 100;
    this._lastStepAt = now;
    this._workMs = Math.min(this._command.workMs, workFromMs + doneMs);
    const { task, attempt } = this.order;
    return { task, attempt, workFromMs, workToMs: this._workMs };
  }

  /** Returns whether all work is done. */
  isDone(): boolean {
    return this._workMs >= this._command.workMs;
  }

  /** Ends the task with the outcome of its command. */
  finish(): void {
    if (this._command.end === "complete") {
      this.end("completed", "");
    } else {
      this.end("failed", `command "${this.order.command}" failed`);
    }
  }

  /**
   * Ends the task.
   * @param phase - Final phase.
   * @param reason - Reason for the end.
   */
  end(phase: "stopped" | "completed" | "failed", reason: string): void {
    this._phase = phase;
    this._reason = reason;
  }

  /**
   * Renews the lease; one that ends earlier than the present one changes nothing.
   * @param leaseEnd - New expiry of the lease.
   */
  renew(leaseEnd: number): void {
    this._leaseEnd = Math.max(this._leaseEnd, leaseEnd);
  }

  /**
   * Limits the processors of the task.
   * @param percent - Percentage of its processors that the task may use.
   */
  throttle(percent: number): void {
    this._throttlePercent = percent;
  }

  /** Takes a checkpoint and returns its reference. */
  checkpoint(): string {
    this._checkpoint = formatCheckpoint(this.order.task, this._workMs);
    return this._checkpoint;
  }

  /**
   * Gets the task as the worker reports it.
   * @param now - Current time.
   * @param used - Usage to report.
   */
  toWorkerTask(now: number, used: Resources): WorkerTask {
    const { task, attempt, partition, epoch, ownerAddress, resources, kind, tenant } = this.order;
    return {
      task,
      attempt,
      partition,
      epoch,
      ownerAddress,
      resources,
      kind,
      tenant,
      phase: this._phase,
      used,
      checkpoint: this._checkpoint,
      progress: this._command.workMs === 0 ? 1 : this._workMs / this._command.workMs,
      throttlePercent: this._throttlePercent,
      reason: this._reason,
      leaseLeftMs: Math.max(0, this._leaseEnd - now),
    };
  }
}

/**
 * Formats the reference of a checkpoint.
 * @param task - Id of the task.
 * @param workMs - Work done, in milliseconds at full speed.
 */
export function formatCheckpoint(task: string, workMs: number): string {
  return `${task}@${workMs}`;
}

/**
 * Parses the work done from the reference of a checkpoint.
 * @param reference - The reference; empty for a start without a checkpoint.
 * @param task - Id of the task that resumes from it.
 * @returns The work in milliseconds; undefined for a reference of another task.
 */
export function parseCheckpoint(reference: string, task: string): number | undefined {
  if (reference === "") {
    return 0;
  }
  const split = reference.lastIndexOf("@");
  const workMs = Number(reference.slice(split + 1));
  return reference.slice(0, split) === task && Number.isFinite(workMs) ? workMs : undefined;
}
