/**
 * Updates jobs when their runs end or are lost, and enqueues their progress for writing. A task is
 * done once, except that a long-running one never is; a job fails when a task has failed as often as
 * its queue allows, and the runs of a job that has ended are stopped. A run that was given up without
 * a known end is remembered, so that its end still counts when a worker lists it.
 */
import type { Clock } from "../../protocol/platform/Clock.ts";
import type { Log, LogFields } from "../../protocol/platform/Log.ts";
import type { EndedRun, RunOutcome } from "../../protocol/platform/PoolWorker.ts";
import type { JobState, StepState } from "../../state/pool/JobState.ts";
import type { ActiveRun, TaskState } from "../../state/pool/TaskState.ts";
import type { QuarantineChange, WorkerQuarantine } from "../placement/WorkerQuarantine.ts";
import type { CommitQueue } from "./CommitQueue.ts";
import type { PoolState } from "./PoolState.ts";
import { findStopReason } from "./desiredRuns.ts";
import { formatRunKey, getRunKey, type ActiveTaskRun } from "./ActiveRunTable.ts";

/** What the outcome of a run says about its worker; nothing if it is absent. */
const RESULT_BY_OUTCOME: Partial<Record<RunOutcome, "completed" | "failed">> = {
  done: "completed",
  failed: "failed",
};

