/**
 * All jobs as one entry knows them from the store: what was accepted, what was cancelled, and how
 * far the schedulers have recorded them. It answers submitters and feeds the schedulers.
 */
import type { StoreChange } from "../../protocol/platform/Store.ts";
import { parseJobKey, type JobKey } from "./PoolKeys.ts";
import {
  parseJobRecord,
  parseProgressRecord,
  type JobPhase,
  type JobRecord,
  type ProgressRecord,
  type RecordError,
} from "./records.ts";

/** A job as it is known here. */
export interface CatalogJob {
  readonly id: string;
  readonly pool: string;
  /** The job as it was accepted; undefined where only its cancellation is known. */
  readonly record: JobRecord | undefined;
  readonly isCancelled: boolean;
  readonly phase: JobPhase;
  /** Revision of the progress that is known; 0 where none is. */
  readonly progressRevision: number;
}

/** What a catalog reports. */
export interface JobCatalogListener {
  /** Called when an accepted job becomes known. */
  readonly onAccepted: (entry: CatalogJob) => void;
  /** Called when a cancellation becomes known. */
  readonly onCancelled: (entry: CatalogJob) => void;
  /** Called for a stored value that cannot be read; it is left out. */
  readonly onUnreadable: (key: string, reason: RecordError) => void;
}

/** Jobs known to one entry. */
export class JobCatalog {
  private readonly _listener: JobCatalogListener;
  private readonly _jobs = new Map<string, CatalogJob>();

  /**
   * Creates an empty catalog.
   * @param listener - Receiver of what becomes known.
   */
  constructor(listener: JobCatalogListener) {
    this._listener = listener;
  }

  /**
   * Gives a job.
   * @param id - Id of the job.
   */
  getJob(id: string): CatalogJob | undefined {
    return this._jobs.get(id);
  }

  /**
   * Gives the accepted jobs of a pool.
   * @param pool - Name of the pool.
   */
  getJobs(pool: string): readonly CatalogJob[] {
    return [...this._jobs.values()].filter(
      (entry) => entry.pool === pool && entry.record !== undefined,
    );
  }

  /**
   * Counts the accepted jobs of a queue of which no task has been ordered.
   * @param queue - Name of the queue.
   */
  countPending(queue: string): number {
    return [...this._jobs.values()].filter(
      (entry) => entry.record?.queue === queue && getVisiblePhase(entry) === "queued",
    ).length;
  }

  /**
   * Takes in keys as the store has them.
   * @param changes - Keys with their values; a deleted key has none.
   */
  apply(changes: readonly StoreChange[]): void {
    changes.forEach((change) => {
      const key = parseJobKey(change.key);
      if (key === undefined) {
        this._listener.onUnreadable(change.key, { detail: "the key is of no known kind" });
      } else if (change.value === undefined) {
        this._remove(key);
      } else {
        this._applyKey(key, change.value, change);
      }
    });
  }

  /**
   * Takes in progress that a scheduler of this process has recorded.
   * @param id - Id of the job.
   * @param phase - Phase that is recorded.
   * @param revision - Revision of the record.
   */
  updateProgress(id: string, phase: JobPhase, revision: number): void {
    const entry = this._jobs.get(id);
    if (entry !== undefined && entry.progressRevision < revision) {
      this._jobs.set(id, { ...entry, phase, progressRevision: revision });
    }
  }

  private _applyKey(key: JobKey, value: string, change: StoreChange): void {
    const entry = this._jobs.get(key.job) ?? createCatalogJob(key);
    switch (key.kind) {
      case "job":
        this._applyJob(entry, value, change.key);
        return;
      case "cancel":
        this._applyCancel(entry);
        return;
      case "progress":
        this._applyProgress(entry, value, change);
    }
  }

  private _applyJob(entry: CatalogJob, value: string, key: string): void {
    if (entry.record !== undefined) {
      return;
    }
    parseJobRecord(value).match(
      (record) => {
        const known = { ...entry, record };
        this._jobs.set(entry.id, known);
        this._listener.onAccepted(known);
      },
      (reason) => {
        this._listener.onUnreadable(key, reason);
      },
    );
  }

  private _applyCancel(entry: CatalogJob): void {
    if (!entry.isCancelled) {
      const cancelled = { ...entry, isCancelled: true };
      this._jobs.set(entry.id, cancelled);
      this._listener.onCancelled(cancelled);
    }
  }

  private _applyProgress(entry: CatalogJob, value: string, change: StoreChange): void {
    if (change.revision <= entry.progressRevision) {
      return;
    }
    parseProgressRecord(value).match(
      (progress: ProgressRecord) => {
        const progressRevision = change.revision;
        this._jobs.set(entry.id, { ...entry, phase: progress.phase, progressRevision });
      },
      (reason) => {
        this._listener.onUnreadable(change.key, reason);
      },
    );
  }

  private _remove(key: JobKey): void {
    if (key.kind === "job") {
      this._jobs.delete(key.job);
    }
  }
}

/**
 * Gives the phase that a submitter is shown.
 * @param entry - The job.
 */
export function getVisiblePhase(entry: CatalogJob): JobPhase {
  const hasEnded = entry.phase === "completed" || entry.phase === "failed";
  return entry.isCancelled && !hasEnded ? "cancelled" : entry.phase;
}

function createCatalogJob(key: JobKey): CatalogJob {
  const { job: id, pool } = key;
  return { id, pool, record: undefined, isCancelled: false, phase: "queued", progressRevision: 0 };
}
