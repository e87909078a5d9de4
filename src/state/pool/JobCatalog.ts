/**
 * All jobs as one entry knows them from the store: accepted jobs, cancellations, and the progress
 * that schedulers have recorded. Submitters' queries are answered from the catalog, and schedulers
 * get their jobs from it.
 */
import type { StoreChange } from "../../protocol/platform/Store.ts";
import { applyEach } from "./applyEach.ts";
import { getQueueDigest, parseJobKey, type JobKey } from "./PoolKeys.ts";
import {
  parseJobRecord,
  parseProgressRecord,
  type JobPhase,
  type JobRecord,
  type ProgressRecord,
  type RecordError,
} from "./records.ts";

/** A job as the catalog knows it. */
export interface CatalogJob {
  readonly id: string;
  readonly pool: string;
  /** The job as it was accepted; undefined if only its cancellation or progress is known. */
  readonly record: JobRecord | undefined;
  /** Revision at which the job was accepted; 0 if the job itself is not known. */
  readonly acceptedRevision: number;
  readonly isCancelled: boolean;
  /** Digests of the queues whose job with this id is cancelled, should there be one. */
  readonly cancelledQueues: ReadonlySet<string>;
  readonly phase: JobPhase;
  /** Progress as last recorded; undefined if none is known. */
  readonly progress: ProgressRecord | undefined;
  /** Revision of the stored progress, whether or not it can be parsed; 0 if none is known. */
  readonly progressRevision: number;
  /** Whether the stored progress cannot be parsed; `progress` is the last that could be. */
  readonly isProgressUnreadable: boolean;
}

/** Callbacks of a catalog. */
export interface JobCatalogListener {
  /** Called when an accepted job becomes known. */
  readonly onAccepted: (job: CatalogJob) => void;
  /** Called when a cancellation becomes known. */
  readonly onCancelled: (job: CatalogJob) => void;
  /**
   * Called for a key of an unknown kind, a value that cannot be parsed, and one whose handling
   * failed; they are ignored, except that the job of progress that cannot be parsed is marked.
   */
  readonly onUnreadable: (key: string, reason: RecordError) => void;
}

/** Jobs known to one entry. */
export class JobCatalog {
  private readonly _listener: JobCatalogListener;
  private readonly _jobs = new Map<string, CatalogJob>();

  /**
   * Creates an empty catalog.
   * @param listener - Callbacks.
   */
  constructor(listener: JobCatalogListener) {
    this._listener = listener;
  }

  /**
   * Gets a job.
   * @param id - Id of the job.
   */
  getJob(id: string): CatalogJob | undefined {
    return this._jobs.get(id);
  }

  /**
   * Gets the accepted jobs of a pool.
   * @param pool - Name of the pool.
   */
  getJobs(pool: string): readonly CatalogJob[] {
    return [...this._jobs.values()].filter((job) => job.pool === pool && job.record !== undefined);
  }

  /**
   * Counts the accepted jobs of a queue of which no run has been ordered.
   * @param queue - Name of the queue.
   */
  countPending(queue: string): number {
    return [...this._jobs.values()].filter(
      (job) => job.record?.queue === queue && getVisiblePhase(job) === "queued",
    ).length;
  }

  /**
   * Applies keys as received from the store.
   * @param changes - Keys with their values; a deleted key has none.
   */
  apply(changes: readonly StoreChange[]): void {
    applyEach(changes, this._applyChange.bind(this), this._listener.onUnreadable);
  }

  /**
   * Applies a complete listing of accepted jobs and cancellations. A job that it does not contain
   * has been removed, unless it was accepted after the listing.
   * @param entries - All keys.
   * @param revision - Revision of the listing.
   */
  applyIntakeListing(entries: readonly StoreChange[], revision: number): void {
    const keys = entries.map(({ key }) => parseJobKey(key));
    const listed = new Set(keys.flatMap((key) => (key?.kind === "job" ? [key.job] : [])));
    [...this._jobs.values()]
      .filter((job) => job.record !== undefined && job.acceptedRevision <= revision)
      .filter((job) => !listed.has(job.id))
      .forEach((job) => this._jobs.delete(job.id));
    this.apply(entries);
  }

