/**
 * Order in which waiting tasks get capacity. Lower priority numbers go first. Within a priority,
 * jobs that can still meet their time objective go before late ones, and late ones before those
 * that have missed it by so much that nobody waits for them any more. Among equals, the step that
 * must start soonest goes first.
 */
import type { JobState, StepState } from "../../state/pool/JobState.ts";

/** Multiple of the time objective after which a job counts as missed and no longer as late. */
const MISSED_OBJECTIVE_MULTIPLE = 3;

/** Rank of a step in the scheduling order. */
export interface SchedulingRank {
  readonly priority: number;
  /** 0 if the objective can be met, 1 if the job will be late, 2 if the objective is missed. */
  readonly lateness: number;
  /** Latest start that meets the objective, in Unix milliseconds. */
  readonly latestStartMs: number;
}

/**
 * Returns the rank of a step in the scheduling order.
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
  const startsAtMs = getObjectiveStart(job, step);
  const objectiveMs = record.stretch * job.criticalPathMs + record.latencyTargetMs;
  const remainingMs = job.getRemainingPathMs(step.step);
  const latestStartMs = startsAtMs + objectiveMs - remainingMs;
  const latestLateMs = startsAtMs + MISSED_OBJECTIVE_MULTIPLE * objectiveMs - remainingMs;
  const lateness = Number(timeOfDayMs > latestStartMs) + Number(timeOfDayMs > latestLateMs);
  return { priority: record.priority, lateness: getLateness(step, lateness), latestStartMs };
}

/**
 * Compares two ranks; negative if the first one goes first.
 * @param a - One rank.
 * @param b - The other rank.
 */
export function compareRanks(a: SchedulingRank, b: SchedulingRank): number {
  return a.priority - b.priority || a.lateness - b.lateness || a.latestStartMs - b.latestStartMs;
}

/** Returns when the time objective of a step's occurrence starts, in Unix milliseconds. */
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
