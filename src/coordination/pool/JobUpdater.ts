/**
 * Applies to jobs what happens to their runs, and has the jobs recorded: a task is done once, a job
 * fails when a task has failed as often as its queue allows, and a job that has ended keeps nothing
 * running.
 */
import type { Clock } from "../../protocol/platform/Clock.ts";
import type { Log } from "../../protocol/platform/Log.ts";
import type { EndedRun, RunOutcome } from "../../protocol/platform/PoolWorker.ts";
import type { JobState, StepState } from "../../state/pool/JobState.ts";
import type { TaskState } from "../../state/pool/TaskState.ts";
import type { WorkerQuarantine } from "../placement/WorkerQuarantine.ts";
import type { CommitQueue } from "./CommitQueue.ts";
import type { PoolState } from "./PoolState.ts";
import type { BookedRun } from "./RunBook.ts";

/** What an updater needs. */
export interface JobUpdaterParts {
  readonly state: PoolState;
  readonly commits: CommitQueue;
  readonly quarantine: WorkerQuarantine;
  readonly clock: Clock;
  readonly log: Log;
  readonly stop: (booked: BookedRun, reason: string) => void;
}

/** Jobs of one scheduler as runs end. */
export class JobUpdater {
  private readonly _parts: JobUpdaterParts;

  /**
   * Creates an updater.
   * @param parts - What it needs.
   */
  constructor(parts: JobUpdaterParts) {
    this._parts = parts;
  }

  /**
   * Applies the end of a run.
   * @param booked - The run.
   * @param ended - The end.
   * @param onRecorded - Called once it is recorded.
   */
  handleEnd(booked: BookedRun, ended: EndedRun, onRecorded: () => void): void {
    const { state, commits, log } = this._parts;
    const { task, active } = booked;
    const job = state.getJobOf(task);
    state.book.remove(task, active);
    if (job === undefined) {
      onRecorded();
      return;
    }
    const { outcome, number } = ended;
    log.info("Run ended.", {
      task: task.id,
      run: active.run,
      agent: active.agent,
      outcome,
      number,
    });
    this._noteOutcome(job, booked, outcome);
    this._noteCheckpoint(job, task, ended.checkpoint);
    if (outcome === "done") {
      this._complete(job, task);
    } else if (outcome === "failed") {
      this._countFailure(job, task, active.agent);
    }
    this._refresh(job);
    commits.enqueue(job.id, onRecorded);
  }

  /**
   * Takes a run off that does not exist; its task waits again.
   * @param booked - The run.
   * @param reason - Why it is certain.
   */
  handleVoid({ task, active }: BookedRun, reason: string): void {
    const { state, commits, log } = this._parts;
    const { run, agent, worker } = active;
    log.info("Run is void.", { task: task.id, run, agent, worker, reason });
    state.book.remove(task, active);
    commits.enqueue(task.address.job);
  }

  /**
   * Ends a job that was cancelled.
   * @param job - The job.
   */
  cancel(job: JobState): void {
    if (job.isCancelled) {
      return;
    }
    job.cancel();
    this._parts.log.info("Job is cancelled.", { job: job.id, phase: job.phase });
    this._stopRuns([...job.tasks], "the job was cancelled");
    this._parts.commits.enqueue(job.id);
  }

  /**
   * Notes that a worker makes nothing of a run.
   * @param booked - The run.
   */
  noteStalled(booked: BookedRun): void {
    const job = this._parts.state.getJobOf(booked.task);
    booked.task.noteBadRun(booked.active.agent);
    if (job !== undefined) {
      this._noteOutcome(job, booked, "failed");
    }
  }

  private _complete(job: JobState, task: TaskState): void {
    const step = getOwnStep(job, task);
    // Members of a gang end together; one end stands for all.
    const done = task.definition.gang && step !== undefined ? step.tasks : [task];
    done.forEach((member) => {
      member.markDone();
    });
    if (!task.definition.gang) {
      this._stopRuns([task], "another copy is done");
    }
  }

  private _countFailure(job: JobState, task: TaskState, agent: string): void {
    task.noteBadRun(agent);
    if (task.definition.longRunning) {
      return;
    }
    task.countFailure();
    const members = task.definition.gang ? (getOwnStep(job, task)?.tasks ?? [task]) : [task];
    const failures = members.reduce((sum, member) => sum + member.failures, 0);
    if (failures >= job.record.maxAttempts && !job.isEnded && !task.isDone) {
      job.fail();
      this._parts.log.info("Job has failed.", { job: job.id, task: task.id, failures });
      this._stopRuns([...job.tasks], "the job has failed");
    }
  }

  /** A checkpoint of a member is valid for its whole gang. */
  private _noteCheckpoint(job: JobState, task: TaskState, checkpoint: string): void {
    const members = task.definition.gang ? (getOwnStep(job, task)?.tasks ?? [task]) : [task];
    members.forEach((member) => {
      member.noteCheckpoint(checkpoint);
    });
  }

  private _refresh(job: JobState): void {
    const before = job.phase;
    job.refreshPhase();
    if (job.phase === "completed" && before !== "completed") {
      this._parts.log.info("Job is completed.", { job: job.id, queue: job.record.queue });
    }
  }

  private _stopRuns(tasks: readonly TaskState[], reason: string): void {
    tasks.forEach((task) => {
      task.active.forEach((active) => {
        this._parts.stop({ task, active }, reason);
      });
    });
  }

  private _noteOutcome(job: JobState, { active }: BookedRun, outcome: RunOutcome): void {
    const result = outcome === "done" ? "completed" : outcome === "failed" ? "failed" : undefined;
    if (result !== undefined) {
      const { agent } = active;
      const kind = job.record.queue;
      this._parts.quarantine.note({ agent, kind, outcome: result, now: this._parts.clock.now() });
    }
  }
}

function getOwnStep(job: JobState, task: TaskState): StepState | undefined {
  return job.getStep(task.address.occurrence, task.address.step);
}