  /**
   * Applies a complete listing of progress. It decides on all revisions that are not later than the
   * listing, also if a wrong one was known.
   * @param entries - All keys.
   * @param revision - Revision of the listing.
   */
  applyProgressListing(entries: readonly StoreChange[], revision: number): void {
    const listed = new Map(entries.map((entry) => [parseJobKey(entry.key)?.job, entry.revision]));
    [...this._jobs.values()]
      .filter((job) => job.progressRevision <= revision)
      .filter((job) => job.progressRevision !== (listed.get(job.id) ?? 0))
      .forEach((job) => this._jobs.set(job.id, { ...job, progressRevision: 0 }));
    this.apply(entries);
  }

  /**
   * Updates the progress of a job that a scheduler in this process has recorded.
   * @param id - Id of the job.
   * @param progress - Recorded progress.
   * @param revision - Revision of the record.
   */
  updateProgress(id: string, progress: ProgressRecord, revision: number): void {
    const job = this._jobs.get(id);
    if (job !== undefined && job.progressRevision < revision) {
      this._setProgress(job, progress, revision);
    }
  }

  private _applyChange(change: StoreChange): void {
    const key = parseJobKey(change.key);
    if (key === undefined) {
      this._listener.onUnreadable(change.key, { detail: "the key has an unknown kind" });
    } else if (change.value === undefined) {
      this._remove(key);
    } else {
      this._applyKey(key, change.value, change);
    }
  }

  private _applyKey(key: JobKey, value: string, change: StoreChange): void {
    const job = this._jobs.get(key.job) ?? createCatalogJob(key);
    switch (key.kind) {
      case "job":
        this._applyJob(job, value, change);
        return;
      case "cancel":
        this._applyCancel(job, key.queueDigest);
        return;
      case "progress":
        this._applyProgress(job, value, change);
    }
  }

  private _applyJob(job: CatalogJob, value: string, { key, revision }: StoreChange): void {
    if (job.record !== undefined) {
      return;
    }
    parseJobRecord(value).match(
      (record) => {
        const isCancelled =
          job.isCancelled || job.cancelledQueues.has(getQueueDigest(record.queue));
        const known = { ...job, record, isCancelled, acceptedRevision: revision };
        this._jobs.set(job.id, known);
        this._listener.onAccepted(known);
      },
      (reason) => {
        this._listener.onUnreadable(key, reason);
      },
    );
  }

  /** Applies a cancellation; one of a queue cancels a job of this queue only. */
  private _applyCancel(job: CatalogJob, queueDigest: string | undefined): void {
    const cancelledQueues = new Set(job.cancelledQueues);
    if (queueDigest !== undefined) {
      cancelledQueues.add(queueDigest);
    }
    const queue = job.record?.queue;
    const isOfQueue = queue !== undefined && queueDigest === getQueueDigest(queue);
    const isCancelled = job.isCancelled || queueDigest === undefined || isOfQueue;
    const updated = { ...job, isCancelled, cancelledQueues };
    this._jobs.set(job.id, updated);
    if (isCancelled && !job.isCancelled) {
      this._listener.onCancelled(updated);
    }
  }

  private _applyProgress(job: CatalogJob, value: string, change: StoreChange): void {
    if (change.revision <= job.progressRevision) {
      return;
    }
    parseProgressRecord(value).match(
      (progress: ProgressRecord) => {
        this._setProgress(job, progress, change.revision);
      },
      (reason) => {
        // Without the revision, each write of a scheduler to this key would be a conflict.
        const { revision: progressRevision } = change;
        this._jobs.set(job.id, { ...job, progressRevision, isProgressUnreadable: true });
        this._listener.onUnreadable(change.key, reason);
      },
    );
  }

  private _setProgress(job: CatalogJob, progress: ProgressRecord, progressRevision: number): void {
    const { phase } = progress;
    const isProgressUnreadable = false;
    this._jobs.set(job.id, { ...job, phase, progress, progressRevision, isProgressUnreadable });
  }

  private _remove(key: JobKey): void {
    if (key.kind === "job") {
      this._jobs.delete(key.job);
    }
  }
}

/**
 * Gets the phase that is visible to submitters.
 * @param job - The job.
 */
export function getVisiblePhase(job: CatalogJob): JobPhase {
  const hasEnded = job.phase === "completed" || job.phase === "failed";
  return job.isCancelled && !hasEnded ? "cancelled" : job.phase;
}

function createCatalogJob(key: JobKey): CatalogJob {
  const { job: id, pool } = key;
  return {
    id,
    pool,
    record: undefined,
    acceptedRevision: 0,
    isCancelled: false,
    cancelledQueues: new Set(),
    phase: "queued",
    progress: undefined,
    progressRevision: 0,
    isProgressUnreadable: false,
  };
}
