/**
 * Looks after booked runs as time passes: which orders are due again, which runs make no progress
 * and are to be stopped, and which have surely ended because no lease can hold them any more.
 */
import type { ActiveTaskRun } from "./ActiveRunTable.ts";
import type { WorkerState } from "./WorkerTable.ts";

/** Time after which an order without a result is sent again, in milliseconds. */
const RESEND_ORDER_MS = 700;
/** Time after which a run that was told to stop, and is still listed, is told again. */
const RESEND_STOP_MS = 2_000;
/** Orders to start a run after which it is stopped in place of being started. */
const MAX_START_TRIES = 4;
/** Time without progress after which a run is taken for stalled, in milliseconds. */
const STALL_TIMEOUT_MS = 2_000;
/** The same for a run whose progress depends on what others leave it. */
const IDLE_PROCESSORS_STALL_TIMEOUT_MS = 5_000;
/** Share of the estimate without any progress that is taken for stalled. */
const STALL_ESTIMATE_SHARE = 0.25;
/** Age of a run from which a copy may be made, in milliseconds. */
const MIN_SPECULATION_AGE_MS = 500;
/** Multiple of the estimate that a run must still need for a copy to be made. */
const SPECULATION_ESTIMATE_MULTIPLE = 1.5;
/** Silence of a worker from which copies of its runs are made, in milliseconds. */
const SPECULATION_SILENCE_MS = 1_800;
const FULL_PERCENT = 100;
/** Reason of a stop because of missing progress. */
export const STALLED_REASON = "it makes no progress";

/** What is to be done about a run. */
export type RunAction =
  | { readonly kind: "none" }
  /** The order to start it is sent again. */
  | { readonly kind: "start" }
  /** It is stopped, or the order to stop it is sent again. */
  | { readonly kind: "stop"; readonly reason: string }
  /** It has surely ended. */
  | { readonly kind: "void"; readonly reason: string };

/** What is known about the place of a run. */
export interface RunContext {
  /** The worker that its agent reports now; undefined where the agent was not heard of. */
  readonly worker: WorkerState | undefined;
  /** When every lease of former schedulers has surely ended. */
  readonly formerLeasesExpireBy: number;
}

/**
 * Decides what is to be done about a run.
 * @param booked - The run.
 * @param place - What is known about its place.
 * @param now - Monotonic time in milliseconds.
 */
export function getRunAction(booked: ActiveTaskRun, place: RunContext, now: number): RunAction {
  const { active } = booked;
  const gone = findLostReason(booked, place, now);
  if (gone !== undefined && active.phase !== "recording") {
    return { kind: "void", reason: gone };
  }
  const passedMs = now - active.since;
  const isDue = active.callNumber === undefined && passedMs >= RESEND_ORDER_MS;
  switch (active.phase) {
    case "ordered":
      if (!isDue) {
        return { kind: "none" };
      }
      return active.tries < MAX_START_TRIES
        ? { kind: "start" }
        : { kind: "stop", reason: "its start got no answer" };
    case "stopping":
      return isDue || passedMs >= RESEND_STOP_MS
        ? { kind: "stop", reason: active.stopReason }
        : { kind: "none" };
    case "running":
      return getRunningAction(booked, place.worker, now);
    default:
      return { kind: "none" };
  }
}

/** Tells why a run cannot be there any more; undefined where it can. */
function findLostReason(booked: ActiveTaskRun, place: RunContext, now: number): string | undefined {
  const { active } = booked;
  const { worker, formerLeasesExpireBy } = place;
  if (worker === undefined || getStartTime(active.worker) > getStartTime(worker.report.worker)) {
    return now >= formerLeasesExpireBy ? "no lease of a former scheduler holds" : undefined;
  }
  if (worker.report.worker !== active.worker) {
    return "another worker is in its place";
  }
  return now >= worker.leasesExpireBy ? "the lease of its worker has ended" : undefined;
}

function getRunningAction(
  booked: ActiveTaskRun,
  worker: WorkerState | undefined,
  now: number,
): RunAction {
  // A worker that was not heard of has shown no progress, but no standstill either.
  if (worker !== undefined && isStalled(booked, worker.answeredAt)) {
    return { kind: "stop", reason: STALLED_REASON };
  }
  const leavesAt = worker?.mayExitAt;
  const isCutOff =
    leavesAt !== undefined &&
    (booked.task.definition.longRunning || now + getRemainingMs(booked, now) > leavesAt);
  return isCutOff ? { kind: "stop", reason: "its worker leaves" } : { kind: "none" };
}

/**
 * Estimates the time that a run still needs, in milliseconds, from its progress so far.
 * @param booked - The run.
 * @param now - Monotonic time in milliseconds.
 */
export function getRemainingMs({ task, active }: ActiveTaskRun, now: number): number {
  const { percent, since } = active;
  return percent > 0
    ? ((now - since) * (FULL_PERCENT - percent)) / percent
    : task.definition.estimateMs;
}

/**
 * Tells whether a copy of a run could be expected to end before it.
 * @param booked - The run.
 * @param worker - The worker that its agent reports now.
 * @param now - Monotonic time in milliseconds.
 */
export function shouldSpeculate(
  booked: ActiveTaskRun,
  worker: WorkerState | undefined,
  now: number,
): boolean {
  const { task, active } = booked;
  const silentMs = now - (worker?.reportedAt ?? Number.NEGATIVE_INFINITY);
  const isSlow =
    active.phase === "running" &&
    getRemainingMs(booked, now) > SPECULATION_ESTIMATE_MULTIPLE * task.definition.estimateMs;
  return (
    now - active.since > MIN_SPECULATION_AGE_MS && (isSlow || silentMs > SPECULATION_SILENCE_MS)
  );
}

/** A task at work that runs without end shows full progress. */
function isStalled({ task, active }: ActiveTaskRun, seenAt: number): boolean {
  const { definition } = task;
  if (active.pacePercent < FULL_PERCENT || active.percent >= FULL_PERCENT || definition.gang) {
    return false;
  }
  const leastMs = definition.usesIdleProcessors
    ? IDLE_PROCESSORS_STALL_TIMEOUT_MS
    : STALL_TIMEOUT_MS;
  const limitMs = Math.max(leastMs, STALL_ESTIMATE_SHARE * definition.estimateMs);
  return seenAt - active.progressedAt > limitMs;
}

/** Start of an incarnation, in Unix milliseconds; see getIncarnation. */
function getStartTime(worker: string): number {
  return Number(worker.slice(worker.lastIndexOf("@") + 1));
}

/**
 * Gives the name of an incarnation of a worker.
 * @param id - Id of the worker.
 * @param startedAtMs - Its start, in Unix milliseconds.
 */
export function formatIncarnation(id: string, startedAtMs: number): string {
  return `${id}@${startedAtMs}`;
}
