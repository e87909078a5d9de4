/**
 * Faults of the store process, set over its control address.
 */
import { z } from "zod";

const Count = z.number().int().min(0);

/** Change of the faults; omitted fields keep their value. */
export const StoreFaultsChange = z
  .object({
    /** "refuse" refuses connections, "reset" closes them, "hang" sends no response. */
    outage: z.enum(["none", "refuse", "reset", "hang"]),
    /** Delay before a call takes effect, in milliseconds. */
    delayMs: Count,
    /** Delay between the effect and the response, in milliseconds. */
    answerDelayMs: Count,
    /** Number of further writes that take effect and get no response. */
    lostAnswers: Count,
    /** Share of the writes that take effect and get no response. */
    lostAnswerShare: z.number().min(0).max(1),
    /** Number of further writes that have no effect and get no response. */
    lostRequests: Count,
    /** What the caller of a lost request or response sees: a closed connection or no response. */
    lostAs: z.enum(["cut", "hang"]),
    /** Limit of reads per second; 0 for no limit. */
    readsPerSecond: Count,
    /** Limit of writes per second; 0 for no limit. */
    writesPerSecond: Count,
    /** Seed of the choice of the share of writes. */
    seed: z.number().int(),
  })
  .partial()
  .strict();

/** Faults in effect. */
export type StoreFaults = Required<z.infer<typeof StoreFaultsChange>>;

/** Default faults: none. */
export const NO_STORE_FAULTS: StoreFaults = {
  outage: "none",
  delayMs: 0,
  answerDelayMs: 0,
  lostAnswers: 0,
  lostAnswerShare: 0,
  lostRequests: 0,
  lostAs: "cut",
  readsPerSecond: 0,
  writesPerSecond: 0,
  seed: 1,
};
