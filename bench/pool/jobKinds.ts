/**
 * Kinds of jobs of the pool benchmark. The first digit of a job's id tells its kind, so that the
 * workers know how long its tasks take without being told.
 */
import type { TaskRequirements } from "../../standins/pool/PoolWorkerModelDependencies.ts";

const BYTES_PER_MB = 1_048_576;
const MEMORY_MB = 256;
const ID_DIGITS = 16;

/** Kind of a job. */
export interface JobKind {
  readonly name: string;
  /** First digit of the ids of its jobs. */
  readonly digit: string;
  /** Jobs a second for each worker. */
  readonly rate: number;
  readonly steps: number;
  readonly tasks: number;
  readonly processorsMilli: number;
  /** Duration of a task in milliseconds; undefined for tasks that serve users until cancelled. */
  readonly workMs: number | undefined;
  /** Whether its tasks use idle processors. */
  readonly usesIdleProcessors: boolean;
}

/** A mix of short interactive jobs, wide jobs on idle processors, and long-running services. */
export const JOB_KINDS: readonly JobKind[] = [
  {
    ...{ name: "interactive", digit: "1", rate: 0.057, steps: 2, tasks: 8 },
    ...{ processorsMilli: 1_900, workMs: 1_140, usesIdleProcessors: false },
  },
  {
    ...{ name: "wide", digit: "2", rate: 0.02, steps: 2, tasks: 39 },
    ...{ processorsMilli: 3_500, workMs: 2_430, usesIdleProcessors: true },
  },
  {
    ...{ name: "service", digit: "3", rate: 0.000_75, steps: 1, tasks: 24 },
    ...{ processorsMilli: 400, workMs: undefined, usesIdleProcessors: false },
  },
];

/** Gets what a task needs. */
export function getRequirements(task: string): TaskRequirements {
  const kind = JOB_KINDS.find(({ digit }) => task.startsWith(digit));
  const { processorsMilli = 0, workMs } = kind ?? {};
  const memoryBytes = MEMORY_MB * BYTES_PER_MB;
  // Tasks on idle processors commit none.
  const committedMilli = kind?.usesIdleProcessors === true ? 0 : processorsMilli;
  return { resources: { processorsMilli: committedMilli, memoryBytes, accelerators: 0 }, workMs };
}

/** Creates the id of a job. */
export function createId({ digit }: JobKind, number: number): string {
  return digit + number.toString(16).padStart(ID_DIGITS - 1, "0");
}

/** Creates the body of the request that submits a job. */
export function createBody(kind: JobKind): string {
  const { steps, tasks, processorsMilli, workMs, usesIdleProcessors } = kind;
  const step = {
    ...{ task_count: tasks, cpu: processorsMilli, mem_mb: MEMORY_MB, image: kind.name },
    ...(workMs === undefined
      ? { long_running: true, target_ms: 400 }
      : { estimate_ms: workMs, checkpointing: true, fills: usesIdleProcessors }),
  };
  return JSON.stringify({
    spec: "x".repeat(500),
    steps: Array.from({ length: steps }, (_, i) => ({ ...step, after: i === 0 ? [] : [i - 1] })),
  });
}
