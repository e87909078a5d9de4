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
import type { ActiveTaskRun } from "./ActiveRunTable.ts";

/** What an updater needs. */
export interface JobUpdaterDependencies {
  readonly state: PoolState;
  readonly commits: CommitQueue;
  readonly quarantine: WorkerQuarantine;
  readonly clock: Clock;
  readonly log: Log;
  readonly stopRun: (booked: ActiveTaskRun, reason: string) => void;
}

/** Jobs of one scheduler as runs end. */
export class JobUpdater {
  private readonly _deps: JobUpdaterDependencies;

  /**
   * Creates an updater.
   * @param deps - What it needs.
   */
  constructor(deps: JobUpdaterDependencies) {
    this._deps = deps;
  }

  /**
   * Applies the end of a run.
   * @param booked - The run.
   * @param ended - The end.
   * @param onRecorded - Called once it is recorded.
   */
  handleRunEnd(booked: ActiveTaskRun, ended: EndedRun, onRecorded: () => void): void {
    const { state, commits, log } = this._deps;
    const { task, active } = booked;
    const job = state.getJobOf(task);
    state.activeRuns.remove(task, active);
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
    this._recordOutcome(job, booked, outcome);
    this._applyCheckpoint(job, task, ended.checkpoint);
    if (outcome === "done") {
      this._complete(job, task);
    } else if (outcome === "failed") {
      this._countFailure(job, task, active.agent);
    }
    this._updatePhase(job);
    commits.enqueue(job.id, onRecorded);
  }

  /**
   * Takes a run off that does not exist; its task waits again.
   * @param booked - The run.
   * @param reason - Why it is certain.
   */
  handleLostRun({ task, active }: ActiveTaskRun, reason: string): void {
    const { state, commits, log } = this._deps;
    const { run, agent, worker } = active;
    log.info("Run is void.", { task: task.id, run, agent, worker, reason });
    state.activeRuns.remove(task, active);
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
    this._deps.log.info("Job is cancelled.", { job: job.id, phase: job.phase });
    this._stopRuns([...job.tasks], "the job was cancelled");
    this._deps.commits.enqueue(job.id);
  }

  /**
   * Notes that a worker makes nothing of a run.
   * @param booked - The run.
   */
  handleStalledRun(booked: ActiveTaskRun): void {
    const job = this._deps.state.getJobOf(booked.task);
    booked.task.avoidAgent(booked.active.agent);
    if (job !== undefined) {
      this._recordOutcome(job, booked, "failed");
    }
  }

  private _complete(job: JobState, task: TaskState): void {
    const step = getStepOf(job, task);
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
    task.avoidAgent(agent);
    if (task.definition.longRunning) {
      return;
    }
    task.countFailure();
    const members = task.definition.gang ? (getStepOf(job, task)?.tasks ?? [task]) : [task];
    const failures = members.reduce((sum, member) => sum + member.failures, 0);
    if (failures >= job.record.maxAttempts && !job.isEnded && !task.isDone) {
      job.fail();
      this._deps.log.info("Job has failed.", { job: job.id, task: task.id, failures });
      this._stopRuns([...job.tasks], "the job has failed");
    }
  }

  /** A checkpoint of a member is valid for its whole gang. */
  private _applyCheckpoint(job: JobState, task: TaskState, checkpoint: string): void {
    const members = task.definition.gang ? (getStepOf(job, task)?.tasks ?? [task]) : [task];
    members.forEach((member) => {
      member.updateCheckpoint(checkpoint);
    });
  }

  private _updatePhase(job: JobState): void {
    const before = job.phase;
    job.updatePhase();
    if (job.phase === "completed" && before !== "completed") {
      this._deps.log.info("Job is completed.", { job: job.id, queue: job.record.queue });
    }
  }

  private _stopRuns(tasks: readonly TaskState[], reason: string): void {
    tasks.forEach((task) => {
      task.activeRuns.forEach((active) => {
        this._deps.stopRun({ task, active }, reason);
      });
    });
  }

  private _recordOutcome(job: JobState, { active }: ActiveTaskRun, outcome: RunOutcome): void {
    const result = outcome === "done" ? "completed" : outcome === "failed" ? "failed" : undefined;
    if (result !== undefined) {
      const { agent } = active;
      const kind = job.record.queue;
      this._deps.quarantine.record({ agent, kind, outcome: result, now: this._deps.clock.now() });
    }
  }
}

function getStepOf(job: JobState, task: TaskState): StepState | undefined {
  return job.getStep(task.address.occurrence, task.address.step);
}
