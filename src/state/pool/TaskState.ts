/**
 * State of one task of a job in the scheduler of its pool: last run, failures, last checkpoint, the
 * active runs, which are those not known to have ended, and the last runs that were given up, whose
 * ends may still become known.
 */
import type { StepDefinition } from "../../protocol/pool/JobDefinition.ts";
import { formatTaskPosition, formatTaskId, type TaskAddress } from "../../protocol/pool/TaskId.ts";
import { CrashHistory } from "./CrashHistory.ts";
import type { GivenUpRun, TaskRecord } from "./records.ts";

/**
 * Maximum number of given up runs that a task remembers: each takes some 50 bytes of the stored
 * progress. An end of an earlier one still completes the task, but is not counted as a failure.
 */
const MAX_GIVEN_UP_RUNS = 4;

/** Phase of an active run. */
export type RunPhase =
  /** Its start is not recorded yet; no agent knows of it. */
  | "recording"
  /** The agent was ordered to start it; the worker has not listed it yet. */
  | "ordered"
  /** The worker lists it. */
  | "running"
  /** The agent was ordered to stop it. */
  | "stopping"
  /** A former scheduler ordered it; its agent has not reported since. */
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
  /** Progress that the worker listed last, as a percentage from 0 to 100. */
  readonly percent: number;
  /** Whether it is a long-running run that has been at work for some time. */
  readonly isAtWork: boolean;
  /** When the progress last increased, on the scheduler's monotonic clock, in milliseconds. */
  readonly progressedAt: number;
  /** Pace that was last ordered, as a percentage of the full speed, from 0 to 100. */
  readonly pacePercent: number;
  /**
   * Number of a call of the agent; lists returned by a later call show whether the worker has the
   * run.
   */
  readonly callNumber: number | undefined;
  /** Process of the agent that numbers the call; empty for none. */
  readonly callProcess: string;
  /** Number of orders sent to start it or, while it is stopping, to stop it. */
  readonly tries: number;
  /** Why it is being stopped; empty if it is not. */
  readonly stopReason: string;
  /** Incarnation to which the last order to stop it was sent; empty for none. */
  readonly stopWorker: string;
}

/** State of a task. */
export class TaskState {
  readonly address: TaskAddress;
  readonly id: string;
  /** Job, occurrence and step; the same for all tasks of a step. */
  readonly stepKey: string;
  readonly definition: StepDefinition;
  readonly crashHistory = new CrashHistory();
  /** Agents on which a run of the task failed or stalled. */
  private _avoidedAgents: ReadonlySet<string> = new Set();
  private _lastRun = 0;
  private _failures = 0;
  private _isDone = false;
  private _doneGangRun: number | undefined;
  private _checkpoint = "";
  private _activeRuns: readonly ActiveRun[] = [];
  private _givenUpRuns: readonly GivenUpRun[] = [];

  /**
   * Creates a task without runs.
   * @param address - Job and position of the task.
   * @param definition - Definition of its step.
   */
  constructor(address: TaskAddress, definition: StepDefinition) {
    this.address = address;
    this.id = formatTaskId(address);
    this.stepKey = formatTaskId({ ...address, index: 0 });
    this.definition = definition;
  }

  /** Position within the job, as text. */
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

  /**
   * Number of the run with which the task's gang is done; undefined for other tasks, and if a former
   * scheduler recorded that it is.
   */
  get doneGangRun(): number | undefined {
    return this._doneGangRun;
  }

  /** Whether the task is not done and has no active run. */
  get isWithoutRun(): boolean {
    return !this._isDone && this._activeRuns.length === 0;
  }

  /** Whether the task may crash the workers that start it. */
  get isSuspected(): boolean {
    return this.crashHistory.crashes > 0 && !this._isDone;
  }

  get checkpoint(): string {
    return this._checkpoint;
  }

  get activeRuns(): readonly ActiveRun[] {
    return this._activeRuns;
  }

  /**
   * Gets an active run.
   * @param run - Its number.
   */
  getRun(run: number): ActiveRun | undefined {
    return this._activeRuns.find((active) => active.run === run);
  }

