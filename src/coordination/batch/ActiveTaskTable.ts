/**
 * The held tasks of one partition as its owner follows them: state, last lease granted, last
 * checkpoint reported. It decides when a task certainly does not run any more.
 */
import type { EndRecord } from "../../state/batch/BatchRecord.ts";
import { getNextTaskState, type TaskEvent, type TaskState } from "./taskLifecycle.ts";

/** Number of consecutive reports without a running task after which its agent is asked. */
const MISSING_REPORT_LIMIT = 2;
/** States in which the agent is asked to stop the task. */
const STOPPING_STATES: ReadonlySet<TaskState> = new Set(["unanswered", "settling", "evicting"]);

/** A held task. */
export interface ActiveTask {
  readonly task: string;
  readonly attempt: number;
  readonly agent: string;
  readonly state: TaskState;
  /** When every lease of the attempt has surely lapsed, on the owner's clock. */
  readonly leaseExpiresBy: number;
  /** Last checkpoint known. */
  readonly checkpoint: string;
  readonly missingReports: number;
  /** Why the task is being stopped. */
  readonly reason: string;
  /** When the agent is asked again to stop the task. */
  readonly nextStopAt: number;
  readonly stopRequests: number;
  /** How the attempt ended, once that is certain. */
  readonly end: EndRecord | undefined;
}

/** Held tasks of one partition. */
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
   * @param attempt - Its attempt.
   * @param agent - VM on which the attempt runs or is to run.
   * @param state - "recording" for a new attempt, "unconfirmed" for one of a former owner.
   * @param lapsesAt - When every lease of the attempt has surely lapsed.
   * @param checkpoint - Checkpoint from which the attempt starts.
   */
  add(
    task: string,
    attempt: number,
    agent: string,
    state: "recording" | "unconfirmed",
    lapsesAt: number,
    checkpoint: string,
  ): void {
    this._set({
      task,
      attempt,
      agent,
      state,
      leaseExpiresBy: lapsesAt,
      checkpoint,
      missingReports: 0,
      reason: "",
      nextStopAt: 0,
      stopRequests: 0,
      end: undefined,
    });
    const ofAgent = this._byAgent.get(agent) ?? new Set<string>();
    this._byAgent.set(agent, ofAgent.add(task));
  }

  /**
   * Gives a task.
   * @param task - Id of the task.
   */
  get(task: string): ActiveTask | undefined {
    return this._tasks.get(task);
  }

  /** Gives all tasks. */
  getAll(): readonly ActiveTask[] {
    return [...this._tasks.values()];
  }

  /**
   * Gives the tasks of a VM.
   * @param agent - Name of its agent.
   */
  getByAgent(agent: string): readonly ActiveTask[] {
    return [...(this._byAgent.get(agent) ?? [])].flatMap((task) => this._tasks.get(task) ?? []);
  }

  /**
   * Gives tasks whose agents are to be asked now to stop them.
   * @param now - Monotonic time in milliseconds.
   * @param limit - Most tasks to give.
   */
  getStopsDue(now: number, limit: number): readonly ActiveTask[] {
    return [...this._stopping]
      .flatMap((task) => this._tasks.get(task) ?? [])
      .filter((active) => active.nextStopAt <= now)
      .slice(0, limit);
  }

  /**
   * Gives tasks whose leases have surely lapsed.
   * @param now - Monotonic time in milliseconds.
   */
  getExpired(now: number): readonly ActiveTask[] {
    return this.getAll().filter(
      (active) =>
        now >= active.leaseExpiresBy && active.state !== "recording" && active.state !== "ending",
    );
  }

  /**
   * Tells a task what happened to it.
   * @param task - Id of the task.
   * @param event - What happened.
   * @param reason - Why, where the task is to be stopped.
   * @returns The state after it; undefined where the task is not held.
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
   * Notes that a lease was granted or a start was sent.
   * @param task - Id of the task.
   * @param lapsesAt - When that lease has surely lapsed.
   */
  extendLeaseExpiry(task: string, lapsesAt: number): void {
    this._update(task, (active) => ({ leaseExpiresBy: Math.max(active.leaseExpiresBy, lapsesAt) }));
  }

  /**
   * Replaces the time at which all leases have lapsed, once the agent takes grants from this owner
   * only.
   * @param task - Id of the task.
   * @param lapsesAt - When the lease has surely lapsed.
   */
  setLeaseExpiry(task: string, lapsesAt: number): void {
    this._update(task, () => ({ leaseExpiresBy: lapsesAt }));
  }

  /**
   * Notes what an agent reported of a running task.
   * @param task - Id of the task.
   * @param checkpoint - Last checkpoint; empty where there is none.
   */
  recordReport(task: string, checkpoint: string): void {
    this._update(task, (active) => ({
      missingReports: 0,
      checkpoint: checkpoint === "" ? active.checkpoint : checkpoint,
    }));
  }

  /**
   * Notes that a report of the agent does not hold a task.
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
      this.apply(task, "MISSING", "not on its VM any more");
    }
  }

  /**
   * Notes that the agent was asked to stop a task.
   * @param task - Id of the task.
   * @param nextStopAt - When to ask again.
   */
  recordStopRequest(task: string, nextStopAt: number): void {
    this._update(task, (active) => ({ nextStopAt, stopRequests: active.stopRequests + 1 }));
  }

  /**
   * Notes how an attempt ended.
   * @param task - Id of the task.
   * @param end - The record that says so.
   */
  recordEnd(task: string, end: EndRecord): void {
    this._update(task, () => ({ end }));
    this.apply(task, "ENDED");
  }

  /**
   * Removes a task that is not held any more.
   * @param task - Id of the task.
   */
  remove(task: string): void {
    const active = this._tasks.get(task);
    if (active === undefined) {
      return;
    }
    this._tasks.delete(task);
    this._stopping.delete(task);
    const ofAgent = this._byAgent.get(active.agent);
    ofAgent?.delete(task);
    if (ofAgent?.size === 0) {
      this._byAgent.delete(active.agent);
    }
  }

  private _update(task: string, change: (active: ActiveTask) => Partial<ActiveTask>): void {
    const active = this._tasks.get(task);
    if (active !== undefined) {
      this._set({ ...active, ...change(active) });
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
