/**
 * Active tasks of one partition as its owner tracks them: state, upper bound of the lease expiry
 * and last reported checkpoint. Determines when a task certainly no longer runs.
 */
import type { EndRecord } from "../../state/batch/BatchRecord.ts";
import { getNextTaskState, type TaskEvent, type TaskState } from "./taskLifecycle.ts";

/**
 * Number of consecutive reports that omit a running task after which its agent is told to stop it.
 */
const MISSING_REPORT_LIMIT = 2;
/** States in which the agent is told to stop the task. */
const STOPPING_STATES: ReadonlySet<TaskState> = new Set(["unanswered", "settling", "evicting"]);

/** A task with an attempt that has been started and whose end is not recorded yet. */
export interface ActiveTask {
  readonly task: string;
  readonly attempt: number;
  readonly agent: string;
  readonly state: TaskState;
  /** Time by which every lease of the attempt has certainly expired, on the owner's clock. */
  readonly leaseExpiresBy: number;
  /** Last known checkpoint. */
  readonly checkpoint: string;
  readonly missingReports: number;
  /** Reason for stopping the task. */
  readonly reason: string;
  /** When the next stop order is sent. */
  readonly nextStopAt: number;
  readonly stopRequests: number;
  /** End record of the attempt, once its end is certain. */
  readonly end: EndRecord | undefined;
}

/** Tracks the active tasks of one partition. */
export class ActiveTaskTable {
  private readonly _tasks = new Map<string, ActiveTask>();
  private readonly _byAgent = new Map<string, Set<string>>();
  private readonly _stopping = new Set<string>();

  /** Number of tasks. */
  get size(): number {
    return this._tasks.size;
  }

  /**
   * Adds a task.
   * @param task - Id of the task.
   * @param attempt - Number of its attempt.
   * @param agent - Agent of the VM on which the attempt runs or will run.
   * @param state - "recording" for a new attempt, "unconfirmed" for one that a previous owner
   * started.
   * @param leaseExpiresBy - Time by which every lease of the attempt has certainly expired.
   * @param checkpoint - Checkpoint from which the attempt starts.
   */
  add(
    task: string,
    attempt: number,
    agent: string,
    state: "recording" | "unconfirmed",
    leaseExpiresBy: number,
    checkpoint: string,
  ): void {
    this._set({
      task,
      attempt,
      agent,
      state,
      leaseExpiresBy,
      checkpoint,
      missingReports: 0,
      reason: "",
      nextStopAt: 0,
      stopRequests: 0,
      end: undefined,
    });
    const agentTasks = this._byAgent.get(agent) ?? new Set<string>();
    this._byAgent.set(agent, agentTasks.add(task));
  }

  /**
   * Gets a task.
   * @param task - Id of the task.
   */
  get(task: string): ActiveTask | undefined {
    return this._tasks.get(task);
  }

  /** Gets all tasks. */
  getAll(): readonly ActiveTask[] {
    return [...this._tasks.values()];
  }

  /**
   * Gets the tasks of a VM.
   * @param agent - Name of its agent.
   */
  getByAgent(agent: string): readonly ActiveTask[] {
    return [...(this._byAgent.get(agent) ?? [])].flatMap((task) => this._tasks.get(task) ?? []);
  }

  /**
   * Gets tasks for which a stop order is due.
   * @param now - Monotonic time in milliseconds.
   * @param limit - Maximum number of tasks to return.
   */
  getStopsDue(now: number, limit: number): readonly ActiveTask[] {
    return [...this._stopping]
      .flatMap((task) => this._tasks.get(task) ?? [])
      .filter((active) => active.nextStopAt <= now)
      .slice(0, limit);
  }

  /**
   * Gets tasks whose leases have certainly expired.
   * @param now - Monotonic time in milliseconds.
   */
  getExpired(now: number): readonly ActiveTask[] {
    return this.getAll().filter(
      (active) =>
        now >= active.leaseExpiresBy && active.state !== "recording" && active.state !== "ending",
    );
  }

