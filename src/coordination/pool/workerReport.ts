/**
 * Creates the report of a worker from what its agent knows of it.
 */
import type {
  EndedRun,
  WorkerAnnouncement,
  WorkerRuns,
} from "../../protocol/platform/PoolWorker.ts";
import type { WorkerReport } from "./AgentChannel.ts";
import { formatIncarnation } from "./incarnations.ts";

/** Lists of runs with the number of the call that returned them. */
export interface NumberedLists extends WorkerRuns {
  readonly callNumber: number;
}

/** What an agent knows of its worker. */
export interface WorkerKnowledge {
  readonly announced: WorkerAnnouncement;
  readonly announcedAt: number;
  /** The last lists; undefined if there are none since the present scheduler's first call. */
  readonly lists: NumberedLists | undefined;
  /** When any lists last arrived; undefined if none have. */
  readonly listedAt: number | undefined;
  /** Whether the worker has responded to the last call for its lists. */
  readonly responds: boolean;
  readonly ended: readonly EndedRun[];
}

/**
 * Creates the report of a worker.
 * @param known - What its agent knows of it, with times on the agent's monotonic clock.
 * @param now - Monotonic time in milliseconds.
 */
export function createWorkerReport(known: WorkerKnowledge, now: number): WorkerReport {
  const { announced, announcedAt, lists, listedAt, responds, ended } = known;
  const { id, startedAtMs, pool, zone, rack, draining, capacity, labels } = announced;
  return {
    worker: formatIncarnation(id, startedAtMs),
    isConfirmed: true,
    pool,
    zone,
    rack,
    draining,
    drainRemainingMs: Math.max(0, (announced.drainRemainingMs ?? 0) - (now - announcedAt)),
    capacity,
    labels,
    clockMs: lists?.clockMs ?? 0,
    readingAgeMs: listedAt === undefined ? 0 : now - listedAt,
    callNumber: lists?.callNumber ?? 0,
    answers: responds && lists !== undefined,
    running: lists?.running ?? [],
    ended,
    mayLackEnds: lists?.mayLackEnds ?? false,
  };
}
