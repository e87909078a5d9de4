/**
 * State of one job in the scheduler of its pool: its tasks by occurrence and step, the steps that
 * are ready to run, and the phase that its submitter sees.
 */
import { countTasks, type StepDefinition } from "../../protocol/pool/JobDefinition.ts";
import { formatTaskPosition, type TaskPosition } from "../../protocol/pool/TaskId.ts";
import type { JobPhase, JobRecord, ProgressRecord, TaskRecord } from "./records.ts";
import { TaskState } from "./TaskState.ts";

/**
 * Maximum number of tasks in the occurrences that one call opens, unless a single occurrence has
 * more. A job of which very many occurrences are due at once takes no more of a tick than this.
 */
const MAX_OPENED_TASKS = 1_000;
/**
 * Maximum number of tasks that are not done in the open occurrences of a job, unless a single
 * occurrence has more; further ones open as tasks are done. It bounds the memory that a job takes
 * and what each scheduling cycle has to consider.
 */
const MAX_UNFINISHED_TASKS = 10_000;

/**
 * Maximum number of given up runs in the record of a job, some 50 KB: the loss of a zone must not
 * make the progress of a job with thousands of tasks larger than the store accepts.
 */
const MAX_STORED_GIVEN_UP_RUNS = 1_000;

/** The tasks of a step in one occurrence. */
export interface StepState {
  readonly occurrence: number;
  readonly step: number;
  readonly definition: StepDefinition;
  readonly tasks: readonly TaskState[];
}

/** State of a job. */
export class JobState {
  readonly id: string;
  readonly record: JobRecord;
  private readonly _tasks = new Map<string, TaskState>();
  private readonly _steps: StepState[] = [];
  private readonly _remainingPathsMs: readonly number[];
  private _phase: JobPhase = "queued";
  private _isCancelled = false;

  /**
   * Creates a job.
   * @param id - Id of the job.
   * @param record - The job as it was accepted.
   * @param progress - Its recorded progress; undefined if there is none.
   * @param now - Monotonic time in milliseconds.
   */
  constructor(id: string, record: JobRecord, progress: ProgressRecord | undefined, now: number) {
    this.id = id;
    this.record = record;
    this._remainingPathsMs = getRemainingPathsMs(record.steps);
    this._phase = progress?.phase ?? "queued";
    const recorded = Object.entries(progress?.tasks ?? {});
    const lastOccurrence = recorded
      .map(([position]) => Number(position.split(".")[0]))
      .reduce((a, b) => Math.max(a, b), record.schedule === undefined ? 0 : -1);
    this._openOccurrences(lastOccurrence);
    recorded.forEach(([position, task]) => this._tasks.get(position)?.restore(task, now));
  }

  get phase(): JobPhase {
    return this._phase;
  }

  /** Whether the submitter has cancelled the job. */
  get isCancelled(): boolean {
    return this._isCancelled;
  }

  /** Whether the job has ended, so that none of its tasks may start. */
  get isEnded(): boolean {
    return this._phase === "completed" || this._phase === "failed" || this._phase === "cancelled";
  }

  /** All tasks of the occurrences that have been opened. */
  get tasks(): IterableIterator<TaskState> {
    return this._tasks.values();
  }

  get steps(): readonly StepState[] {
    return this._steps;
  }

  /**
   * Gets a task.
   * @param position - Its position.
   */
  getTask(position: TaskPosition): TaskState | undefined {
    return this._tasks.get(formatTaskPosition(position));
  }

  /**
   * Gets the tasks of a step.
   * @param occurrence - Occurrence.
   * @param step - Index of the step.
   */
  getStep(occurrence: number, step: number): StepState | undefined {
    const { steps } = this.record;
    // The steps of all occurrences are kept in order, from the first occurrence on.
    return step < steps.length ? this._steps[occurrence * steps.length + step] : undefined;
  }

  /**
   * Opens the next of the occurrences that are due. If they are many, each call opens a part of
   * them, in order.
   * @param timeOfDayMs - Time of day in Unix milliseconds.
   * @returns Whether one was opened.
   */
  openDueOccurrences(timeOfDayMs: number): boolean {
    const { schedule, steps } = this.record;
    if (schedule === undefined || steps.length === 0) {
      return false;
    }
    const { firstRunAtMs, intervalMs, runCount } = schedule;
    const lastDueOccurrence = Math.floor((timeOfDayMs - firstRunAtMs) / Math.max(1, intervalMs));
    const next = this._steps.length / steps.length;
    const dueCount = Math.min(lastDueOccurrence, runCount - 1) - next + 1;
    const openedCount = dueCount > 0 ? Math.min(dueCount, this._getOpenableCount()) : 0;
    this._openOccurrences(next + openedCount - 1);
    return openedCount > 0;
  }

  /** Gets the steps that are not done and whose preceding steps are all done. */
  getReadySteps(): readonly StepState[] {
    return this._steps.filter(
      (state) =>
        !isStepDone(state) &&
        state.definition.after.every((earlier) => this._isStepDone(state.occurrence, earlier)),
    );
  }

  /**
   * Gets the estimated time from the start of a step to the end of the longest chain of steps that
   * begins with it, in milliseconds.
   * @param step - Index of the step.
   */
  getRemainingPathMs(step: number): number {
    return this._remainingPathsMs[step] ?? 0;
  }

