/**
 * Values of the keys of worker pools: JSON that is validated when it is read. How progress is stored
 * is in `progressValue.ts`.
 */
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import {
  describeIssues,
  finiteNumber,
  calledAddress,
  milliseconds,
  name,
  optionalName,
  signedMilliseconds,
  wholeNumber,
} from "../../protocol/boundedFields.ts";
import {
  countTasks,
  MAX_JOB_TASKS,
  MAX_STEP_TASKS,
  MAX_STEPS,
  type JobDefinition,
} from "../../protocol/pool/JobDefinition.ts";
import type { CrashRecord } from "./CrashHistory.ts";

const ResourcesSchema = z.object({
  processorsMilli: wholeNumber,
  memoryBytes: wholeNumber,
  accelerators: wholeNumber,
});

const StepSchema = z.object({
  taskCount: wholeNumber.min(1).max(MAX_STEP_TASKS),
  resources: ResourcesSchema,
  estimateMs: milliseconds,
  after: z.array(wholeNumber),
  checkpoints: z.boolean(),
  gang: z.boolean(),
  sameRack: z.boolean(),
  requiredLabel: z.string().optional(),
  dataRack: z.string().optional(),
  maxPerWorker: wholeNumber.optional(),
  speculative: z.boolean(),
  longRunning: z.boolean(),
  image: z.string(),
  latencyTargetMs: milliseconds.optional(),
  usesIdleProcessors: z.boolean(),
  maxUnavailable: wholeNumber.optional(),
});

const JobRecordSchema = z.object({
  queue: z.string(),
  endpoint: z.string().optional(),
  priority: finiteNumber,
  maxAttempts: wholeNumber,
  stretch: finiteNumber,
  latencyTargetMs: milliseconds,
  acceptedAtMs: milliseconds,
  payload: z.string(),
  steps: z
    .array(StepSchema)
    .min(1)
    .max(MAX_STEPS)
    .refine((steps) => countTasks(steps) <= MAX_JOB_TASKS, {
      error: `more than ${MAX_JOB_TASKS} tasks`,
    })
    .refine((steps) => steps.every(({ after }, index) => after.every((step) => step < index)), {
      error: "after: refers to a step that is not an earlier one",
    }),
  schedule: z
    .object({
      firstRunAtMs: signedMilliseconds,
      intervalMs: milliseconds,
      runCount: wholeNumber.min(1),
    })
    .optional(),
});

/** A job as it was accepted, with the settings of its queue at that time. */
export interface JobRecord extends JobDefinition {
  /** Name that the queue had then. */
  readonly queue: string;
  /** Endpoint of the queue, to which the job belongs; absent in records of a former version. */
  readonly endpoint?: string | undefined;
  readonly priority: number;
  readonly maxAttempts: number;
  readonly stretch: number;
  readonly latencyTargetMs: number;
  /** Time of acceptance on the clock of the entry that accepted it, in Unix milliseconds. */
  readonly acceptedAtMs: number;
}

/** Phase of a job as its submitter sees it. */
export type JobPhase = "queued" | "running" | "completed" | "failed" | "cancelled";

/** A run that was ordered and is not known to have ended. */
export interface ActiveRunRecord {
  readonly run: number;
  readonly agent: string;
  /** Incarnation of the worker. */
  readonly worker: string;
}

/** A run that was given up although its end was not known. */
export interface GivenUpRun {
  readonly run: number;
  /** Incarnation of the worker. */
  readonly worker: string;
}

/** Progress of one task; absent properties are 0, false or empty. */
export interface TaskRecord extends CrashRecord {
  /** Number of the last ordered run. */
  readonly run?: number | undefined;
  readonly done?: boolean | undefined;
  /** Number of failed runs. */
  readonly failures?: number | undefined;
  readonly checkpoint?: string | undefined;
  readonly active?: readonly ActiveRunRecord[] | undefined;
  /** The last runs that were given up and whose ends are still to be counted. */
  readonly givenUp?: readonly GivenUpRun[] | undefined;
}

