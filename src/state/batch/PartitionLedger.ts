/**
 * Ledger of one partition: the state of its jobs and tasks, built by applying the records of its
 * log. The same records in the same order always yield the same ledger.
 */
import type { JobSpec } from "../../protocol/jobs/JobSpec.ts";
import { getTaskId, parseBatchTaskId } from "./BatchIds.ts";
import type { BatchRecord, EndRecord, EpochRecord, StartRecord } from "./BatchRecord.ts";
import { isFinal, NEW_TASK, type BatchJob, type BatchTask, type TaskPhase } from "./BatchJob.ts";

/** Maximum number of owner epochs that are kept. */
const MAX_EPOCHS = 100;
/** Maximum number of tasks in one snapshot of a job; a larger job is split into several. */
const MAX_TASKS_PER_JOB_SNAPSHOT = 2_000;

/** Epoch of a past or present owner of the partition. */
export interface OwnerEpoch {
  readonly epoch: number;
  /** Sequence number in the log at which the epoch begins. */
  readonly sequence: number;
  readonly owner: string;
  readonly leaseMs: number;
  readonly horizonMs: number;
}

/** A job as written to a snapshot. */
export interface JobSnapshot {
  readonly id: string;
  readonly spec: JobSpec;
  readonly cancelled: boolean;
  /** Tasks that have ever been started or cancelled, each with its index in the job. */
  readonly tasks: readonly (readonly [number, BatchTask])[];
}

interface MutableJob {
  readonly id: string;
  readonly spec: JobSpec;
  cancelled: boolean;
  readonly tasks: BatchTask[];
  readonly waiting: Set<number>;
  unfinished: number;
}

/** State of the jobs and tasks of one partition. */
export class PartitionLedger {
  private readonly _jobs = new Map<string, MutableJob>();
  private readonly _held = new Set<string>();
  private _epochs: readonly OwnerEpoch[] = [];

  /** Epochs of the owners so far, oldest first. */
  get epochs(): readonly OwnerEpoch[] {
    return this._epochs;
  }

  /** Epoch of the last owner; 0 if there was none. */
  get epoch(): number {
    return this._epochs.at(-1)?.epoch ?? 0;
  }

  /** Ids of the tasks that may run on a VM. */
  get held(): ReadonlySet<string> {
    return this._held;
  }

  /** Number of jobs. */
  get jobCount(): number {
    return this._jobs.size;
  }

  /**
   * Applies a record.
   * @param record - The record.
   * @param epoch - Epoch of its writer.
   * @param sequence - Its sequence number in the log.
   */
  apply(record: BatchRecord, epoch: number, sequence: number): void {
    switch (record.type) {
      case "epoch":
        this._addEpoch(record, epoch, sequence);
        return;
      case "submit":
        this._addJob(record.job, record.spec);
        return;
      case "start":
        this._start(record, epoch);
        return;
      case "end":
        this._end(record);
        return;
      case "cancel":
        record.jobs.forEach((job) => {
          this._cancel(job);
        });
        return;
      case "drop":
        record.jobs.forEach((job) => this._jobs.delete(job));
    }
  }

  /**
   * Gets a job.
   * @param id - Id of the job.
   */
  getJob(id: string): BatchJob | undefined {
    return this._jobs.get(id);
  }

  /** Gets all jobs in order of submission. */
  getJobs(): readonly BatchJob[] {
    return [...this._jobs.values()];
  }

  /**
   * Gets a task.
   * @param task - Id of the task.
   */
  getTask(task: string): BatchTask | undefined {
    const parsed = parseBatchTaskId(task);
    return parsed === undefined ? undefined : this._jobs.get(parsed.job)?.tasks[parsed.index];
  }

  /**
   * Gets the job of a task.
   * @param task - Id of the task.
   */
  getJobOf(task: string): BatchJob | undefined {
    const parsed = parseBatchTaskId(task);
    return parsed === undefined ? undefined : this._jobs.get(parsed.job);
  }

  /**
   * Gets the ids of waiting tasks of a job.
   * @param id - Id of the job.
   * @param limit - Maximum number of ids to return.
   */
  getWaiting(id: string, limit: number): readonly string[] {
    const found: string[] = [];
    for (const index of this._jobs.get(id)?.waiting ?? []) {
      if (found.length >= limit) {
        break;
      }
      found.push(getTaskId(id, index));
    }
    return found;
  }

  /**
   * Returns whether all tasks of a job are final.
   * @param id - Id of the job.
   */
  isFinished(id: string): boolean {
    return this._jobs.get(id)?.unfinished === 0;
  }

  /** Gets the jobs as they are written to a snapshot. */
  getJobSnapshots(): readonly JobSnapshot[] {
    return [...this._jobs.values()].flatMap((job) => PartitionLedger._toJobSnapshots(job));
  }

