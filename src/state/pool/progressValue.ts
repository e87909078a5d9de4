/**
 * Progress of a job as it is stored. It is written with each change of a task and received by every
 * entry, so that its size decides how many starts a second a pool bears: what most tasks have in
 * common is stored once. Tasks that are done are ranges, and active runs name their worker once for
 * all tasks of a step that it runs. Values of a former version, which have an object for each task,
 * are read as well; an entry of that version takes values of this one for unreadable.
 */
import type { Result } from "neverthrow";
import { z } from "zod";
import { counter32, milliseconds, wholeNumber } from "../../protocol/boundedFields.ts";
import { MAX_JOB_TASKS } from "../../protocol/pool/JobDefinition.ts";
import {
  parseRecord,
  type ActiveRunRecord,
  type JobPhase,
  type ProgressRecord,
  type RecordError,
  type TaskRecord,
} from "./records.ts";

/** Maximum number of tasks that a value may name: a few occurrences of the largest job. */
const MAX_STORED_TASKS = 3 * MAX_JOB_TASKS;
const MAX_INDEX = 99_999;

/** Tasks of a step of which only the end is known: number of their last run, first and last index. */
type DoneRange = readonly [run: number, first: number, last: number];
/** Active runs of a worker that have the same number, of the tasks of one step with these indices. */
type ActiveRuns = readonly [
  agent: string,
  worker: string,
  run: number,
  step: string,
  indices: readonly number[],
];

/** The same while it is being collected. */
interface RunGroup extends ActiveRunRecord {
  readonly step: string;
  readonly indices: number[];
}

/** Value of a progress key; steps are named by occurrence and step. */
interface StoredProgress {
  readonly phase: JobPhase;
  readonly done: Readonly<Record<string, readonly DoneRange[]>>;
  readonly runs: readonly ActiveRuns[];
  /** Last checkpoints, by position of the task. */
  readonly checkpoints: Readonly<Record<string, string>>;
  /** By position: progress of the tasks of which there is more to say. */
  readonly others: Readonly<Record<string, OtherProgress>>;
}

/** Fields that are not stored with the others. */
const STORED_APART: ReadonlySet<string> = new Set(["active", "checkpoint"]);

/** What is neither a done range, nor an active run, nor a checkpoint. */
type OtherProgress = Omit<TaskRecord, "active" | "checkpoint">;

const Phase = z.enum(["queued", "running", "completed", "failed", "cancelled"]);
/** Position of a step: occurrence and step. */
const StepPosition = z.string().regex(/^\d{1,15}\.\d{1,5}$/);
/** Position of a task: occurrence, step and index. */
const Position = z.string().regex(/^\d{1,15}\.\d{1,5}\.\d{1,5}$/);
const Index = wholeNumber.max(MAX_INDEX);

const OtherProgressSchema = z.object({
  run: counter32.optional(),
  done: z.boolean().optional(),
  failures: counter32.optional(),
  crashes: counter32.optional(),
  crashedAfterMs: milliseconds.optional(),
  earlierAfterMs: milliseconds.optional(),
  crashedRun: counter32.optional(),
  givenUp: z.array(z.object({ run: counter32, worker: z.string() })).optional(),
});

const StoredProgressSchema = z
  .object({
    phase: Phase,
    done: z.record(StepPosition, z.array(z.tuple([counter32, Index, Index]))),
    runs: z.array(z.tuple([z.string(), z.string(), counter32, StepPosition, z.array(Index)])),
    checkpoints: z.record(Position, z.string()),
    others: z.record(Position, OtherProgressSchema),
  })
  .refine(({ done }) => countDone(done) <= MAX_STORED_TASKS, {
    error: `done: more than ${MAX_STORED_TASKS} tasks`,
  });

/** Value as a former version wrote it. */
const FormerProgressSchema = z.object({
  phase: Phase,
  tasks: z.record(
    Position,
    OtherProgressSchema.extend({
      checkpoint: z.string().optional(),
      active: z
        .array(z.object({ run: counter32, agent: z.string(), worker: z.string() }))
        .optional(),
    }),
  ),
});

/**
 * Formats the progress of a job as it is stored.
 * @param progress - The progress.
 */
