/**
 * Journals of worker stand-ins: what actually ran, and which capacity was announced.
 */
import type { RunOutcome } from "../../src/protocol/platform/PoolWorker.ts";
import type { Resources } from "../../src/protocol/Resources.ts";

/** Run as it actually took place. */
export interface JournalRun {
  readonly worker: string;
  readonly task: string;
  readonly run: number;
  /** When the order arrived; earlier than the start if the order was executed late. */
  readonly orderedAt: number;
  readonly startedAt: number;
  readonly resources: Resources;
  endedAt: number | undefined;
  outcome: RunOutcome | undefined;
  /**
   * Task that crashed the worker during the run, which may be the run's own; undefined for a run
   * that ended otherwise. A worker crashes at most once.
   */
  crashedBy: string | undefined;
  /**
   * Whether its end was acknowledged before the worker's lease expired; undefined while that is
   * open. If it was not acknowledged in time, the task may run again on another worker.
   */
  isAcknowledged: boolean | undefined;
}

/** Capacity of a worker as it announced it. */
export interface JournalCapacity {
  readonly worker: string;
  readonly announcedAt: number;
  readonly capacity: Resources;
}