  /** Estimated time of the job's longest chain of dependent steps, in milliseconds. */
  get criticalPathMs(): number {
    return Math.max(0, ...this._remainingPathsMs);
  }

  /** Marks the job as cancelled by its submitter. */
  cancel(): void {
    this._isCancelled = true;
    this._phase = this.isEnded ? this._phase : "cancelled";
  }

  /** Marks the job as failed. */
  fail(): void {
    this._phase = this.isEnded ? this._phase : "failed";
  }

  /** Sets the phase to running or completed if the tasks have reached it. */
  updatePhase(): void {
    if (this.isEnded) {
      return;
    }
    if (this._isComplete()) {
      this._phase = "completed";
    } else if (this._phase === "queued" && [...this.tasks].some((task) => task.lastRun > 0)) {
      this._phase = "running";
    }
  }

  /** Creates the progress record to store. */
  toRecord(): ProgressRecord {
    let givenUpRuns = 0;
    const tasks = [...this.tasks].flatMap((task): readonly [string, TaskRecord][] => {
      const record = task.toRecord(MAX_STORED_GIVEN_UP_RUNS - givenUpRuns);
      givenUpRuns += record?.givenUp?.length ?? 0;
      return record === undefined ? [] : [[task.position, record]];
    });
    return { phase: this._phase, tasks: Object.fromEntries(tasks) };
  }

  private _isComplete(): boolean {
    const occurrences = this.record.schedule?.runCount ?? 1;
    return (
      this._steps.length === occurrences * this.record.steps.length && this._steps.every(isStepDone)
    );
  }

  private _isStepDone(occurrence: number, step: number): boolean {
    const state = this.getStep(occurrence, step);
    return state !== undefined && isStepDone(state);
  }

  /** Gets the number of occurrences that may be opened now. */
  private _getOpenableCount(): number {
    const occurrenceTasks = countTasks(this.record.steps);
    const unfinishedTasks = [...this.tasks].filter((task) => !task.isDone).length;
    const room = Math.floor((MAX_UNFINISHED_TASKS - unfinishedTasks) / occurrenceTasks);
    const portion = Math.max(1, Math.floor(MAX_OPENED_TASKS / occurrenceTasks));
    return Math.max(unfinishedTasks === 0 ? 1 : 0, Math.min(portion, room));
  }

  private _openOccurrences(last: number): void {
    const stepCount = this.record.steps.length;
    const first = stepCount === 0 ? last + 1 : this._steps.length / stepCount;
    Array.from({ length: Math.max(0, last - first + 1) }, (_, offset) => first + offset).forEach(
      (occurrence) => {
        this._steps.push(
          ...this.record.steps.map((definition, step) =>
            this._createStep(occurrence, step, definition),
          ),
        );
      },
    );
  }

  private _createStep(occurrence: number, step: number, definition: StepDefinition): StepState {
    const tasks = Array.from(
      { length: definition.taskCount },
      (_, index) => new TaskState({ job: this.id, occurrence, step, index }, definition),
    );
    tasks.forEach((task) => this._tasks.set(task.position, task));
    return { occurrence, step, definition, tasks };
  }
}

/**
 * Returns whether progress names only tasks that a job can have, in occurrences that can have been
 * opened: as others open only while few tasks are not done, those before the last one are mostly
 * recorded. The tasks of other progress might not fit into memory.
 * @param record - The job as it was accepted.
 * @param progress - Its recorded progress; undefined if there is none.
 */
export function isProgressOf(record: JobRecord, progress: ProgressRecord | undefined): boolean {
  const positions = Object.keys(progress?.tasks ?? {}).map((position) =>
    position.split(".").map(Number),
  );
  const isKnown = positions.every(([occurrence = 0, step = 0, index = 0]) => {
    const taskCount = record.steps[step]?.taskCount ?? 0;
    return occurrence < (record.schedule?.runCount ?? 1) && index < taskCount;
  });
  const occurrences =
    positions.reduce((last, [occurrence = 0]) => Math.max(last, occurrence), 0) + 1;
  const occurrenceTasks = countTasks(record.steps);
  const maxUnfinishedTasks = Math.max(MAX_UNFINISHED_TASKS, occurrenceTasks);
  return isKnown && occurrences * occurrenceTasks <= positions.length + maxUnfinishedTasks;
}

/** Returns whether all tasks of a step are done. */
function isStepDone(state: StepState): boolean {
  return state.tasks.every((task) => task.isDone);
}

/**
 * Gets, for each step, the estimated time from its start to the end of the longest chain of steps
 * that begins with it, in milliseconds.
 */
function getRemainingPathsMs(steps: readonly StepDefinition[]): readonly number[] {
  const pathsMs = steps.map(() => 0);
  steps.forEach((_, offset) => {
    const position = steps.length - 1 - offset;
    const later = steps
      .map((step, other) => (step.after.includes(position) ? (pathsMs[other] ?? 0) : 0))
      .reduce((a, b) => Math.max(a, b), 0);
    pathsMs[position] = (steps[position]?.estimateMs ?? 0) + later;
  });
  return pathsMs;
}
