/**
 * In-memory worker for tests: runs tasks under leases on a manual clock and records their events in
 * a journal. Tests can make calls fail or block.
 */
import { errAsync, okAsync, ResultAsync } from "neverthrow";
import { addResources, NO_RESOURCES, type Resources } from "../../src/protocol/Resources.ts";
import type { Clock } from "../../src/protocol/platform/Clock.ts";
import {
  getLeaseEnd,
  Worker,
  type WorkerFailure,
  type WorkerLease,
  type WorkerReport,
  type WorkerStart,
  type WorkerTask,
} from "../../src/protocol/platform/Worker.ts";

/** Worker calls that a test can make fail or block. */
export type WorkerCall =
  "report" | "start" | "renew" | "checkpoint" | "throttle" | "stop" | "forget";

/** Journal entry. */
export interface WorkerEvent {
  readonly at: number;
  readonly event: "started" | "stopped" | "completed" | "failed" | "checkpoint";
  readonly task: string;
  readonly attempt: number;
}

interface RunningTask extends Omit<WorkerTask, "leaseLeftMs"> {
  readonly leaseUntil: number;
  readonly command: string;
}

const UNAVAILABLE: WorkerFailure = { kind: "unavailable", mayHaveActed: true, detail: "lost" };

/** In-memory worker. */
export class FakeWorker extends Worker {
  /** Events of all tasks. */
  readonly journal: WorkerEvent[] = [];
  /** Capacity of the VM. */
  capacity: Resources;
  heatLevel: number | undefined;
  /** Called after a task has started. */
  onStarted: (task: string) => void = () => undefined;
  private readonly _clock: Clock;
  private readonly _tasks = new Map<string, RunningTask>();
  private readonly _highestAttempts = new Map<string, number>();
  private readonly _failures = new Map<WorkerCall, { failure: WorkerFailure; acts: boolean }[]>();
  private readonly _blockedCalls = new Map<WorkerCall, (() => void)[]>();

  /**
   * Creates a worker.
   * @param clock - Clock of the leases.
   * @param capacity - Capacity of the VM.
   */
  constructor(clock: Clock, capacity: Resources) {
    super();
    this._clock = clock;
    this.capacity = capacity;
  }

  /** Gets the sum of the resources of all running tasks. */
  getRunningTotal(): Resources {
    this._expire();
    return this._getRunning()
      .map((task) => task.resources)
      .reduce(addResources, NO_RESOURCES);
  }

  /** Gets the running tasks, as "task#attempt". */
  getRunning(): readonly string[] {
    this._expire();
    return this._getRunning().map((task) => `${task.task}#${task.attempt}`);
  }

  /**
   * Gets a task.
   * @param task - Id of the task.
   * @param attempt - Number of the attempt.
   */
  getTask(task: string, attempt: number): RunningTask | undefined {
    return this._tasks.get(`${task}#${attempt}`);
  }

  /**
   * Changes fields of a task; does nothing if the task is unknown.
   * @param task - Id of the task.
   * @param attempt - Number of the attempt.
   * @param change - Fields to change.
   */
  update(task: string, attempt: number, change: Partial<RunningTask>): void {
    const known = this._tasks.get(`${task}#${attempt}`);
    if (known !== undefined) {
      this._tasks.set(`${task}#${attempt}`, { ...known, ...change });
    }
  }

  /**
   * Ends a task as if its command had ended.
   * @param task - Id of the task.
   * @param attempt - Number of the attempt.
   * @param phase - Final phase.
   */
  finish(task: string, attempt: number, phase: "completed" | "failed"): void {
    this._end(task, attempt, phase, phase === "failed" ? "the command failed" : "");
  }

  /**
   * Deletes a task, as if the worker had lost its state.
   * @param task - Id of the task.
   * @param attempt - Number of the attempt.
   */
  dropTask(task: string, attempt: number): void {
    this._tasks.delete(`${task}#${attempt}`);
  }

  /**
   * Makes the next call of a kind fail.
   * @param call - Kind of call.
   * @param acts - Whether the call takes effect nevertheless, as if its response had been lost.
   * @param failure - Failure to return.
   */
  failNext(call: WorkerCall, acts: boolean, failure: WorkerFailure = UNAVAILABLE): void {
    this._failures.set(call, [...(this._failures.get(call) ?? []), { failure, acts }]);
  }

  /**
   * Blocks calls of a kind until they are released.
   * @param call - Kind of call.
   */
  hold(call: WorkerCall): void {
    this._blockedCalls.set(call, []);
  }

  /**
   * Executes the blocked calls of a kind, in the order of their arrival, and blocks no more.
   * @param call - Kind of call.
   */
  release(call: WorkerCall): void {
    const blocked = this._blockedCalls.get(call) ?? [];
    this._blockedCalls.delete(call);
    blocked.forEach((proceed) => {
      proceed();
    });
  }

  /** Discards all blocked calls, as if the caller had died. */
  dropHeld(): void {
    this._blockedCalls.clear();
  }

  override report(): ResultAsync<WorkerReport, WorkerFailure> {
    return this._call("report", () => {
      this._expire();
      return okAsync({
        vm: "vm",
        clockMs: this._clock.now(),
        capacity: this.capacity,
        used: this.getRunningTotal(),
        heatLevel: this.heatLevel,
        tasks: [...this._tasks.values()].map((task) => this._toWorkerTask(task)),
      });
    });
  }

