/**
 * The specification of a batch job as a tenant submits it.
 */
import { z } from "zod";
import { nameSchema } from "../config/ConfigDocument.ts";

const MAX_TASKS = 10_000;
const MAX_COMMAND_CHARACTERS = 4_096;
const MAX_KEY_CHARACTERS = 128;

/** Schema of a job's specification. */
export const jobSpecSchema = z
  .object({
    /** Key of the submission: the same key never makes a second job of the same tenant. */
    key: z.string().min(1).max(MAX_KEY_CHARACTERS),
    tenant: nameSchema,
    /** Kind of work; disturbance and true sizes are learned for each kind. */
    kind: nameSchema,
    /** Whether the job starts ahead of all work that is not urgent. */
    urgent: z.boolean().default(false),
    /** Number of tasks, each started on its own. */
    tasks: z.number().int().min(1).max(MAX_TASKS).default(1),
    /** Amounts that each task asks for. */
    resources: z
      .object({
        processorsMilli: z.number().int().min(1),
        memoryBytes: z.number().int().min(0),
        accelerators: z.number().int().min(0).default(0),
      })
      .strict()
      .readonly(),
    /** What the worker runs; opaque to the system. */
    command: z.string().max(MAX_COMMAND_CHARACTERS),
    /** Most failed attempts of a task before it is given up; evictions do not count. */
    maxFailures: z.number().int().min(1).max(100).default(5),
    /** Declared run time of a task, in milliseconds; a hint only. */
    runTimeMs: z.number().int().min(0).default(0),
  })
  .strict()
  .readonly();

export type JobSpec = z.infer<typeof jobSpecSchema>;
