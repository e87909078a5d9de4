/**
 * Calls that the stand-in of a worker takes, what it is made with, and the runs that it notes.
 */
import { z } from "zod";
import type { GangTable } from "./GangTable.ts";

/** When an order that gets no answer is carried out, in milliseconds: 2 to 12 s later, in turn. */
const MIN_LATE_MS = 2_000;
const MAX_LATE_MS = 12_000;
const LATE_STEP_MS = 373;

/** Body of an order for a run. */
export const RunBody = z.object({ task: z.string(), run: z.number(), fencing_token: z.number() });
/** Body of a start. */
export const StartBody = RunBody.extend({
  spec: z.string(),
  deadline_ms: z.number(),
  last_checkpoint: z.string().default(""),
});
/** Body of a call for lists. */
export const HoldBody = z.object({
  fencing_token: z.number(),
  last_seen: z.number().default(0),
  deadline_ms: z.number().optional(),
  wait_ms: z.number().default(0),
});

/** A start. */
export type Start = z.infer<typeof StartBody>;

/** What a task takes on a worker. */
export interface TaskLoad {
  readonly cpu: number;
  /** Time of work; undefined for a task that lasts. */
  readonly workMs: number | undefined;
  /** Number of tasks of its gang; undefined for a task that works alone. */
  readonly gangSize?: number;
  /** Interval of its checkpoints, in milliseconds; undefined for none. */
  readonly checkpointMs?: number;
}

/** A run as a worker has carried it out. */
export interface WorkedRun {
  readonly worker: string;
  readonly start: Start;
  readonly startedAt: number;
  endedAt: number | undefined;
  how: string;
  /** Whether its end has been taken note of. */
  isNoted: boolean;
}

/** Options of one life of a worker. */
export interface WorkerOptions {
  readonly id: string;
  readonly service: string;
  readonly zone: string;
  /** Kind and rack. */
  readonly labels: readonly string[];
  readonly cpu: number;
  /** Address at which it takes calls. */
  readonly address: string;
  /** Address of its agent for heartbeats. */
  readonly control: string;
  readonly getLoad: (task: string) => TaskLoad;
  readonly journal: WorkedRun[];
  readonly gangs: GangTable;
}

/**
 * Gets the time after which a start that gets no answer is carried out, in milliseconds.
 * @param count - Number of the start.
 */
export function getLateMs(count: number): number {
  return MIN_LATE_MS + ((count * LATE_STEP_MS) % (MAX_LATE_MS - MIN_LATE_MS));
}