  /**
   * Restores the task from its record; its active runs are unconfirmed.
   * @param record - The record.
   * @param now - Monotonic time in milliseconds.
   */
  restore(record: TaskRecord, now: number): void {
    this._lastRun = record.run ?? 0;
    this._failures = record.failures ?? 0;
    this.crashHistory.restore(record);
    this._isDone = record.done ?? false;
    this._checkpoint = record.checkpoint ?? "";
    this._givenUpRuns = record.givenUp ?? [];
    this._activeRuns = (record.active ?? []).map((active) => ({
      ...active,
      phase: "unconfirmed",
      since: now,
      percent: 0,
      isAtWork: false,
      progressedAt: now,
      pacePercent: 100,
      callNumber: undefined,
      callProcess: "",
      tries: 0,
      stopReason: "",
      stopWorker: "",
    }));
  }

  /**
   * Adds a run whose start has yet to be recorded.
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
      isAtWork: false,
      progressedAt: now,
      pacePercent: 100,
      callNumber: undefined,
      callProcess: "",
      tries: 0,
      stopReason: "",
      stopWorker: "",
    };
    this._activeRuns = [...this._activeRuns, active];
    return active;
  }

  /**
   * Updates an active run; does nothing if the run is not active.
   * @param run - Number of the run.
   * @param change - Properties to replace.
   */
  updateRun(run: number, change: Partial<Omit<ActiveRun, "run" | "agent" | "worker">>): void {
    this._activeRuns = this._activeRuns.map((active) =>
      active.run === run ? { ...active, ...change } : active,
    );
  }

  /**
   * Removes a run that has certainly ended.
   * @param run - Number of the run.
   */
  removeRun(run: number): void {
    this._activeRuns = this._activeRuns.filter((active) => active.run !== run);
  }

  /**
   * Remembers a run that is given up although its end is not known; the earliest ones are forgotten.
   * @param run - The run.
   */
  rememberGivenUpRun({ run, worker }: GivenUpRun): void {
    if (!this._isDone) {
      this._givenUpRuns = [...this._givenUpRuns, { run, worker }].slice(-MAX_GIVEN_UP_RUNS);
    }
  }

  /**
   * Forgets a run that was given up, since its end is known now.
   * @param known - The run.
   * @returns Whether it was remembered.
   */
  forgetGivenUpRun(known: GivenUpRun): boolean {
    const others = this._givenUpRuns.filter(
      ({ run, worker }) => run !== known.run || worker !== known.worker,
    );
    const isRemembered = others.length < this._givenUpRuns.length;
    this._givenUpRuns = others;
    return isRemembered;
  }

  /** Agents that should not get the task again while others have free capacity. */
  get avoidedAgents(): ReadonlySet<string> {
    return this._avoidedAgents;
  }

  /**
   * Avoids an agent on which a run of the task failed or stalled.
   * @param agent - Name of the agent.
   */
  avoidAgent(agent: string): void {
    this._avoidedAgents = new Set([...this._avoidedAgents, agent]);
  }

  /** Counts a run that failed. */
  countFailure(): void {
    this._failures += 1;
  }

  /**
   * Marks the task as done; the ends of runs that were given up make no difference any more.
   * @param run - Number of the run that is done.
   */
  markDone(run: number): void {
    this._isDone = true;
    this._doneGangRun = this.definition.gang ? run : undefined;
    this._givenUpRuns = [];
  }

  /**
   * Updates the last checkpoint; an empty one is ignored.
   * @param checkpoint - The checkpoint.
   */
  updateCheckpoint(checkpoint: string): void {
    this._checkpoint = checkpoint === "" ? this._checkpoint : checkpoint;
  }

  /**
   * Creates the record of the task; undefined if no run has been ordered.
   * @param maxGivenUpRuns - Maximum number of given up runs in the record; the last ones are kept.
   */
  toRecord(maxGivenUpRuns = MAX_GIVEN_UP_RUNS): TaskRecord | undefined {
    if (this._lastRun === 0) {
      return undefined;
    }
    const active = this._activeRuns.map(({ run, agent, worker }) => ({ run, agent, worker }));
    const givenUp = this._givenUpRuns.slice(Math.max(0, this._givenUpRuns.length - maxGivenUpRuns));
    return {
      run: this._lastRun,
      ...(this._isDone ? { done: true } : {}),
      ...(this._failures > 0 ? { failures: this._failures } : {}),
      ...this.crashHistory.toRecord(),
      ...(this._checkpoint === "" || this._isDone ? {} : { checkpoint: this._checkpoint }),
      ...(active.length > 0 ? { active } : {}),
      ...(givenUp.length > 0 ? { givenUp } : {}),
    };
  }
}
