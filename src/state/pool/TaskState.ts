/**
 * One task of a job as the scheduler of its pool follows it: runs ordered, failures, last
 * checkpoint, and the runs that are not known to have ended.
 */
import type { StepDefinition } from "../../protocol/pool/JobDefinition.ts";
import { formatTaskPosition, formatTaskId, type TaskAddress } from "../../protocol/pool/TaskId.ts";
import type { TaskRecord } from "./records.ts";

/** What is known of a run. */
export type RunPhase =
  /** Its start is not recorded yet; no agent knows of it. */
  | "recording"
  /** The agent was told to start it; the worker has not listed it. */
  | "ordered"
  /** The worker lists it. */
  | "running"
  /** The agent is told to stop it. */
  | "stopping"
  /** A former scheduler ordered it; its agent has not been heard of since. */
  | "unconfirmed";

/** A run that is not known to have ended. */
export interface ActiveRun {
  readonly run: number;
  readonly agent: string;
  /** Incarnation of the worker. */
  readonly worker: string;
  readonly phase: RunPhase;
  /** When the phase began, on the scheduler's monotonic clock, in milliseconds. */
  readonly since: number;
  /** Progress that the worker listed last, from 0 to 100. */
  readonly percent: number;
  /** When the progress last rose, in milliseconds. */
  readonly progressedAt: number;
  /** Share of its speed that the run was last given, from 0 to 100. */
  readonly pacePercent: number;
  /** Lists made by a later call than this one show whether the run is there. */
  readonly callNumber: number | undefined;
  /** How often its agent was told to start it, or to stop it in that phase. */
  readonly tries: number;
  /** Why it is being stopped; empty where it is not. */
  readonly stopReason: string;
}

/** A task. */
export class TaskState {
  readonly address: TaskAddress;
  readonly id: string;
  readonly definition: StepDefinition;
  /** Agents on which a run failed or was given up, the last ones. */
  private _avoidedAgents: ReadonlySet<string> = new Set();
  private _lastRun = 0;
  private _failures = 0;
  private _isDone = false;
  private _checkpoint = "";
  private _activeRuns: readonly ActiveRun[] = [];

  /**
   * Creates a task of which nothing has been ordered.
   * @param address - The task.
   * @param definition - Its step.
   */
  constructor(address: TaskAddress, definition: StepDefinition) {
    this.address = address;
    this.id = formatTaskId(address);
    this.definition = definition;
  }

  /** Place in the job, as text. */
  get position(): string {
    return formatTaskPosition(this.address);
  }

  get lastRun(): number {
    return this._lastRun;
  }

  get failures(): number {
    return this._failures;
  }

  get isDone(): boolean {
    return this._isDone;
  }

  get checkpoint(): string {
    return this._checkpoint;
  }

  get activeRuns(): readonly ActiveRun[] {
    return this._activeRuns;
  }

  /**
   * Gives an active run.
   * @param run - Its number.
   */
  getRun(run: number): ActiveRun | undefined {
    return this._activeRuns.find((active) => active.run === run);
  }

  /**
   * Takes over what is recorded of the task; its runs are unconfirmed.
   * @param record - The record.
   * @param now - Monotonic time in milliseconds.
   */
  restore(record: TaskRecord, now: number): void {
    this._lastRun = record.run ?? 0;
    this._failures = record.failures ?? 0;
    this._isDone = record.done ?? false;
    this._checkpoint = record.checkpoint ?? "";
    this._activeRuns = (record.active ?? []).map((active) => ({
      ...active,
      phase: "unconfirmed",
      since: now,
      percent: 0,
      progressedAt: now,
      pacePercent: 100,
      callNumber: undefined,
      tries: 0,
      stopReason: "",
    }));
  }

  /**
   * Adds a run that is to be recorded.
   * @param location - Agent and incarnation of the worker.
   * @param now - Monotonic time in milliseconds.
   * @param run - Number of the run; the next one by default.
   */
  addRun(
    location: Pick<ActiveRun, "agent" | "worker">,
    now: number,
    run = this._lastRun + 1,
  ): ActiveRun {
    this._lastRun = Math.max(run, this._lastRun);
    const active: ActiveRun = {
      ...location,
      run,
      phase: "recording",
      since: now,
      percent: 0,
      progressedAt: now,
      pacePercent: 100,
      callNumber: undefined,
      tries: 0,
      stopReason: "",
    };
    this._activeRuns = [...this._activeRuns, active];
    return active;
  }

  /**
   * Changes an active run; one that is not active is left alone.
   * @param run - Number of the run.
   * @param change - Members to replace.
   */
  updateRun(run: number, change: Partial<Omit<ActiveRun, "run" | "agent" | "worker">>): void {
    this._activeRuns = this._activeRuns.map((active) =>
      active.run === run ? { ...active, ...change } : active,
    );
  }

  /**
   * Takes a run off that certainly does not run any more.
   * @param run - Number of the run.
   */
  removeRun(run: number): void {
    this._activeRuns = this._activeRuns.filter((active) => active.run !== run);
  }

  /** Agents that should not be given the task again while others have room. */
  get avoidedAgents(): ReadonlySet<string> {
    return this._avoidedAgents;
  }

  /**
   * Notes that a run on an agent failed or was given up.
   * @param agent - Name of the agent.
   */
  avoidAgent(agent: string): void {
    this._avoidedAgents = new Set([...this._avoidedAgents, agent]);
  }

  /** Counts a run that failed. */
  countFailure(): void {
    this._failures += 1;
  }

  /** Notes that the work is done. */
  markDone(): void {
    this._isDone = true;
  }

  /**
   * Notes a checkpoint; an empty one leaves the last one in place.
   * @param checkpoint - The checkpoint.
   */
  updateCheckpoint(checkpoint: string): void {
    this._checkpoint = checkpoint === "" ? this._checkpoint : checkpoint;
  }

  /** Gives the record of the task; undefined where nothing was ordered. */
  toRecord(): TaskRecord | undefined {
    if (this._lastRun === 0) {
      return undefined;
    }
    const active = this._activeRuns.map(({ run, agent, worker }) => ({ run, agent, worker }));
    return {
      run: this._lastRun,
      ...(this._isDone ? { done: true } : {}),
      ...(this._failures > 0 ? { failures: this._failures } : {}),
      ...(this._checkpoint === "" ? {} : { checkpoint: this._checkpoint }),
      ...(active.length > 0 ? { active } : {}),
    };
  }
}