export function formatProgress({ phase, tasks }: ProgressRecord): string {
  const done: Record<string, DoneRange[]> = {};
  const runs = new Map<string, RunGroup>();
  const checkpoints: Record<string, string> = {};
  const others: Record<string, OtherProgress> = {};
  Object.entries(tasks).forEach(([position, task]) => {
    const { active = [], checkpoint, run } = task;
    const { step, index } = splitPosition(position);
    active.forEach((activeRun) => {
      addRun(runs, step, index, activeRun);
    });
    if (checkpoint !== undefined) {
      checkpoints[position] = checkpoint;
    }
    if (isOnlyDone(task)) {
      addDone((done[step] ??= []), [run ?? 0, index, index]);
    } else if (!isOnlyRunning(task)) {
      others[position] = getOtherProgress(task);
    }
  });
  const stored: StoredProgress = {
    phase,
    done,
    runs: [...runs.values()].map(({ agent, worker, run, step, indices }) => {
      return [agent, worker, run, step, indices];
    }),
    checkpoints,
    others,
  };
  return JSON.stringify(stored);
}

/**
 * Parses the progress of a job.
 * @param value - Value as stored.
 */
export function parseProgress(value: string): Result<ProgressRecord, RecordError> {
  return parseRecord(value, StoredProgressSchema)
    .map(expand)
    .orElse((error) => parseRecord(value, FormerProgressSchema).mapErr(() => error));
}

/**
 * Reads progress that this process has formatted itself.
 * @param value - The value.
 */
export function readOwnProgress(value: string): ProgressRecord {
  return expand(JSON.parse(value) as StoredProgress);
}

/** Returns whether there is nothing to store of a task but that its last run is done. */
function isOnlyDone(task: TaskRecord): boolean {
  const { run, done, active } = task;
  return run !== undefined && done === true && active === undefined && countOthers(task) === 2;
}

/** Returns whether there is nothing to store of a task but its only active run, which is its last. */
function isOnlyRunning(task: TaskRecord): boolean {
  const { run, active } = task;
  return active?.length === 1 && active[0]?.run === run && countOthers(task) === 1;
}

/**
 * Counts the fields of a task that are not stored apart. They are not listed here, so that one which
 * is added to tasks later is not left out.
 */
function countOthers(task: TaskRecord): number {
  const { active, checkpoint } = task;
  return Object.keys(task).length - Number(active !== undefined) - Number(checkpoint !== undefined);
}

function getOtherProgress(task: TaskRecord): OtherProgress {
  const fields = Object.entries(task);
  return Object.fromEntries(fields.filter(([field]) => !STORED_APART.has(field)));
}

/** Adds a task that is done; tasks come in the order of their indices. */
function addDone(ranges: DoneRange[], range: DoneRange): void {
  const [run, first, last] = range;
  const before = ranges.at(-1);
  if (before?.[0] === run && before[2] === first - 1) {
    ranges[ranges.length - 1] = [run, before[1], last];
  } else {
    ranges.push(range);
  }
}

function addRun(
  groups: Map<string, RunGroup>,
  step: string,
  index: number,
  active: ActiveRunRecord,
): void {
  const { agent, worker, run } = active;
  // With the length of a name, no two names together read like two others.
  const key = [step, run, agent.length, agent, worker].join(" ");
  const group = groups.get(key) ?? { agent, worker, run, step, indices: [] };
  group.indices.push(index);
  groups.set(key, group);
}

function expand({ phase, done, runs, checkpoints, others }: StoredProgress): ProgressRecord {
  const tasks: Record<string, TaskRecord> = {};
  Object.entries(done).forEach(([step, ranges]) => {
    ranges.forEach(([run, first, last]) => {
      const task = { run, done: true };
      for (let index = first; index <= last; index += 1) {
        tasks[`${step}.${index}`] = task;
      }
    });
  });
  Object.assign(tasks, others);
  runs.forEach(([agent, worker, run, step, indices]) => {
    indices.forEach((index) => {
      const position = `${step}.${index}`;
      const task = tasks[position];
      const active = [...(task?.active ?? []), { run, agent, worker }];
      tasks[position] = { run, ...task, active };
    });
  });
  Object.entries(checkpoints).forEach(([position, checkpoint]) => {
    tasks[position] = { ...tasks[position], checkpoint };
  });
  return { phase, tasks };
}

function splitPosition(position: string): { readonly step: string; readonly index: number } {
  const dot = position.lastIndexOf(".");
  return { step: position.slice(0, dot), index: Number(position.slice(dot + 1)) };
}

/** Counts the tasks in ranges, so that a few bytes do not stand for more than memory holds. */
function countDone(done: StoredProgress["done"]): number {
  return Object.values(done)
    .flat()
    .reduce((sum, [, first, last]) => sum + Math.max(0, last - first + 1), 0);
}
