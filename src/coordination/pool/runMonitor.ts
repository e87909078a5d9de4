/**
 * Decides what to do about active runs as time passes: which orders to resend, which runs to stop
 * because they make no progress, and which have certainly ended because no lease covers them any
 * more.
 */
import type { ActiveRun } from "../../state/pool/TaskState.ts";
import type { WorkerReport } from "./AgentChannel.ts";
import { getStartTime, hasSameId } from "./incarnations.ts";
import { formatRunKey, getRunKey, isShownBy, type ActiveTaskRun } from "./ActiveRunTable.ts";
import type { WorkerState } from "./WorkerTable.ts";

/** Time after which an order without a result is sent again, in milliseconds. */
const RESEND_ORDER_MS = 700;
/**
 * Time after which the order to stop a run is sent again if the worker still lists it, in
 * milliseconds.
 */
const RESEND_STOP_MS = 2_000;
/** Number of orders to start a run after which it is stopped instead. */
const MAX_START_TRIES = 4;
/** Time without progress after which a run counts as stalled, in milliseconds. */
const STALL_TIMEOUT_MS = 2_000;
/** The same for a run on idle processors, whose progress depends on the load of other tasks. */
const IDLE_PROCESSORS_STALL_TIMEOUT_MS = 5_000;
/** Share of the estimated duration without progress after which a run counts as stalled. */
const STALL_ESTIMATE_SHARE = 0.25;
/** Age of a run from which a speculative run may start, in milliseconds. */
const MIN_SPECULATION_AGE_MS = 500;
/** Multiple of the estimated duration that a run must still need for a speculative run to start. */
const SPECULATION_ESTIMATE_MULTIPLE = 1.5;
/** Silence of a worker after which speculative runs of its tasks start, in milliseconds. */
const SPECULATION_SILENCE_MS = 1_800;
const FULL_PERCENT = 100;
/** Stop reason of a run that makes no progress. */
export const STALLED_REASON = "it makes no progress";
/** Stop reason of a run whose start the next incarnation of its worker may still execute. */
const REPLACED_REASON = "its worker has started again under its id";

/** Action that is due for a run. */
export type RunAction =
  | { readonly kind: "none" }
  /** The order to start it is sent again. */
  | { readonly kind: "start" }
  /** The run is stopped, or the order to stop it is sent again. */
  | { readonly kind: "stop"; readonly reason: string }
  /** The run has certainly ended. */
  | { readonly kind: "void"; readonly reason: string };

/** State of a run's job and worker and of the leases of former schedulers. */
export interface RunContext {
  /** The worker that its agent reports now; undefined if the agent has not reported. */
  readonly worker: WorkerState | undefined;
  /** Time by which every lease of the worker from former schedulers has certainly ended. */
  readonly formerLeasesExpireBy: number;
  /** Why the run is not wanted any more; undefined if it is. */
  readonly stopReason: string | undefined;
}

/**
 * Returns the action that is due for a run.
 * @param taskRun - The run.
 * @param context - State of its job and worker and of the leases of former schedulers.
 * @param now - Monotonic time in milliseconds.
 */
export function getRunAction(taskRun: ActiveTaskRun, context: RunContext, now: number): RunAction {
  const { active } = taskRun;
  const lostReason = findLostReason(taskRun, context, now);
  if (lostReason !== undefined && active.phase !== "recording") {
    return { kind: "void", reason: lostReason };
  }
  const elapsedMs = now - active.since;
  const isDue = !hasResult(active, context.worker) && elapsedMs >= RESEND_ORDER_MS;
  const next = findSuccessor(taskRun, context.worker);
  if (next !== undefined && active.phase !== "recording" && active.stopWorker !== next) {
    return { kind: "stop", reason: REPLACED_REASON };
  }
  const { stopReason } = context;
  if (stopReason !== undefined && active.phase !== "recording" && active.phase !== "stopping") {
    return { kind: "stop", reason: stopReason };
  }
  switch (active.phase) {
    case "ordered":
      if (!isDue) {
        return { kind: "none" };
      }
      return active.tries < MAX_START_TRIES
        ? { kind: "start" }
        : { kind: "stop", reason: "its start was not confirmed" };
    case "stopping":
      return isDue || elapsedMs >= RESEND_STOP_MS
        ? { kind: "stop", reason: active.stopReason }
        : { kind: "none" };
    case "running":
      return getRunningAction(taskRun, context.worker, now);
    default:
      return { kind: "none" };
  }
}

