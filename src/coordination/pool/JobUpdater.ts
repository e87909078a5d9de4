/**
 * Updates jobs when their runs end or are lost, and enqueues their progress for writing. A task is
 * done once, except that a long-running one never is; a job fails when a task has failed as often as
 * its queue allows, and the runs of a job that has ended are stopped.
 */
import type { Clock } from "../../protocol/platform/Clock.ts";
import type { Log } from "../../protocol/platform/Log.ts";
import type { EndedRun, RunOutcome } from "../../protocol/platform/PoolWorker.ts";
import type { JobState, StepState } from "../../state/pool/JobState.ts";
import type { TaskState } from "../../state/pool/TaskState.ts";
import type { QuarantineChange, WorkerQuarantine } from "../placement/WorkerQuarantine.ts";
import type { CommitQueue } from "./CommitQueue.ts";
import type { PoolState } from "./PoolState.ts";
import { getRunKey, type ActiveTaskRun } from "./ActiveRunTable.ts";

/** What the outcome of a run says about its worker; nothing if it is absent. */
const RESULT_BY_OUTCOME: Partial<Record<RunOutcome, "completed" | "failed">> = {
  done: "completed",
  failed: "failed",
};

/** Dependencies of JobUpdater. */
export interface JobUpdaterDependencies {
  readonly state: PoolState;
  readonly commits: CommitQueue;
  readonly quarantine: WorkerQuarantine;
  readonly clock: Clock;
  readonly log: Log;
  readonly stopRun: (taskRun: ActiveTaskRun, reason: string) => void;
}

/** Updates the jobs of one scheduler. */
export class JobUpdater {
  private readonly _deps: JobUpdaterDependencies;

  /**
   * Creates an updater.
   * @param deps - Dependencies.
   */
  constructor(deps: JobUpdaterDependencies) {
    this._deps = deps;
  }

  /**
   * Handles the end of a run.
   * @param taskRun - The run.
   * @param ended - The end as the worker listed it.
   * @param onRecorded - Called once the end is recorded.
   */
  handleRunEnd(taskRun: ActiveTaskRun, ended: EndedRun, onRecorded: () => void): void {
    const { state, commits, log } = this._deps;
    const { task, active } = taskRun;
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
    this._recordOutcome(job, taskRun, outcome);
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
   * Removes a lost run; its task waits again.
   * @param taskRun - The run.
   * @param reason - Why the run is certain to be lost.
   */
  handleLostRun({ task, active }: ActiveTaskRun, reason: string): void {
    const { state, commits, log } = this._deps;
    const { run, agent, worker } = active;
    log.info("Run is lost; its task waits again.", { task: task.id, run, agent, worker, reason });
    this._deps.quarantine.releaseProbe(agent, getRunKey({ task, active }));
    state.activeRuns.remove(task, active);
    commits.enqueue(task.address.job);
  }

  /**
   * Cancels a job and stops its runs.
   * @param job - The job.
   */
  cancel(job: JobState): void {
    if (job.isCancelled) {
      return;
    }
    job.cancel();
    this._deps.log.info("Job was cancelled; its runs are being stopped.", {
      job: job.id,
      phase: job.phase,
    });
    this._stopRuns([...job.tasks], "the job was cancelled");
    this._deps.commits.enqueue(job.id);
  }

  /**
   * Counts a run that makes no progress as a failure of its worker; its task avoids the worker's
   * agent from then on.
   * @param taskRun - The run.
   */
  handleStalledRun(taskRun: ActiveTaskRun): void {
    const job = this._deps.state.getJobOf(taskRun.task);
    taskRun.task.avoidAgent(taskRun.active.agent);
    if (job !== undefined) {
      this._recordOutcome(job, taskRun, "failed");
    }
  }

  /**
   * Handles a long-running run that has been at work for some time: it has no end that could show
   * that its worker is sound.
   * @param taskRun - The run.
   */
  handleRunAtWork(taskRun: ActiveTaskRun): void {
    const { state, quarantine } = this._deps;
    const job = state.getJobOf(taskRun.task);
    if (job !== undefined) {
      const { agent } = taskRun.active;
      const attempt = { agent, kind: job.record.queue, probe: getRunKey(taskRun) };
      this._logQuarantine(taskRun, quarantine.recordWork(attempt));
    }
  }

  private _complete(job: JobState, task: TaskState): void {
    // A long-running task is started again however its run ends, until the job is cancelled.
    if (task.definition.longRunning) {
      return;
    }
    const step = getStepOf(job, task);
    // The tasks of a gang end together, so the end of one counts for all.
    const done = task.definition.gang && step !== undefined ? step.tasks : [task];
    done.forEach((member) => {
      member.markDone();
    });
    if (!task.definition.gang) {
      this._stopRuns([task], "another run of the task is done");
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
      this._deps.log.info("Job has failed; its runs are being stopped.", {
        job: job.id,
        task: task.id,
        failures,
      });
      this._stopRuns([...job.tasks], "the job has failed");
    }
  }

  /** Applies a checkpoint; that of a gang's task is valid for all tasks of the gang. */
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

  private _recordOutcome(job: JobState, taskRun: ActiveTaskRun, runOutcome: RunOutcome): void {
    const { quarantine, clock } = this._deps;
    const { agent } = taskRun.active;
    const outcome = RESULT_BY_OUTCOME[runOutcome];
    if (outcome === undefined) {
      quarantine.releaseProbe(agent, getRunKey(taskRun));
      return;
    }
    const kind = job.record.queue;
    this._logQuarantine(taskRun, quarantine.record({ agent, kind, outcome, now: clock.now() }));
  }

  private _logQuarantine({ task, active }: ActiveTaskRun, change: QuarantineChange): void {
    const { log } = this._deps;
    const fields = { agent: active.agent, task: task.id, run: active.run };
    if (change === "quarantined") {
      log.warn("Worker is quarantined, since runs fail on it.", fields);
    } else if (change === "released") {
      log.info("Worker is out of quarantine, since a run succeeds on it.", fields);
    }
  }
}

function getStepOf(job: JobState, task: TaskState): StepState | undefined {
  return job.getStep(task.address.occurrence, task.address.step);
}
