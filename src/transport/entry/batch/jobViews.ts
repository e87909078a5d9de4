/**
 * Representations of jobs and tasks in the job API.
 */
import type { BatchScheduler } from "../../../coordination/batch/BatchScheduler.ts";
import type { PartitionOwner } from "../../../coordination/batch/PartitionOwner.ts";
import { getTaskId } from "../../../state/batch/BatchIds.ts";
import type { BatchJob, BatchTask, TaskPhase } from "../../../state/batch/BatchJob.ts";

const MAX_TASKS_SHOWN = 200;

/** State of a job as a whole. */
export type JobState = "waiting" | "running" | "cancelling" | "completed" | "failed" | "cancelled";

/** A job without its tasks. */
export interface JobSummary {
  readonly id: string;
  readonly tenant: string;
  readonly key: string;
  readonly kind: string;
  readonly urgent: boolean;
  readonly state: JobState;
  /** Number of tasks by phase. */
  readonly tasks: Readonly<Record<TaskPhase, number>>;
}

/**
 * Gets a job without its tasks.
 * @param job - The job.
 */
export function getSummary(job: BatchJob): JobSummary {
  const counts = job.tasks.reduce<Record<TaskPhase, number>>(
    (sum, task) => {
      sum[task.phase] += 1;
      return sum;
    },
    { waiting: 0, held: 0, completed: 0, failed: 0, cancelled: 0 },
  );
  const { id, spec } = job;
  const { tenant, key, kind, urgent } = spec;
  return { id, tenant, key, kind, urgent, state: getState(job, counts), tasks: counts };
}

/**
 * Gets a job with its first tasks.
 * @param job - The job.
 * @param owner - Owner of its partition.
 */
export function getDetails(job: BatchJob, owner: PartitionOwner): object {
  const shown = job.tasks.slice(0, MAX_TASKS_SHOWN).map((task, index) => ({
    task: getTaskId(job.id, index),
    ...getTaskView(task),
  }));
  return {
    ...getSummary(job),
    ...getOwnerView(owner),
    spec: job.spec,
    taskList: shown,
  };
}

/**
 * Explains where the unfinished tasks of a job run or why they wait.
 * @param job - The job.
 * @param owner - Owner of its partition.
 * @param scheduler - Scheduler of this entry.
 */
export function getExplanation(
  job: BatchJob,
  owner: PartitionOwner,
  scheduler: BatchScheduler,
): object {
  const open = job.tasks
    .map((task, index) => ({ task, id: getTaskId(job.id, index) }))
    .filter(({ task }) => task.phase === "waiting" || task.phase === "held")
    .slice(0, MAX_TASKS_SHOWN)
    .map(({ task, id }) => ({
      task: id,
      ...getTaskView(task),
      why: explain(id, owner, scheduler),
    }));
  return { ...getSummary(job), ...getOwnerView(owner), open };
}

function getOwnerView(owner: PartitionOwner): object {
  const { partition, epoch, entry } = owner;
  return { partition, epoch, owner: entry };
}

function explain(task: string, owner: PartitionOwner, scheduler: BatchScheduler): string {
  const active = owner.getActiveTask(task);
  if (active !== undefined) {
    const reason = active.reason === "" ? "" : `: ${active.reason}`;
    return `${active.state} on ${active.agent}${reason}`;
  }
  if (!owner.isAvailable) {
    return "the store does not accept records";
  }
  const waiting = scheduler.getWaitingReason(task);
  if (waiting !== undefined) {
    return waiting.unschedulable ? `unschedulable: ${waiting.reason}` : waiting.reason;
  }
  return owner.runner.getNotBefore(task) > 0
    ? "waiting for the end of the retry delay"
    : "considered in the next scheduling cycle";
}

function getTaskView(task: BatchTask): object {
  const { phase, attempt, failures, agent, checkpoint, reason } = task;
  return { phase, attempt, failures, agent, checkpoint, reason };
}

function getState(job: BatchJob, counts: Readonly<Record<TaskPhase, number>>): JobState {
  if (counts.waiting + counts.held > 0) {
    const open = counts.held > 0 ? "running" : "waiting";
    return job.cancelled ? "cancelling" : open;
  }
  if (counts.cancelled > 0) {
    return "cancelled";
  }
  return counts.failed > 0 ? "failed" : "completed";
}
