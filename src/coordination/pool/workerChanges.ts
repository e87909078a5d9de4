/**
 * Decides whether what a worker sends is newer than, or differs from, what its agent knows.
 */
import { isDeepStrictEqual } from "node:util";
import type { WorkerAnnouncement, WorkerRuns } from "../../protocol/platform/PoolWorker.ts";

/**
 * Returns whether an announcement is newer than the last one.
 * @param next - The announcement.
 * @param known - The last one.
 */
export function isNewer(next: WorkerAnnouncement, known: WorkerAnnouncement): boolean {
  return next.startedAtMs !== known.startedAtMs
    ? next.startedAtMs > known.startedAtMs
    : next.sequence > known.sequence;
}

/**
 * Returns whether an announcement of the same incarnation changes what may be placed on it.
 * @param next - The announcement.
 * @param known - The last one.
 */
export function hasChanged(next: WorkerAnnouncement, known: WorkerAnnouncement): boolean {
  return (
    next.draining !== known.draining ||
    !isDeepStrictEqual(next.capacity, known.capacity) ||
    !isDeepStrictEqual(next.labels, known.labels)
  );
}

/**
 * Formats lists so that the text differs when a run has begun or is gone, or when the lists have
 * become complete. New ends count by themselves, and acknowledged ones that are gone are no news.
 * @param lists - The lists.
 */
export function describeRuns({ running, mayLackEnds }: WorkerRuns): string {
  const runs = running.map(({ task, run }) => `${task}:${run}`).join(",");
  return `${runs};${mayLackEnds ? "+" : ""}`;
}
