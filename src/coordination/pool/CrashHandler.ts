/**
 * Counts the crashes of workers against the tasks that may have caused them. A task that is suspected
 * soon after its start is tried on a worker that nothing else is started on, so that another crash
 * convicts it alone; one that works for longer than before the crash is cleared. A job whose task has
 * crashed its workers too often fails, so that the task takes no more of them down.
 */
import type { Log } from "../../protocol/platform/Log.ts";
import type { TaskState } from "../../state/pool/TaskState.ts";
import type { CrashedRun, WorkerCrash } from "./AgentChannel.ts";
import type { CommitQueue } from "./CommitQueue.ts";
import type { JobUpdater } from "./JobUpdater.ts";
import type { PoolState } from "./PoolState.ts";
import { FIRST_TRIAL_MS } from "./taskPlacement.ts";

/**
 * Number of crashes from which a task is given up that is tried alone from its first crash on, if
 * nothing else explains the last one.
 */
const MAX_CRASHES_ALONE = 2;
/** The same if something else may explain the last one, or if it is tried from its second crash on. */
const MAX_SOON_CRASHES = 3;
/**
 * Number of crashes from which any task is given up: operators accept two more starts of one that has
 * crashed three workers.
 */
const MAX_CRASHES = 5;
/**
 * Time from its start to the crash up to which a run explains a crash as well as one that is suspected
 * for the second time, in milliseconds.
 */
const RIVAL_MS = 1_500;
/** Time after its start in which a run would be suspected of a crash first of all, in milliseconds. */
export const NEW_RUN_MS = 250;

/** Dependencies of CrashHandler. */
export interface CrashHandlerDependencies {
  readonly state: PoolState;
  readonly commits: CommitQueue;
  readonly updater: JobUpdater;
  readonly log: Log;
}

/** A task that may have caused a crash. */
interface Suspect {
  readonly task: TaskState;
  readonly crashed: CrashedRun;
  readonly isRepeated: boolean;
}

/** Handles the crashes of one scheduler's workers. */
export class CrashHandler {
  private readonly _deps: CrashHandlerDependencies;

  /**
   * Creates a handler.
   * @param deps - Dependencies.
   */
  constructor(deps: CrashHandlerDependencies) {
    this._deps = deps;
  }

  /**
   * Handles a crash. One that was handled before, also by a former scheduler, changes nothing.
   * @param agent - Agent of the worker.
   * @param crash - The crash.
   */
  handleCrash(agent: string, { worker, runs }: WorkerCrash): void {
    const suspects = runs.flatMap((crashed) => this._findSuspect(crashed));
    const rivals = suspects.filter(
      ({ isRepeated, crashed }) => isRepeated || crashed.elapsedMs <= RIVAL_MS,
    );
    suspects.forEach(({ task, crashed, isRepeated }) => {
      const { commits, log } = this._deps;
      const { crashes } = task.crashHistory;
      if (isRepeated || crashed.elapsedMs <= FIRST_TRIAL_MS) {
        const { run, elapsedMs } = crashed;
        log.warn("Worker crashed under a run; its task is suspected.", {
          ...{ task: task.id, run, agent, worker, elapsedMs, crashes, suspects: rivals.length },
        });
      }
      if (crashes >= getMaxCrashes(task, rivals.length)) {
        this._giveUp(task);
      }
      commits.enqueue(task.address.job);
    });
  }

  /** Clears the suspected tasks whose runs have worked for longer than before the crash. */
  tick(): void {
    const { state, commits, log } = this._deps;
    state.activeRuns
      .getAll()
      .filter(({ active }) => active.phase === "running")
      .forEach(({ task, active }) => {
        const worker = state.workerTable.getWorker(active.agent);
        const isPresent = worker?.report.worker === active.worker;
        const workedMs = isPresent ? worker.answeredAt - active.since : 0;
        if (task.crashHistory.recordWork(workedMs)) {
          log.info("Task is no longer suspected of crashing workers, as it works for longer.", {
            ...{ task: task.id, run: active.run, agent: active.agent, workedMs },
          });
          commits.enqueue(task.address.job);
        }
      });
  }

  private _findSuspect(crashed: CrashedRun): readonly Suspect[] {
    const { state } = this._deps;
    const task = state.getTask(crashed.task);
    if (task === undefined || task.isDone || crashed.run > task.lastRun) {
      return [];
    }
    const verdict = task.crashHistory.recordCrash(crashed.run, crashed.elapsedMs);
    return verdict === "suspected" || verdict === "repeated"
      ? [{ task, crashed, isRepeated: verdict === "repeated" }]
      : [];
  }

  private _giveUp(task: TaskState): void {
    const { state, updater } = this._deps;
    const job = state.getJobOf(task);
    if (job !== undefined) {
      updater.failJob(job, task, { crashes: task.crashHistory.crashes });
    }
  }
}

function getMaxCrashes({ crashHistory, definition }: TaskState, rivalCount: number): number {
  const { crashedAfterMs } = crashHistory;
  if (crashedAfterMs > RIVAL_MS || definition.gang) {
    return MAX_CRASHES;
  }
  const isAlone = rivalCount === 1;
  if (crashedAfterMs <= FIRST_TRIAL_MS) {
    return isAlone ? MAX_CRASHES_ALONE : MAX_SOON_CRASHES;
  }
  return isAlone ? MAX_SOON_CRASHES : MAX_CRASHES;
}
