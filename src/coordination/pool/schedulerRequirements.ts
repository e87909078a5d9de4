/**
 * What the scheduler of a pool needs for its work besides its lease, and how long it may lack each
 * before another entry should schedule the pool.
 */
import type { SchedulerRequirement } from "./SchedulerWatch.ts";

/**
 * Time for which accepted jobs and cancellations may be missing while the store confirms the
 * election, in milliseconds: long enough for three calls that time out, or a listing after the store
 * has compacted its changes.
 */
const MAX_INTAKE_BEHIND_MS = 3_000;
/**
 * Time for which all writes of progress may fail while the store confirms the election, in
 * milliseconds. It is longer than what a store answers for a moment when it is overloaded or
 * restarts, and shorter than the leases of workers, so that their runs go on under another entry.
 */
const MAX_FAILING_WRITES_MS = 4_000;
/**
 * Time for which no agent at all may respond while the store confirms the election, in milliseconds.
 * Two successive calls to each agent, of 2 s at most, have timed out by then. If some agents respond,
 * another entry would hardly fare better, and each takeover begins the waits for the leases at the
 * others anew.
 */
const MAX_SILENT_AGENTS_MS = 5_000;

/** Since when something has been lacking, in milliseconds; undefined if it is not. */
type GetLackingSince = SchedulerRequirement["getLackingSince"];

/** Sources of what a scheduler may lack. */
export interface SchedulerRequirementSources {
  /** Since when accepted jobs and cancellations may be missing. */
  readonly getIntakeBehindSince: GetLackingSince;
  /** Since when all writes of progress have failed. */
  readonly getWritesFailingSince: GetLackingSince;
  /** Since when no agent has responded. */
  readonly getAgentsSilentSince: GetLackingSince;
}

/**
 * Returns the requirements of a scheduler.
 * @param sources - Sources of what it may lack.
 */
export function getSchedulerRequirements(
  sources: SchedulerRequirementSources,
): readonly SchedulerRequirement[] {
  return [
    {
      reason: "accepted jobs and cancellations do not reach this entry",
      maxLackingMs: MAX_INTAKE_BEHIND_MS,
      getLackingSince: sources.getIntakeBehindSince,
    },
    {
      reason: "the store refuses or loses all writes of progress, though it responds to reads",
      maxLackingMs: MAX_FAILING_WRITES_MS,
      getLackingSince: sources.getWritesFailingSince,
    },
    {
      reason: "none of the pool's agents responds to this entry",
      maxLackingMs: MAX_SILENT_AGENTS_MS,
      getLackingSince: sources.getAgentsSilentSince,
    },
  ];
}
