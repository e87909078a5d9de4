/**
 * Faults of the backend stand-in, switched over its control address.
 */
import { z } from "zod";

/** Faults that can be switched; what is left out stays as it is. */
export const BackendFaultsChange = z
  .object({
    /** Factor of all service times. */
    slowFactor: z.number().min(0),
    /** Every request fails at once with status 500. */
    failFast: z.boolean(),
    /** Answers end before their declared length. */
    truncate: z.boolean(),
    /** Requests are read and never answered. */
    hang: z.boolean(),
    /** Requests are served and their connection is cut in place of the answer. */
    cutAnswers: z.boolean(),
    /** The server does not announce itself. */
    silent: z.boolean(),
    /** Slow-down by each core of a running task, by kind of job. */
    disturbance: z.record(z.string(), z.number()),
  })
  .partial()
  .strict();

/** Faults in force. */
export type BackendFaults = Required<z.infer<typeof BackendFaultsChange>>;

/** No fault at all. */
export const NO_BACKEND_FAULTS: BackendFaults = {
  slowFactor: 1,
  failFast: false,
  truncate: false,
  hang: false,
  cutAnswers: false,
  silent: false,
  disturbance: {},
};