/** A run of a task on the worker of an agent. */
interface LocatedRun {
  readonly task: TaskState;
  readonly run: number;
  readonly agent: string;
}

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
    const { run, agent } = active;
    this._recordOutcome(job, { task, run, agent }, outcome);
    this._applyCheckpoint(job, task, ended.checkpoint);
    this._applyOutcome(job, { task, run, agent }, outcome);
    commits.enqueue(job.id, onRecorded);
  }

  /**
   * Handles the end of a run that is not active. That of a run that was given up counts like that of
   * an active one. Any other was counted before and may be listed again until it is acknowledged;
   * yet a task that a worker says is done is done.
   * @param location - Agent and incarnation of the worker.
   * @param ended - The end as the worker listed it.
   * @param onRecorded - Called once the end is recorded.
   */
  handleInactiveRunEnd(
    { agent, worker }: Pick<ActiveRun, "agent" | "worker">,
    ended: EndedRun,
    onRecorded: () => void,
  ): void {
    const { state, commits, log } = this._deps;
    const { run, outcome, number } = ended;
    const fields = { task: ended.task, run, agent, worker, outcome, number };
    const task = state.getTask(ended.task);
    const job = task && state.getJobOf(task);
    if (task === undefined || job === undefined) {
      log.info("A run that is not active has ended; its task is unknown.", fields);
      onRecorded();
      return;
    }
    const wasGivenUp = task.forgetGivenUpRun({ run, worker });
    const isCompletion = outcome === "done" && !task.definition.longRunning;
    if (job.isEnded || task.isDone || !(wasGivenUp || isCompletion)) {
      log.info("A run that is not active has ended; its end changes nothing.", fields);
      commits.whenWritten(job.id, onRecorded);
      return;
    }
    log.info("A run that is not active has ended; its end counts for its task.", fields);
    if (wasGivenUp) {
      this._recordOutcome(job, { task, run, agent }, outcome);
    }
    if (getMembers(job, task).every((member) => isLastRun(member, run))) {
      this._applyCheckpoint(job, task, ended.checkpoint);
    }
    this._applyOutcome(job, { task, run, agent }, outcome);
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
    log.info("Run is lost; its task waits again.", {
      ...{ task: task.id, run, agent, worker, reason },
      ...this._describeEvidence(active),
    });
    this._deps.quarantine.releaseProbe(agent, getRunKey({ task, active }));
    state.activeRuns.remove(task, active);
    // A run whose start was not ordered has no end.
    if (active.phase !== "recording") {
      task.rememberGivenUpRun({ run, worker });
    }
    commits.enqueue(task.address.job);
  }

  /**
   * Opens the occurrences of scheduled jobs that are due.
   * @param timeOfDayMs - Time of day in Unix milliseconds.
   */
  openDueOccurrences(timeOfDayMs: number): void {
    const { state, commits } = this._deps;
    state.jobs
      .filter((job) => !job.isEnded && job.openDueOccurrences(timeOfDayMs))
      .forEach((job) => {
        commits.enqueue(job.id);
      });
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
    this._stopUnwantedRuns(job, [...job.tasks]);
    this._deps.commits.enqueue(job.id);
  }

  /**
   * Lets a job fail and stops its runs, unless it has ended or the task is done.
   * @param job - The job.
   * @param task - The task that is given up.
   * @param counts - What was counted against the task, for the log.
   */
  failJob(job: JobState, task: TaskState, counts: LogFields): void {
    if (job.isEnded || task.isDone) {
      return;
    }
    job.fail();
    this._deps.log.info("Job has failed; its runs are being stopped.", {
      ...{ job: job.id, task: task.id },
      ...counts,
    });
    this._stopUnwantedRuns(job, [...job.tasks]);
  }

  /**
   * Counts a run that makes no progress as a failure of its worker; its task avoids the worker's
   * agent from then on.
   * @param taskRun - The run.
   */
  handleStalledRun(taskRun: ActiveTaskRun): void {
    const { task, active } = taskRun;
    const { run, agent } = active;
    const job = this._deps.state.getJobOf(task);
    task.avoidAgent(agent);
    if (job !== undefined) {
      this._recordOutcome(job, { task, run, agent }, "failed");
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
      const { task, active } = taskRun;
      const { run, agent } = active;
      const attempt = { agent, kind: job.record.queue, probe: getRunKey(taskRun) };
      this._logQuarantine({ task, run, agent }, quarantine.recordWork(attempt));
    }
  }

  /** Describes what was known of a run and of its agent's worker when the run was decided to be lost. */
  private _describeEvidence({ agent, phase, callNumber, tries }: ActiveRun): LogFields {
    const { workerTable } = this._deps.state;
    const present = workerTable.getWorker(agent);
    return {
      ...{ phase, tries, orderCall: callNumber, process: workerTable.getAgent(agent)?.process },
      presentWorker: present?.report.worker,
      listCall: present?.report.callNumber,
      reportAgeMs: present && Math.round(this._deps.clock.now() - present.reportedAt),
    };
  }

  private _applyOutcome(
    job: JobState,
    { task, run, agent }: LocatedRun,
    outcome: RunOutcome,
  ): void {
    if (outcome === "done") {
      this._complete(job, task, run);
    } else if (outcome === "failed") {
      this._countFailure(job, task, agent);
    }
    this._updatePhase(job);
  }

  private _complete(job: JobState, task: TaskState, run: number): void {
    // A long-running task is started again however its run ends, until the job is cancelled.
    if (task.definition.longRunning) {
      return;
    }
    // The tasks of a gang end together, so the end of one counts for all.
    const done = getMembers(job, task);
    done.forEach((member) => {
      member.markDone(run);
    });
    this._stopUnwantedRuns(job, done);
  }

  private _countFailure(job: JobState, task: TaskState, agent: string): void {
    task.avoidAgent(agent);
    if (task.definition.longRunning) {
      return;
    }
    task.countFailure();
    const failures = getMembers(job, task).reduce((sum, member) => sum + member.failures, 0);
    if (failures >= job.record.maxAttempts) {
      this.failJob(job, task, { failures });
    }
  }

  /** Applies a checkpoint; that of a gang's task is valid for all tasks of the gang. */
  private _applyCheckpoint(job: JobState, task: TaskState, checkpoint: string): void {
    getMembers(job, task).forEach((member) => {
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

  /** Stops at once what would be stopped at the next check of all runs. */
  private _stopUnwantedRuns(job: JobState, tasks: readonly TaskState[]): void {
    tasks.forEach((task) => {
      task.activeRuns.forEach((active) => {
        const reason = findStopReason(job, { task, active });
        if (reason !== undefined) {
          this._deps.stopRun({ task, active }, reason);
        }
      });
    });
  }

  private _recordOutcome(job: JobState, located: LocatedRun, runOutcome: RunOutcome): void {
    const { quarantine, clock } = this._deps;
    const { task, run, agent } = located;
    const outcome = RESULT_BY_OUTCOME[runOutcome];
    if (outcome === undefined) {
      quarantine.releaseProbe(agent, formatRunKey(task.id, run));
      return;
    }
    const kind = job.record.queue;
    this._logQuarantine(located, quarantine.record({ agent, kind, outcome, now: clock.now() }));
  }

  private _logQuarantine({ task, run, agent }: LocatedRun, change: QuarantineChange): void {
    const { log } = this._deps;
    const fields = { agent, task: task.id, run };
    if (change === "quarantined") {
      log.warn("Worker is quarantined, since runs fail on it.", fields);
    } else if (change === "released") {
      log.info("Worker is out of quarantine, since a run succeeds on it.", fields);
    }
  }
}

/** Gets the tasks for which the end of a run of a task counts: those of its gang, or it alone. */
function getMembers(job: JobState, task: TaskState): readonly TaskState[] {
  return task.definition.gang ? (getStepOf(job, task)?.tasks ?? [task]) : [task];
}

/** Returns whether no later run of a task was ordered, nor any other is active. */
function isLastRun(task: TaskState, run: number): boolean {
  return task.lastRun === run && task.activeRuns.length === 0;
}

function getStepOf(job: JobState, task: TaskState): StepState | undefined {
  return job.getStep(task.address.occurrence, task.address.step);
}
