/**
 * A job as it is submitted to a queue: steps of tasks that depend on each other, run once or on a
 * schedule. The id of a job is chosen by its submitter, so that a repeated submission is the same
 * job.
 */
import type { Resources } from "../Resources.ts";

/** Form of a job's id. */
export const JOB_ID_PATTERN = /^[0-9a-f]{16}$/;

/** Largest payload of a job, in bytes. */
export const MAX_PAYLOAD_BYTES = 4_000;

/** One step: tasks of one kind that may run at the same time. */
export interface StepDefinition {
  readonly taskCount: number;
  /** What each task asks for. */
  readonly resources: Resources;
  /** Rough estimate of the time that a task works, in milliseconds. */
  readonly estimateMs: number;
  /** Positions of earlier steps whose tasks must all be done first. */
  readonly after: readonly number[];
  /** Whether tasks save their progress, so that a later run goes on from there. */
  readonly checkpoints: boolean;
  /** Whether the tasks work only while all of them run. */
  readonly gang: boolean;
  /** Whether the tasks work slower when they are spread over racks. */
  readonly sameRack: boolean;
  /** Label that a worker must have; undefined for any worker. */
  readonly requiredLabel: string | undefined;
  /** Rack that holds the data; undefined where it does not matter. */
  readonly dataRack: string | undefined;
  /** Most tasks of the step on one worker; undefined for no bound. */
  readonly maxPerWorker: number | undefined;
  /** Whether copies of a task may run at the same time; the first one to finish counts. */
  readonly speculative: boolean;
  /** Whether the tasks run until the job is cancelled, and are restarted however they end. */
  readonly longRunning: boolean;
  /** What the tasks run; tasks of one image behave alike. Empty where it is not said. */
  readonly image: string;
  /** Tail latency that a serving task must keep, in milliseconds; undefined for other tasks. */
  readonly latencyTargetMs: number | undefined;
  /** Whether the processors come from what other tasks leave unused and are not committed. */
  readonly usesIdleProcessors: boolean;
  /** Most tasks of a long-running step that the system may make unavailable at the same time. */
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
  /** Opaque text that the tasks are started with. */
  readonly payload: string;
  readonly steps: readonly StepDefinition[];
  readonly schedule: JobSchedule | undefined;
}
