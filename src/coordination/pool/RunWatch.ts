/**
 * Looks after booked runs as time passes: which orders are due again, which runs make no progress
 * and are to be stopped, and which have surely ended because no lease can hold them any more.
 */
import type { BookedRun } from "./RunBook.ts";
import type { WorkerRecord } from "./WorkerTable.ts";

/** Time after which an order without a result is sent again, in milliseconds. */
const REPEAT_ORDER_MS = 700;
/** Time after which a run that was told to stop, and is still listed, is told again. */
const REPEAT_STOP_MS = 2_000;
/** Orders to start a run after which it is stopped in place of being started. */
const MAX_START_TRIES = 4;
/** Time without progress after which a run is taken for stalled, in milliseconds. */
const STALL_MS = 2_000;
/** The same for a run whose progress depends on what others leave it. */
const IDLE_STALL_MS = 5_000;
/** Share of the estimate without any progress that is taken for stalled. */
const STALL_ESTIMATE_SHARE = 0.25;
/** Age of a run from which a copy may be made, in milliseconds. */
const LEAST_COPY_AGE_MS = 500;
/** Multiple of the estimate that a run must still need for a copy to be made. */
const COPY_MULTIPLE = 1.5;
/** Silence of a worker from which copies of its runs are made, in milliseconds. */
const SILENT_COPY_MS = 1_800;
const FULL_PERCENT = 100;
/** Reason of a stop because of missing progress. */
export const STALLED = "it makes no progress";

/** What is to be done about a run. */
export type RunStep =
  | { readonly kind: "none" }
  /** The order to start it is sent again. */
  | { readonly kind: "start" }
  /** It is stopped, or the order to stop it is sent again. */
  | { readonly kind: "stop"; readonly reason: string }
  /** It has surely ended. */
  | { readonly kind: "void"; readonly reason: string };

/** What is known about the place of a run. */
export interface RunPlace {
  /** The worker that its agent reports now; undefined where the agent was not heard of. */
  readonly worker: WorkerRecord | undefined;
  /** When every lease of former schedulers has surely ended. */
  readonly takeoverLapsesAt: number;
}

/**
 * Decides what is to be done about a run.
 * @param booked - The run.
 * @param place - What is known about its place.
 * @param now - Monotonic time in milliseconds.
 */
export function getRunStep(booked: BookedRun, place: RunPlace, now: number): RunStep {
  const { active } = booked;
  const gone = findGone(booked, place, now);
  if (gone !== undefined && active.phase !== "recording") {
    return { kind: "void", reason: gone };
  }
  const passedMs = now - active.since;
  const isDue = active.callNumber === undefined && passedMs >= REPEAT_ORDER_MS;
  switch (active.phase) {
    case "ordered":
      if (!isDue) {
        return { kind: "none" };
      }
      return active.tries < MAX_START_TRIES
        ? { kind: "start" }
        : { kind: "stop", reason: "its start got no answer" };
    case "stopping":
      return isDue || passedMs >= REPEAT_STOP_MS
        ? { kind: "stop", reason: active.stopReason }
        : { kind: "none" };
    case "running":
      return getRunningStep(booked, place.worker, now);
    default:
      return { kind: "none" };
  }
}

/** Tells why a run cannot be there any more; undefined where it can. */
function findGone(booked: BookedRun, place: RunPlace, now: number): string | undefined {
  const { active } = booked;
  const { worker, takeoverLapsesAt } = place;
  if (worker === undefined || getBirth(active.worker) > getBirth(worker.report.worker)) {
    return now >= takeoverLapsesAt ? "no lease of a former scheduler holds" : undefined;
  }
  if (worker.report.worker !== active.worker) {
    return "another worker is in its place";
  }
  return now >= worker.lapsesAt ? "the lease of its worker has ended" : undefined;
}

function getRunningStep(booked: BookedRun, worker: WorkerRecord | undefined, now: number): RunStep {
  // A worker that was not heard of has shown no progress, but no standstill either.
  if (worker !== undefined && isStalled(booked, worker.answeredAt)) {
    return { kind: "stop", reason: STALLED };
  }
  const leavesAt = worker?.leavesAt;
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
export function getRemainingMs({ task, active }: BookedRun, now: number): number {
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
export function mayBeOvertaken(
  booked: BookedRun,
  worker: WorkerRecord | undefined,
  now: number,
): boolean {
  const { task, active } = booked;
  const silentMs = now - (worker?.reportedAt ?? Number.NEGATIVE_INFINITY);
  const isSlow =
    active.phase === "running" &&
    getRemainingMs(booked, now) > COPY_MULTIPLE * task.definition.estimateMs;
  return now - active.since > LEAST_COPY_AGE_MS && (isSlow || silentMs > SILENT_COPY_MS);
}

/** A task at work that runs without end shows full progress. */
function isStalled({ task, active }: BookedRun, seenAt: number): boolean {
  const { definition } = task;
  if (active.pacePercent < FULL_PERCENT || active.percent >= FULL_PERCENT || definition.gang) {
    return false;
  }
  const leastMs = definition.usesIdleProcessors ? IDLE_STALL_MS : STALL_MS;
  const limitMs = Math.max(leastMs, STALL_ESTIMATE_SHARE * definition.estimateMs);
  return seenAt - active.progressedAt > limitMs;
}

/** Start of an incarnation, in Unix milliseconds; see getIncarnation. */
function getBirth(worker: string): number {
  return Number(worker.slice(worker.lastIndexOf("@") + 1));
}

/**
 * Gives the name of an incarnation of a worker.
 * @param id - Id of the worker.
 * @param bornAtMs - Its start, in Unix milliseconds.
 */
export function getIncarnation(id: string, bornAtMs: number): string {
  return `${id}@${bornAtMs}`;
}
