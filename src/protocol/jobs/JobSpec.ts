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
    /** Idempotency key: submitting it again for the same tenant never creates a second job. */
    key: z.string().min(1).max(MAX_KEY_CHARACTERS),
    tenant: nameSchema,
    /** Kind of work; disturbance and actual resource usage are estimated for each kind. */
    kind: nameSchema,
    /** Whether the job starts ahead of all jobs that are not urgent. */
    urgent: z.boolean().default(false),
    /** Number of tasks, each started independently. */
    tasks: z.number().int().min(1).max(MAX_TASKS).default(1),
    /** Resources that each task requests. */
    resources: z
      .object({
        processorsMilli: z.number().int().min(1),
        memoryBytes: z.number().int().min(0),
        accelerators: z.number().int().min(0).default(0),
      })
      .strict()
      .readonly(),
    /** Command that the worker runs; opaque to the system. */
    command: z.string().max(MAX_COMMAND_CHARACTERS),
    /** Number of failed attempts after which a task is abandoned; evictions do not count. */
    maxFailures: z.number().int().min(1).max(100).default(5),
    /** Declared run time of a task, in milliseconds; a hint only. */
    runTimeMs: z.number().int().min(0).default(0),
  })
  .strict()
  .readonly();

export type JobSpec = z.infer<typeof jobSpecSchema>;
