/**
 * What is known of whether a task crashes the workers that start it: how many workers crashed at the
 * same time after its start, and for how long a run of it has worked. A task that crashes workers does
 * so at the same point of its work each time; one that has worked for longer does not.
 */

/** How far the times of two crashes by one task may differ, in milliseconds. */
const TOLERANCE_MS = 150;
/** The same in proportion to the time, as workers differ in speed. */
const TOLERANCE_SHARE = 0.1;
/**
 * Number of crashes from which each further one counts: operators accept two more starts, whatever
 * ends them.
 */
const CRASHES_UNTIL_LIMIT = 3;

/** What a crash says of a task. */
export type CrashVerdict =
  /** The crash was counted before. */
  | "known"
  /** A run of the task has worked for longer, or its worker crashed earlier than it ever would. */
  | "innocent"
  /** The task may have caused the crash. */
  | "suspected"
  /** Its worker crashed at the same time after its start as an earlier one. */
  | "repeated";

/** History as it is stored; absent properties are 0. */
export interface CrashRecord {
  /** Number of workers that crashed at the same time after a start of the task. */
  readonly crashes?: number | undefined;
  /** Time from the start of the task to these crashes, in milliseconds. */
  readonly crashedAfterMs?: number | undefined;
  /** Time from a start to the last crash that came earlier than these, in milliseconds. */
  readonly earlierAfterMs?: number | undefined;
  /** Number of the last run whose worker crashed. */
  readonly crashedRun?: number | undefined;
}

/** Crashes of workers under one task. */
export class CrashHistory {
  private _crashes = 0;
  private _crashedAfterMs = 0;
  private _earlierAfterMs = 0;
  private _lastRun = 0;
  private _longestWorkMs = 0;

  /** Number of workers that the task may have crashed; 0 if it is not suspected. */
  get crashes(): number {
    return this._crashes;
  }

  /** Time from the start of the task to these crashes, in milliseconds. */
  get crashedAfterMs(): number {
    return this._crashedAfterMs;
  }

  /**
   * Restores the history.
   * @param record - The history as it was stored.
   */
  restore({ crashes, crashedAfterMs, earlierAfterMs, crashedRun }: CrashRecord): void {
    this._crashes = crashes ?? 0;
    this._crashedAfterMs = crashedAfterMs ?? 0;
    this._earlierAfterMs = earlierAfterMs ?? 0;
    this._lastRun = crashedRun ?? 0;
  }

  /** Creates the record to store. */
  toRecord(): CrashRecord {
    return {
      ...(this._crashes > 0
        ? { crashes: this._crashes, crashedAfterMs: this._crashedAfterMs }
        : {}),
      ...(this._earlierAfterMs > 0 ? { earlierAfterMs: this._earlierAfterMs } : {}),
      ...(this._lastRun > 0 ? { crashedRun: this._lastRun } : {}),
    };
  }

  /**
   * Records that a worker crashed with a run of the task.
   * @param run - Number of the run.
   * @param elapsedMs - Time from its start to the crash, in milliseconds.
   */
  recordCrash(run: number, elapsedMs: number): CrashVerdict {
    if (run <= this._lastRun) {
      return "known";
    }
    this._lastRun = run;
    if (this._crashes > 0 && elapsedMs < this._crashedAfterMs - getTolerance(elapsedMs)) {
      return this._recordEarlierCrash(elapsedMs);
    }
    if (this._hasWorkedFor(elapsedMs)) {
      return "innocent";
    }
    const isSame =
      this._crashes > 0 && elapsedMs <= this._crashedAfterMs + getTolerance(this._crashedAfterMs);
    this._crashes = isSame ? this._crashes + 1 : 1;
    this._crashedAfterMs = isSame ? this._crashedAfterMs : elapsedMs;
    return isSame ? "repeated" : "suspected";
  }

  /**
   * Records for how long a run of the task has worked.
   * @param workedMs - The time, in milliseconds.
   * @returns Whether the task was suspected and is so no more.
   */
  recordWork(workedMs: number): boolean {
    this._longestWorkMs = Math.max(this._longestWorkMs, workedMs);
    if (this._crashes === 0 || !this._hasWorkedFor(this._crashedAfterMs)) {
      return false;
    }
    this._crashes = 0;
    this._earlierAfterMs = 0;
    return true;
  }

  /**
   * Records a crash that came earlier than those before. One says nothing of the task; if the next one
   * comes at the same time, the task resumes from a checkpoint or is on faster workers.
   */
  private _recordEarlierCrash(elapsedMs: number): CrashVerdict {
    if (this._crashes >= CRASHES_UNTIL_LIMIT) {
      this._crashes += 1;
      return "repeated";
    }
    const isSame =
      this._earlierAfterMs > 0 &&
      Math.abs(elapsedMs - this._earlierAfterMs) <= getTolerance(this._earlierAfterMs);
    if (!isSame) {
      this._earlierAfterMs = Math.max(1, elapsedMs);
      return "innocent";
    }
    this._crashes += 1;
    this._crashedAfterMs = this._earlierAfterMs;
    this._earlierAfterMs = 0;
    return "repeated";
  }

  /** Returns whether a run has worked for certainly longer than a time. */
  private _hasWorkedFor(elapsedMs: number): boolean {
    return this._longestWorkMs > elapsedMs + getTolerance(elapsedMs);
  }
}

function getTolerance(elapsedMs: number): number {
  return TOLERANCE_MS + TOLERANCE_SHARE * elapsedMs;
}