  override start(start: WorkerStart): ResultAsync<void, WorkerFailure> {
    return this._call("start", () => {
      if ((this._highestAttempts.get(start.task) ?? 0) >= start.attempt) {
        return errAsync({
          kind: "refused",
          mayHaveActed: false,
          detail: "the attempt is not newer than the last one",
        });
      }
      this._highestAttempts.set(start.task, start.attempt);
      const { lease, ...rest } = start;
      this._tasks.set(`${start.task}#${start.attempt}`, {
        ...rest,
        phase: "running",
        used: NO_RESOURCES,
        progress: 0,
        throttlePercent: 100,
        reason: "",
        leaseUntil: getLeaseEnd(lease, this._clock.now()),
      });
      this._record("started", start.task, start.attempt);
      this.onStarted(start.task);
      return okAsync(undefined);
    });
  }

  override renew(
    task: string,
    attempt: number,
    lease: WorkerLease,
  ): ResultAsync<void, WorkerFailure> {
    return this._onRunning("renew", task, attempt, () => {
      const present = this.getTask(task, attempt)?.leaseUntil ?? 0;
      const leaseUntil = Math.max(present, getLeaseEnd(lease, this._clock.now()));
      this.update(task, attempt, { leaseUntil });
      return undefined;
    });
  }

  override checkpoint(task: string, attempt: number): ResultAsync<string, WorkerFailure> {
    return this._onRunning("checkpoint", task, attempt, () => {
      const checkpoint = `checkpoint-${task}-${attempt}-${this._clock.now()}`;
      this.update(task, attempt, { checkpoint });
      this._record("checkpoint", task, attempt);
      return checkpoint;
    });
  }

  override throttle(
    task: string,
    attempt: number,
    percent: number,
  ): ResultAsync<void, WorkerFailure> {
    return this._onRunning("throttle", task, attempt, () => {
      this.update(task, attempt, { throttlePercent: percent });
      return undefined;
    });
  }

  override stop(task: string, attempt: number): ResultAsync<WorkerTask | undefined, WorkerFailure> {
    return this._call("stop", () => {
      this._highestAttempts.set(task, Math.max(attempt, this._highestAttempts.get(task) ?? 0));
      this._end(task, attempt, "stopped", "ordered");
      const ended = this._tasks.get(`${task}#${attempt}`);
      return okAsync(ended === undefined ? undefined : this._toWorkerTask(ended));
    });
  }

  override forget(task: string, attempt: number): ResultAsync<void, WorkerFailure> {
    return this._call("forget", () => {
      this._tasks.delete(`${task}#${attempt}`);
      return okAsync(undefined);
    });
  }

  private _onRunning<T>(
    call: WorkerCall,
    task: string,
    attempt: number,
    act: () => T,
  ): ResultAsync<T, WorkerFailure> {
    return this._call(call, () => {
      this._expire();
      return this._tasks.get(`${task}#${attempt}`)?.phase === "running"
        ? okAsync(act())
        : errAsync({
            kind: "unknown-task",
            mayHaveActed: false,
            detail: "the task is not running",
          });
    });
  }

  private _call<T>(
    call: WorkerCall,
    act: () => ResultAsync<T, WorkerFailure>,
  ): ResultAsync<T, WorkerFailure> {
    const blocked = this._blockedCalls.get(call);
    if (blocked === undefined) {
      return this._actOrFail(call, act);
    }
    const proceeded = new Promise<void>((resolve) => {
      blocked.push(resolve);
    });
    return ResultAsync.fromSafePromise(proceeded).andThen(() => this._actOrFail(call, act));
  }

  private _actOrFail<T>(
    call: WorkerCall,
    act: () => ResultAsync<T, WorkerFailure>,
  ): ResultAsync<T, WorkerFailure> {
    const failing = this._failures.get(call)?.shift();
    if (failing === undefined) {
      return act();
    }
    if (failing.acts) {
      act();
    }
    return errAsync(failing.failure);
  }

  private _getRunning(): readonly RunningTask[] {
    return [...this._tasks.values()].filter((task) => task.phase === "running");
  }

  private _expire(): void {
    this._getRunning()
      .filter((task) => task.leaseUntil <= this._clock.now())
      .forEach((task) => {
        this._end(task.task, task.attempt, "stopped", "the lease expired");
      });
  }

  private _end(
    task: string,
    attempt: number,
    phase: "stopped" | "completed" | "failed",
    reason: string,
  ): void {
    if (this._tasks.get(`${task}#${attempt}`)?.phase === "running") {
      this.update(task, attempt, { phase, reason });
      this._record(phase, task, attempt);
    }
  }

  private _record(event: WorkerEvent["event"], task: string, attempt: number): void {
    this.journal.push({ at: this._clock.now(), event, task, attempt });
  }

  private _toWorkerTask(task: RunningTask): WorkerTask {
    const { leaseUntil, ...rest } = task;
    return { ...rest, leaseLeftMs: Math.max(0, leaseUntil - this._clock.now()) };
  }
}
