/**
 * All jobs as one entry knows them from the store: accepted jobs, cancellations, and the progress
 * that schedulers have recorded. Submitters' queries are answered from the catalog, and schedulers
 * get their jobs from it.
 */
import type { StoreChange } from "../../protocol/platform/Store.ts";
import { getEndpoint, type QueueConfig } from "../../protocol/pool/QueueConfig.ts";
import { applyEach } from "./applyEach.ts";
import { getQueueDigests, parseJobKey, PROGRESS_PREFIX, type JobKey } from "./PoolKeys.ts";
import { parseProgress } from "./progressValue.ts";
import {
  parseJobRecord,
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
  /** Last known endpoints of queues, by the name of the queue. */
  private readonly _endpoints = new Map<string, string>();

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
   * @param queue - The queue.
   */
  countPending(queue: QueueConfig): number {
    return [...this._jobs.values()]
      .filter(({ record }) => record !== undefined && isJobOf(record, queue))
      .filter((job) => getVisiblePhase(job) === "queued").length;
  }

  /**
   * Takes note of the present queues. A record of a former version has the name of its queue only: its
   * job keeps the endpoint that this name had last when the job became known, whatever queue has the
   * name later.
   * @param queues - The queues.
   */
  setQueues(queues: readonly QueueConfig[]): void {
    queues.forEach((queue) => {
      this._endpoints.set(queue.name, getEndpoint(queue));
    });
    this._jobs.forEach((job) => {
      if (job.record !== undefined && job.record.endpoint === undefined) {
        this._jobs.set(job.id, { ...job, record: this._addEndpoint(job.record) });
      }
    });
  }

  /**
   * Applies keys as received from the store.
   * @param changes - Keys with their values; a deleted key has none.
   */
  apply(changes: readonly StoreChange[]): void {
    const latest = dropOutdatedProgress(changes);
    applyEach(latest, this._applyChange.bind(this), this._listener.onUnreadable);
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
        this._applyJob({ ...job, pool: key.pool }, value, change);
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
      (stored) => {
        const record = this._addEndpoint(stored);
        const isCancelled =
          job.isCancelled ||
          getQueueDigests(record).some((digest) => job.cancelledQueues.has(digest));
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
    const isOfQueue =
      queueDigest === undefined ||
      (job.record !== undefined && getQueueDigests(job.record).includes(queueDigest));
    const isCancelled = job.isCancelled || isOfQueue;
    const updated = { ...job, isCancelled, cancelledQueues };
    this._jobs.set(job.id, updated);
    if (isCancelled && !job.isCancelled) {
      this._listener.onCancelled(updated);
    }
  }

  private _addEndpoint(record: JobRecord): JobRecord {
    return { ...record, endpoint: record.endpoint ?? this._endpoints.get(record.queue) };
  }

  private _applyProgress(job: CatalogJob, value: string, change: StoreChange): void {
    if (change.revision <= job.progressRevision) {
      return;
    }
    parseProgress(value).match(
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
 * Drops progress that later changes in the same response replace: that of a job is written with each
 * change of a task, and reading it is most of what an entry does that schedules nothing.
 */
function dropOutdatedProgress(changes: readonly StoreChange[]): readonly StoreChange[] {
  const lastRevisions = new Map(changes.map(({ key, revision }) => [key, revision]));
  return changes.filter(
    ({ key, revision }) => !key.startsWith(PROGRESS_PREFIX) || lastRevisions.get(key) === revision,
  );
}

/**
 * Returns whether a job belongs to a queue. The endpoint decides, by which submitters name the queue;
 * the name does where it is all that is known.
 * @param record - The job as it was accepted.
 * @param queue - The queue.
 */
export function isJobOf({ endpoint, queue: name }: JobRecord, queue: QueueConfig): boolean {
  return endpoint === undefined ? name === queue.name : endpoint === getEndpoint(queue);
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