/** Returns why a run cannot exist any more; undefined if it may exist. */
function findLostReason(
  taskRun: ActiveTaskRun,
  context: RunContext,
  now: number,
): string | undefined {
  const { active } = taskRun;
  const { worker, formerLeasesExpireBy } = context;
  if (worker === undefined || isUncertain(active.worker, worker.report)) {
    return now >= formerLeasesExpireBy ? "all leases of former schedulers have ended" : undefined;
  }
  if (worker.report.worker !== active.worker && !mayStartLate(taskRun, worker, now)) {
    return "its worker was replaced by another one";
  }
  return now >= worker.leasesExpireBy ? "the lease of its worker has ended" : undefined;
}

/**
 * Returns whether the last order of a run has a result that lists will show: one of a process of the
 * agent that never reports is shown by none.
 */
function hasResult(
  { callNumber, callProcess }: ActiveRun,
  worker: WorkerState | undefined,
): boolean {
  return callNumber !== undefined && (worker === undefined || callProcess === worker.process);
}

/** Returns whether a reported incarnation may be an earlier one than that of a run. */
function isUncertain(ofRun: string, { worker, isConfirmed }: WorkerReport): boolean {
  return !isConfirmed && getStartTime(ofRun) > getStartTime(worker);
}

/** Returns the present incarnation if it has the id of the run's one; undefined otherwise. */
function findSuccessor(
  { active }: ActiveTaskRun,
  worker: WorkerState | undefined,
): string | undefined {
  const next = worker?.report.worker;
  return next !== undefined && hasSameId(next, active.worker) ? next : undefined;
}

/**
 * Returns whether the incarnation that replaced the run's one has the run, or may still be given its
 * start: a call may be executed late, and names a worker by its id only. A stop that the present
 * incarnation has executed makes it refuse the start; lists made afterwards show whether the start
 * came before.
 */
function mayStartLate(taskRun: ActiveTaskRun, worker: WorkerState, now: number): boolean {
  const { active } = taskRun;
  const { report, process, leasesExpireBy } = worker;
  if (findSuccessor(taskRun, worker) === undefined || now >= leasesExpireBy) {
    return false;
  }
  const isStopped =
    active.stopWorker === report.worker &&
    isShownBy(active, { process, callNumber: report.callNumber });
  const isListed = report.running.some(
    ({ task, run }) => formatRunKey(task, run) === getRunKey(taskRun),
  );
  return !isStopped || !report.answers || report.mayLackEnds || isListed;
}

function getRunningAction(
  taskRun: ActiveTaskRun,
  worker: WorkerState | undefined,
  now: number,
): RunAction {
  // A worker that has not reported shows no progress, but no stall either.
  if (worker !== undefined && isStalled(taskRun, worker.answeredAt)) {
    return { kind: "stop", reason: STALLED_REASON };
  }
  const mayExitAt = worker?.mayExitAt;
  const mayBeInterrupted =
    mayExitAt !== undefined &&
    (taskRun.task.definition.longRunning || now + getRemainingMs(taskRun, now) > mayExitAt);
  return mayBeInterrupted
    ? { kind: "stop", reason: "its worker is about to exit" }
    : { kind: "none" };
}

/**
 * Estimates the time that a run still needs from its progress so far, in milliseconds.
 * @param taskRun - The run.
 * @param now - Monotonic time in milliseconds.
 */
export function getRemainingMs({ task, active }: ActiveTaskRun, now: number): number {
  const { percent, since } = active;
  return percent > 0
    ? ((now - since) * (FULL_PERCENT - percent)) / percent
    : task.definition.estimateMs;
}

/**
 * Returns whether a speculative run could be expected to end before the given run.
 * @param taskRun - The run.
 * @param worker - The worker that its agent reports now.
 * @param now - Monotonic time in milliseconds.
 */
export function shouldSpeculate(
  taskRun: ActiveTaskRun,
  worker: WorkerState | undefined,
  now: number,
): boolean {
  const { task, active } = taskRun;
  const silentMs = now - (worker?.reportedAt ?? Number.NEGATIVE_INFINITY);
  const isSlow =
    active.phase === "running" &&
    getRemainingMs(taskRun, now) > SPECULATION_ESTIMATE_MULTIPLE * task.definition.estimateMs;
  return (
    now - active.since > MIN_SPECULATION_AGE_MS && (isSlow || silentMs > SPECULATION_SILENCE_MS)
  );
}

/** Long-running tasks report full progress while they work, so they do not count as stalled. */
function isStalled({ task, active }: ActiveTaskRun, lastAnsweredAt: number): boolean {
  const { definition } = task;
  if (active.pacePercent < FULL_PERCENT || active.percent >= FULL_PERCENT || definition.gang) {
    return false;
  }
  const minMs = definition.usesIdleProcessors ? IDLE_PROCESSORS_STALL_TIMEOUT_MS : STALL_TIMEOUT_MS;
  const limitMs = Math.max(minMs, STALL_ESTIMATE_SHARE * definition.estimateMs);
  return lastAnsweredAt - active.progressedAt > limitMs;
}
