/**
 * Runs of a worker stand-in: what a task asks for, as its submission's text says, and the state of one
 * run.
 */

/** What a task of a step takes, by the number of its step in the text of the submission. */
export interface StepWork {
  /** Work until the task is done, in milliseconds; undefined for a task that lasts. */
  readonly workMs?: number;
  /** Work after which the task fails by its own fault, in milliseconds; undefined for a sound one. */
  readonly failsAfterMs?: number;
  readonly cpu: number;
  readonly memMb: number;
  /** Number of members, for a gang. */
  readonly gangSize?: number;
  /** Whether it checkpoints its progress. */
  readonly isCheckpointing?: boolean;
  /** Whether its processors are not counted against the worker's capacity. */
  readonly isFilling?: boolean;
  /** Tail latency of a task that serves, undisturbed and at its usual load, in milliseconds. */
  readonly tailMs?: number;
}

/** How a run ended. */
export type RunOutcome = "done" | "failed" | "stopped" | "lapsed" | "broken" | "alone";

/** A run that is on a worker. */
export interface WorkerRun {
  readonly task: string;
  readonly run: number;
  readonly work: StepWork;
  readonly startedAt: number;
  readonly checkpoint: string;
  /** Whether the worker fails it by a fault of its own. */
  readonly isFailing: boolean;
  workedMs: number;
  saved: string;
  hasBegun: boolean;
  stopsAt: number | undefined;
  pacePercent: number;
}

/** An order that a worker has carried out. */
export interface WorkerOrder {
  readonly task: string;
  readonly run: number;
  /** When, on the monotonic clock, in milliseconds. */
  readonly at: number;
}

/** An end as the worker lists it. */
export interface WorkerEnd {
  readonly number: number;
  readonly task: string;
  readonly run: number;
  readonly how: RunOutcome;
  readonly saved: string;
}

/**
 * Reads what a task takes from the text of its submission.
 * @param spec - The text.
 * @param task - Name of the task.
 */
export function readWork(spec: string, task: string): StepWork {
  const steps = JSON.parse(spec) as readonly StepWork[];
  const step = Number(task.split(".")[2]);
  return steps[step] ?? { cpu: 0, memMb: 0 };
}

/**
 * Creates the checkpoint of a task: its work so far, and who wrote it.
 * @param task - Name of the task.
 * @param workedMs - Its work so far, in milliseconds.
 */
export function createCheckpoint(task: string, workedMs: number): string {
  const [id = "", , , index = ""] = task.split(".");
  const worked = Math.floor(workedMs).toString(16).padStart(8, "0");
  return `${worked}${id.slice(0, 4)}${Number(index).toString(16).padStart(4, "0")}`;
}

/**
 * Returns the work that a checkpoint has saved, in milliseconds.
 * @param checkpoint - The checkpoint; empty for none.
 */
export function getSavedMs(checkpoint: string): number {
  return checkpoint === "" ? 0 : Number.parseInt(checkpoint.slice(0, 8), 16);
}