  /**
   * Restores jobs from a snapshot.
   * @param epochs - Epochs of the owners so far.
   * @param jobSnapshots - The jobs.
   */
  restore(epochs: readonly OwnerEpoch[], jobSnapshots: readonly JobSnapshot[]): void {
    this._epochs = epochs;
    jobSnapshots.forEach((jobSnapshot) => {
      const job = this._addJob(jobSnapshot.id, jobSnapshot.spec);
      job.cancelled = jobSnapshot.cancelled;
      jobSnapshot.tasks.forEach(([index, task]) => {
        this._setTask(job, index, task);
      });
    });
  }

  private _addEpoch(record: EpochRecord, epoch: number, sequence: number): void {
    const { owner, leaseMs, horizonMs } = record;
    const ownerEpoch = { epoch, sequence, owner, leaseMs, horizonMs };
    this._epochs = [...this._epochs, ownerEpoch].slice(-MAX_EPOCHS);
  }

  private _addJob(id: string, spec: JobSpec): MutableJob {
    const known = this._jobs.get(id);
    if (known !== undefined) {
      return known;
    }
    const job = {
      id,
      spec,
      cancelled: false,
      tasks: Array.from({ length: spec.tasks }, () => NEW_TASK),
      waiting: new Set(Array.from({ length: spec.tasks }, (_, index) => index)),
      unfinished: spec.tasks,
    };
    this._jobs.set(id, job);
    return job;
  }

  private _start(record: StartRecord, epoch: number): void {
    const found = this._find(record.task);
    if (found?.task.phase !== "waiting" || record.attempt !== found.task.attempt + 1) {
      return;
    }
    const { attempt, agent } = record;
    this._setTask(found.job, found.index, { ...found.task, phase: "held", attempt, agent, epoch });
  }

  private _end(record: EndRecord): void {
    const found = this._find(record.task);
    if (found?.task.phase !== "held" || record.attempt !== found.task.attempt) {
      return;
    }
    const failures = found.task.failures + Number(record.outcome === "failed");
    const phase = PartitionLedger._phaseAfter(found.job, record, failures);
    const { checkpoint, reason } = record;
    this._setTask(found.job, found.index, { ...found.task, phase, failures, checkpoint, reason });
  }

  private _cancel(id: string): void {
    const job = this._jobs.get(id);
    if (job === undefined || job.cancelled) {
      return;
    }
    job.cancelled = true;
    [...job.waiting].forEach((index) => {
      const task = job.tasks[index] ?? NEW_TASK;
      this._setTask(job, index, { ...task, phase: "cancelled" });
    });
  }

  private _find(
    task: string,
  ): { readonly job: MutableJob; readonly index: number; readonly task: BatchTask } | undefined {
    const parsed = parseBatchTaskId(task);
    const job = parsed === undefined ? undefined : this._jobs.get(parsed.job);
    const batchTask = parsed === undefined ? undefined : job?.tasks[parsed.index];
    if (parsed === undefined || job === undefined || batchTask === undefined) {
      return undefined;
    }
    return { job, index: parsed.index, task: batchTask };
  }

  private _setTask(job: MutableJob, index: number, task: BatchTask): void {
    const before = job.tasks[index] ?? NEW_TASK;
    job.tasks[index] = task;
    job.unfinished += Number(isFinal(before.phase)) - Number(isFinal(task.phase));
    const id = getTaskId(job.id, index);
    if (task.phase === "waiting") {
      job.waiting.add(index);
    } else {
      job.waiting.delete(index);
    }
    if (task.phase === "held") {
      this._held.add(id);
    } else {
      this._held.delete(id);
    }
  }

  private static _toJobSnapshots(job: MutableJob): readonly JobSnapshot[] {
    const { id, spec, cancelled } = job;
    const tasks = [...job.tasks.entries()].filter(([, task]) => task !== NEW_TASK);
    const snapshotCount = Math.max(1, Math.ceil(tasks.length / MAX_TASKS_PER_JOB_SNAPSHOT));
    return Array.from({ length: snapshotCount }, (_, index) => {
      const first = index * MAX_TASKS_PER_JOB_SNAPSHOT;
      return { id, spec, cancelled, tasks: tasks.slice(first, first + MAX_TASKS_PER_JOB_SNAPSHOT) };
    });
  }

  private static _phaseAfter(job: MutableJob, record: EndRecord, failures: number): TaskPhase {
    if (record.outcome === "completed") {
      return "completed";
    }
    if (job.cancelled) {
      return "cancelled";
    }
    return record.outcome === "failed" && failures >= job.spec.maxFailures ? "failed" : "waiting";
  }
}
