/**
 * State of a pool in its scheduler: jobs, workers, and the active runs on them.
 */
import { parseTaskId } from "../../protocol/pool/TaskId.ts";
import type { JobState } from "../../state/pool/JobState.ts";
import type { TaskState } from "../../state/pool/TaskState.ts";
import type { PoolTimings } from "./PoolTimings.ts";
import { ActiveRunTable } from "./ActiveRunTable.ts";
import { WorkerTable } from "./WorkerTable.ts";

/** State of one pool. */
export class PoolState {
  readonly workerTable: WorkerTable;
  readonly activeRuns: ActiveRunTable;
  private readonly _jobs = new Map<string, JobState>();

  /**
   * Creates an empty state.
   * @param pool - Name of the pool.
   * @param timings - Timings of the pool.
   */
  constructor(pool: string, timings: PoolTimings) {
    this.workerTable = new WorkerTable(pool, timings);
    this.activeRuns = new ActiveRunTable(this.workerTable);
  }

  get jobs(): readonly JobState[] {
    return [...this._jobs.values()];
  }

  /**
   * Gets a job.
   * @param id - Its id.
   */
  getJob(id: string): JobState | undefined {
    return this._jobs.get(id);
  }

  /**
   * Gets a job that is certainly there.
   * @param id - Its id.
   */
  getJobOrThrow(id: string): JobState {
    const job = this.getJob(id);
    if (job === undefined) {
      throw new Error(`job ${id} is not part of the pool`);
    }
    return job;
  }

  /**
   * Gets the job of a task.
   * @param task - The task.
   */
  getJobOf(task: TaskState): JobState | undefined {
    return this._jobs.get(task.address.job);
  }

  /**
   * Gets a task by its id; undefined if it is unknown.
   * @param id - Id of the task.
   */
  getTask(id: string): TaskState | undefined {
    const address = parseTaskId(id);
    return address && this._jobs.get(address.job)?.getTask(address);
  }

  /**
   * Adds a job and its active runs.
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
   * Removes a job that has ended and has no active runs.
   * @param id - Its id.
   */
  removeJob(id: string): void {
    this._jobs.delete(id);
  }
}
