/**
 * The order in which waiting tasks get room. Lower priority numbers go first. Within a priority,
 * jobs that can still meet their time objective go before those that cannot, those before the ones
 * that nobody waits for any more, and among equals the one that must start soonest.
 */
import type { JobState, StepState } from "../../state/pool/JobState.ts";

/** Multiple of the objective after which a job no longer counts as late but as missed. */
const MISSED_OBJECTIVE_MULTIPLE = 3;

/** Place of a step in the order. */
export interface SchedulingRank {
  readonly priority: number;
  /** 0 where the objective can be met, 1 where the job will be late, 2 where it is missed. */
  readonly lateness: number;
  /** Latest start that meets the objective, in Unix milliseconds. */
  readonly latestStartMs: number;
}

/**
 * Gives the place of a step in the order.
 * @param job - The job.
 * @param step - The step.
 * @param timeOfDayMs - Time of day in Unix milliseconds.
 */
export function getSchedulingRank(
  job: JobState,
  step: StepState,
  timeOfDayMs: number,
): SchedulingRank {
  const { record } = job;
  const beginsAtMs = getObjectiveStart(job, step);
  const objectiveMs = record.stretch * job.criticalPathMs + record.latencyTargetMs;
  const leftMs = job.getRemainingPathMs(step.step);
  const latestStartMs = beginsAtMs + objectiveMs - leftMs;
  const latestLateMs = beginsAtMs + MISSED_OBJECTIVE_MULTIPLE * objectiveMs - leftMs;
  const lateness = Number(timeOfDayMs > latestStartMs) + Number(timeOfDayMs > latestLateMs);
  return { priority: record.priority, lateness: getLateness(step, lateness), latestStartMs };
}

/**
 * Compares two places; negative where the first one goes first.
 * @param a - One place.
 * @param b - The other place.
 */
export function compareRanks(a: SchedulingRank, b: SchedulingRank): number {
  return a.priority - b.priority || a.lateness - b.lateness || a.latestStartMs - b.latestStartMs;
}

/** When the time objective of a step's occurrence begins, in Unix milliseconds. */
function getObjectiveStart(job: JobState, step: StepState): number {
  const { schedule, acceptedAtMs } = job.record;
  return schedule === undefined
    ? acceptedAtMs
    : schedule.firstRunAtMs + step.occurrence * schedule.intervalMs;
}

/** Long-running tasks have no end that could be late. */
function getLateness(step: StepState, lateness: number): number {
  return step.definition.longRunning ? 0 : lateness;
}