  /**
   * Applies a lifecycle event to a task.
   * @param task - Id of the task.
   * @param event - The event.
   * @param reason - Reason for stopping the task, if the event does so.
   * @returns The new state; undefined if the task is not in the table.
   */
  apply(task: string, event: TaskEvent, reason = ""): TaskState | undefined {
    const active = this._tasks.get(task);
    if (active === undefined) {
      return undefined;
    }
    const state = getNextTaskState(active.state, event);
    if (state !== active.state) {
      this._set({ ...active, state, reason: reason === "" ? active.reason : reason });
    }
    return state;
  }

  /**
   * Extends the lease expiry bound of a task after a lease was granted.
   * @param task - Id of the task.
   * @param leaseExpiresBy - Time by which that lease has certainly expired.
   */
  extendLeaseExpiry(task: string, leaseExpiresBy: number): void {
    this._update(task, (active) => ({
      leaseExpiresBy: Math.max(active.leaseExpiresBy, leaseExpiresBy),
    }));
  }

  /**
   * Replaces the lease expiry bound of a task, once its agent accepts lease grants from this owner
   * only.
   * @param task - Id of the task.
   * @param leaseExpiresBy - Time by which every lease has certainly expired.
   */
  setLeaseExpiry(task: string, leaseExpiresBy: number): void {
    this._update(task, () => ({ leaseExpiresBy }));
  }

  /**
   * Records that an agent reported a running task.
   * @param task - Id of the task.
   * @param checkpoint - Last checkpoint; empty if there is none.
   */
  recordReport(task: string, checkpoint: string): void {
    this._update(task, (active) => ({
      missingReports: 0,
      checkpoint: checkpoint === "" ? active.checkpoint : checkpoint,
    }));
  }

  /**
   * Records that a report of the agent does not list a task.
   * @param task - Id of the task.
   */
  recordMissing(task: string): void {
    const active = this._tasks.get(task);
    if (active === undefined) {
      return;
    }
    const missingReports = active.missingReports + 1;
    this._set({ ...active, missingReports });
    if (active.state === "unconfirmed" || missingReports >= MISSING_REPORT_LIMIT) {
      this.apply(task, "MISSING", "no longer reported by its VM");
    }
  }

  /**
   * Records that a stop order was sent for a task.
   * @param task - Id of the task.
   * @param nextStopAt - When to send the next one.
   */
  recordStopRequest(task: string, nextStopAt: number): void {
    this._update(task, (active) => ({ nextStopAt, stopRequests: active.stopRequests + 1 }));
  }

  /**
   * Records how an attempt ended.
   * @param task - Id of the task.
   * @param end - Its end record.
   */
  recordEnd(task: string, end: EndRecord): void {
    this._update(task, () => ({ end }));
    this.apply(task, "ENDED");
  }

  /**
   * Removes a task whose end is recorded or whose start was not.
   * @param task - Id of the task.
   */
  remove(task: string): void {
    const active = this._tasks.get(task);
    if (active === undefined) {
      return;
    }
    this._tasks.delete(task);
    this._stopping.delete(task);
    const agentTasks = this._byAgent.get(active.agent);
    agentTasks?.delete(task);
    if (agentTasks?.size === 0) {
      this._byAgent.delete(active.agent);
    }
  }

  private _update(task: string, getChanges: (active: ActiveTask) => Partial<ActiveTask>): void {
    const active = this._tasks.get(task);
    if (active !== undefined) {
      this._set({ ...active, ...getChanges(active) });
    }
  }

  private _set(active: ActiveTask): void {
    this._tasks.set(active.task, active);
    if (STOPPING_STATES.has(active.state)) {
      this._stopping.add(active.task);
    } else {
      this._stopping.delete(active.task);
    }
  }
}