/** Progress of a job; tasks by their position, without those of which no run has been ordered. */
export interface ProgressRecord {
  readonly phase: JobPhase;
  readonly tasks: Readonly<Record<string, TaskRecord>>;
}

/** Value of the key that names the scheduler of a pool. */
export interface SchedulerRecord {
  readonly entry: string;
  /** Identity of the process; never reused. */
  readonly process: string;
}

const SchedulerRecordSchema = z.object({ entry: z.string(), process: z.string() });

/** Registration of an agent. */
export interface AgentRecord {
  readonly address: string;
  readonly zone: string;
  /** Pool of its worker. */
  readonly pool: string;
  /** Identity of the process; never reused. */
  readonly process: string;
}

const AgentRecordSchema = z.object({
  address: calledAddress,
  zone: optionalName,
  pool: name,
  process: name,
});

/**
 * How much an image that runs on idle processors slows a serving image; see InterferenceEstimator.
 */
export interface PairInterference {
  readonly serving: string;
  readonly image: string;
  readonly mean: number;
  readonly variance: number;
}

/** Interference between the images of a pool as its schedulers have estimated it. */
export interface InterferenceRecord {
  readonly pairs: readonly PairInterference[];
}

/** Far above what an estimate starts from and measurements lead to. */
const MAX_INTERFERENCE = 1_000;

const InterferenceRecordSchema = z.object({
  pairs: z.array(
    z.object({
      serving: z.string(),
      image: z.string(),
      mean: z.number().min(0).max(MAX_INTERFERENCE),
      variance: z.number().min(0).max(MAX_INTERFERENCE),
    }),
  ),
});

/**
 * Agents whose workers get no lease from any scheduler until a later record omits them, since they do
 * not respond.
 */
export interface LeaseEndRecord {
  /** By agent: time from the write until all leases of its worker have ended, in milliseconds. */
  readonly agents: Readonly<Record<string, number>>;
}

const LeaseEndRecordSchema = z.object({ agents: z.record(z.string(), milliseconds) });

/** Reason why a stored value cannot be parsed. */
export interface RecordError {
  readonly detail: string;
}

/**
 * Parses an accepted job.
 * @param value - Value as stored.
 */
export function parseJobRecord(value: string): Result<JobRecord, RecordError> {
  return parseRecord(value, JobRecordSchema) as Result<JobRecord, RecordError>;
}

/**
 * Parses the value that names the scheduler of a pool.
 * @param value - Value as stored.
 */
export function parseSchedulerRecord(value: string): Result<SchedulerRecord, RecordError> {
  return parseRecord(value, SchedulerRecordSchema);
}

/**
 * Parses the registration of an agent.
 * @param value - Value as stored.
 */
export function parseAgentRecord(value: string): Result<AgentRecord, RecordError> {
  return parseRecord(value, AgentRecordSchema);
}

/**
 * Parses the estimated interference between the images of a pool.
 * @param value - Value as stored.
 */
export function parseInterferenceRecord(value: string): Result<InterferenceRecord, RecordError> {
  return parseRecord(value, InterferenceRecordSchema);
}

/**
 * Parses the ends of leases in a pool.
 * @param value - Value as stored.
 */
export function parseLeaseEndRecord(value: string): Result<LeaseEndRecord, RecordError> {
  return parseRecord(value, LeaseEndRecordSchema);
}

/**
 * Parses a stored value.
 * @param value - Value as stored.
 * @param schema - Its schema.
 */
export function parseRecord<T>(value: string, schema: z.ZodType<T>): Result<T, RecordError> {
  try {
    const parsed = schema.safeParse(JSON.parse(value));
    return parsed.success ? ok(parsed.data) : err({ detail: describeIssues(parsed.error) });
  } catch (cause) {
    return err({ detail: cause instanceof Error ? cause.message : String(cause) });
  }
}
