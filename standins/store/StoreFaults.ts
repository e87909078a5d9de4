/**
 * Faults of the store process, switched over its control address.
 */
import { z } from "zod";

const Count = z.number().int().min(0);

/** Faults that can be switched; what is left out stays as it is. */
export const StoreFaultsChange = z
  .object({
    /** "refuse" refuses connections, "reset" resets them, "hang" never answers. */
    outage: z.enum(["none", "refuse", "reset", "hang"]),
    /** Delay before a call takes effect, in milliseconds. */
    delayMs: Count,
    /** Delay between the effect and the answer, in milliseconds. */
    answerDelayMs: Count,
    /** Number of next writes that take effect and get no answer. */
    lostAnswers: Count,
    /** Share of writes that take effect and get no answer. */
    lostAnswerShare: z.number().min(0).max(1),
    /** Number of next writes that have no effect and get no answer. */
    lostRequests: Count,
    /** What a caller whose answer or request is lost sees. */
    lostAs: z.enum(["cut", "hang"]),
    /** Highest number of reads in a second; 0 for no limit. */
    readsPerSecond: Count,
    /** Highest number of writes in a second; 0 for no limit. */
    writesPerSecond: Count,
    /** Seed of the share. */
    seed: z.number().int(),
  })
  .partial()
  .strict();

/** Faults in force. */
export type StoreFaults = Required<z.infer<typeof StoreFaultsChange>>;

/** No fault at all. */
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
