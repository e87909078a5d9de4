/**
 * What the scheduler of a pool knows: jobs, workers, and the runs that are booked on them.
 */
import { parseTaskId } from "../../protocol/pool/TaskId.ts";
import type { JobState } from "../../state/pool/JobState.ts";
import type { TaskState } from "../../state/pool/TaskState.ts";
import type { PoolTimings } from "./PoolTimings.ts";
import { ActiveRunTable } from "./ActiveRunTable.ts";
import { WorkerTable } from "./WorkerTable.ts";

/** State of one pool's scheduling. */
export class PoolState {
  readonly workerTable: WorkerTable;
  readonly activeRuns: ActiveRunTable;
  private readonly _jobs = new Map<string, JobState>();

  /**
   * Creates an empty state.
   * @param pool - Name of the pool.
   * @param timings - Times of the pool.
   */
  constructor(pool: string, timings: PoolTimings) {
    this.workerTable = new WorkerTable(pool, timings);
    this.activeRuns = new ActiveRunTable(this.workerTable);
  }

  get jobs(): readonly JobState[] {
    return [...this._jobs.values()];
  }

  /**
   * Gives a job.
   * @param id - Its id.
   */
  getJob(id: string): JobState | undefined {
    return this._jobs.get(id);
  }

  /**
   * Gives the job of a task.
   * @param task - The task.
   */
  getJobOf(task: TaskState): JobState | undefined {
    return this._jobs.get(task.address.job);
  }

  /**
   * Gives a task by its id; undefined where it is unknown.
   * @param id - Id of the task.
   */
  getTask(id: string): TaskState | undefined {
    const address = parseTaskId(id);
    return address && this._jobs.get(address.job)?.getTask(address);
  }

  /**
   * Adds a job and books its runs.
   * @param job - The job.
   */
  addJob(job: JobState): void {
    this._jobs.set(job.id, job);
    [...job.tasks].forEach((task) => {
      task.activeRuns.forEach((active) => {
        this.activeRuns.add(task, active);
      });
    });
  }

  /**
   * Forgets a job that has ended and of which nothing runs.
   * @param id - Its id.
   */
  removeJob(id: string): void {
    this._jobs.delete(id);
  }
}
