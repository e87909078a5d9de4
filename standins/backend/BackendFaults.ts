/**
 * Faults of the backend stand-in, set over its control address.
 */
import { z } from "zod";

/** Change of the faults; omitted fields keep their value. */
export const BackendFaultsChange = z
  .object({
    /** Factor by which all service times are multiplied. */
    slowFactor: z.number().min(0),
    /** Every request fails immediately with status 500. */
    failFast: z.boolean(),
    /** Responses end before their declared length. */
    truncate: z.boolean(),
    /** Requests are read and get no response. */
    hang: z.boolean(),
    /** Requests are served, and the connection is closed instead of sending the response. */
    cutAnswers: z.boolean(),
    /** The server does not announce itself. */
    silent: z.boolean(),
    /** Increase of the service time factor for each core of a running task, by kind of job. */
    disturbance: z.record(z.string(), z.number()),
  })
  .partial()
  .strict();

/** Faults in effect. */
export type BackendFaults = Required<z.infer<typeof BackendFaultsChange>>;

/** Default faults: none. */
export const NO_BACKEND_FAULTS: BackendFaults = {
  slowFactor: 1,
  failFast: false,
  truncate: false,
  hang: false,
  cutAnswers: false,
  silent: false,
  disturbance: {},
};
