/**
 * Load of a pool by queue: what waits, what runs, and what it holds of the workers. With it, a log
 * tells waiting for room from waiting for decisions, and names the queue that holds the room.
 */
import type { JobState, StepState } from "../../state/pool/JobState.ts";
import type { PoolState } from "./PoolState.ts";
import { getCommittedResources, getIdleProcessorsMilli } from "./stepResources.ts";

/** Load of one queue. */
export interface QueueLoad {
  readonly queue: string;
  readonly priority: number;
  /** Number of jobs that have not ended. */
  readonly jobs: number;
  /** Number of tasks that are ready to run and have no run. */
  readonly waitingTasks: number;
  /** Processors that these would commit or use, in thousandths of a core. */
  readonly waitingMilli: number;
  /** Time since the first of the jobs of which nothing has run was accepted, in milliseconds. */
  readonly queuedForMs: number;
  /** Number of runs that are not known to have ended. */
  readonly runs: number;
  /** Processors that these commit, in thousandths of a core. */
  readonly committedMilli: number;
  /** Processors that these use without committing them, in thousandths of a core. */
  readonly idleMilli: number;
}

/** Load of a pool. */
export interface PoolLoad {
  /** Number of workers on which runs may be placed. */
  readonly workers: number;
  /** Processors of these, in thousandths of a core. */
  readonly capacityMilli: number;
  /** Queues with jobs that have not ended. */
  readonly queues: readonly QueueLoad[];
}

/**
 * Sums up the load of a pool.
 * @param state - State of the pool.
 * @param now - Monotonic time in milliseconds.
 * @param timeOfDayMs - Time of day in Unix milliseconds.
 */
export function getPoolLoad(state: PoolState, now: number, timeOfDayMs: number): PoolLoad {
  const workers = state.workerTable.getSchedulable(now);
  const open = state.jobs.filter((job) => !job.isEnded);
  const byQueue = Map.groupBy(open, ({ record }) => record.queue);
  return {
    workers: workers.length,
    capacityMilli: sum(workers, ({ report }) => report.capacity.processorsMilli),
    queues: [...byQueue].map(([queue, jobs]) => getQueueLoad(queue, jobs, timeOfDayMs)),
  };
}

function getQueueLoad(queue: string, jobs: readonly JobState[], timeOfDayMs: number): QueueLoad {
  const steps = jobs.flatMap((job) => job.getReadySteps());
  const queuedSince = jobs
    .filter(({ phase }) => phase === "queued")
    .map(({ record }) => record.acceptedAtMs);
  return {
    queue,
    priority: jobs[0]?.record.priority ?? 0,
    jobs: jobs.length,
    waitingTasks: sum(steps, countWaiting),
    waitingMilli: sum(
      steps,
      (step) => countWaiting(step) * step.definition.resources.processorsMilli,
    ),
    queuedForMs: Math.max(0, timeOfDayMs - Math.min(timeOfDayMs, ...queuedSince)),
    runs: sum(steps, countRuns),
    committedMilli: sum(
      steps,
      (step) => countRuns(step) * getCommittedResources(step.definition).processorsMilli,
    ),
    idleMilli: sum(steps, (step) => countRuns(step) * getIdleProcessorsMilli(step.definition)),
  };
}

function countWaiting({ tasks }: StepState): number {
  return tasks.filter(({ isWithoutRun }) => isWithoutRun).length;
}

function countRuns({ tasks }: StepState): number {
  return sum(tasks, ({ activeRuns }) => activeRuns.length);
}

function sum<T>(items: readonly T[], getValue: (item: T) => number): number {
  return items.reduce((total, item) => total + getValue(item), 0);
}
