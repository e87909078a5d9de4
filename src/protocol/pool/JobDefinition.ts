/**
 * A job as it is submitted to a queue: steps of tasks that depend on each other, run once or on a
 * schedule. The submitter chooses the id of a job, so that a repeated submission is recognised as
 * the same job.
 */
import type { Resources } from "../Resources.ts";

/** Format of a job's id. */
export const JOB_ID_PATTERN = /^[0-9a-f]{16}$/;

/** Largest payload of a job, in bytes. */
export const MAX_PAYLOAD_BYTES = 4_000;

/** Maximum number of tasks of a step. */
export const MAX_STEP_TASKS = 10_000;

/** Maximum number of steps of a job; each scheduling cycle considers all of them. */
export const MAX_STEPS = 1_000;

/** Maximum number of tasks of all steps of a job together; a scheduler holds all of them. */
export const MAX_JOB_TASKS = 100_000;

/** A step: tasks with the same definition that may run at the same time. */
export interface StepDefinition {
  readonly taskCount: number;
  /** Resources that each task requests. */
  readonly resources: Resources;
  /** Rough estimate of a task's run time, in milliseconds. */
  readonly estimateMs: number;
  /** Indexes of earlier steps whose tasks must all be done first. */
  readonly after: readonly number[];
  /** Whether tasks save checkpoints, from which a later run resumes. */
  readonly checkpoints: boolean;
  /** Whether the tasks make progress only while all of them run. */
  readonly gang: boolean;
  /** Whether the tasks run slower when they are spread over several racks. */
  readonly sameRack: boolean;
  /** Label that a worker must have; undefined for any worker. */
  readonly requiredLabel: string | undefined;
  /** Rack that holds the data; undefined if it does not matter. */
  readonly dataRack: string | undefined;
  /** Maximum number of the step's tasks on one worker; undefined for no limit. */
  readonly maxPerWorker: number | undefined;
  /** Whether a task may have speculative runs at the same time; the first run to finish counts. */
  readonly speculative: boolean;
  /** Whether the tasks run until the job is cancelled, and are restarted however they end. */
  readonly longRunning: boolean;
  /** Image that the tasks run; tasks of the same image behave alike. Empty if not specified. */
  readonly image: string;
  /** Maximum tail latency of a serving task, in milliseconds; undefined for other tasks. */
  readonly latencyTargetMs: number | undefined;
  /** Whether the tasks use only processors that other tasks leave idle; these are not committed. */
  readonly usesIdleProcessors: boolean;
  /**
   * Maximum number of tasks of a long-running step that the system may make unavailable at the same
   * time.
   */
  readonly maxUnavailable: number | undefined;
}

/** Schedule of a job that runs several times. */
export interface JobSchedule {
  /** Due time of the first occurrence, in Unix milliseconds. */
  readonly firstRunAtMs: number;
  readonly intervalMs: number;
  readonly runCount: number;
}

/** A job as it was submitted. */
export interface JobDefinition {
  /** Opaque text that is passed to each task at its start. */
  readonly payload: string;
  readonly steps: readonly StepDefinition[];
  readonly schedule: JobSchedule | undefined;
}

/**
 * Counts the tasks of all steps, in one occurrence.
 * @param steps - The steps.
 */
export function countTasks(steps: readonly Pick<StepDefinition, "taskCount">[]): number {
  return steps.reduce((sum, { taskCount }) => sum + taskCount, 0);
}
