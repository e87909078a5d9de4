/**
 * Handles submissions and cancellations for one partition, and removes finished jobs after their
 * retention time.
 */
import type { JobSpec } from "../../protocol/jobs/JobSpec.ts";
import type { Clock } from "../../protocol/platform/Clock.ts";
import type { AppendFailure, PartitionLog } from "./PartitionLog.ts";

const CANCEL_BATCH_DELAY_MS = 25;
const MAX_DROPS_PER_RECORD = 1_000;

/** Result of a submission; a known job was created by an earlier submission. */
export type SubmitOutcome =
  | { readonly kind: "accepted"; readonly known: boolean }
  | { readonly kind: "conflict" }
  | { readonly kind: "failed"; readonly failure: AppendFailure };

/** Result of a cancellation. */
export type CancelOutcome =
  | { readonly kind: "accepted" }
  | { readonly kind: "not-found" }
  | { readonly kind: "failed"; readonly failure: AppendFailure };

interface PendingSubmission {
  readonly text: string;
  readonly outcome: Promise<SubmitOutcome>;
}

interface CancelBatch {
  readonly jobs: Set<string>;
  readonly outcome: Promise<CancelOutcome>;
}

/** Handles submissions and cancellations for one partition. */
export class JobSubmissionService {
  private readonly _clock: Clock;
  private readonly _log: PartitionLog;
  private readonly _retentionMs: number;
  private readonly _submissions = new Map<string, PendingSubmission>();
  private readonly _finishedAt = new Map<string, number>();
  private _cancelBatch: CancelBatch | undefined;

  /**
   * Creates a service.
   * @param clock - Monotonic clock.
   * @param log - Log of the partition.
   * @param retentionMs - Time for which a finished job is kept, in milliseconds.
   */
  constructor(clock: Clock, log: PartitionLog, retentionMs: number) {
    this._clock = clock;
    this._log = log;
    this._retentionMs = retentionMs;
  }

  /**
   * Returns whether a job is recorded or an earlier submission of it may still be.
   * @param id - Id of the job.
   */
  isKnown(id: string): boolean {
    return this._log.ledger.getJob(id) !== undefined || this._submissions.has(id);
  }

  /**
   * Submits a job. The same submission may be repeated safely.
   * @param id - Id of the job.
   * @param spec - Specification of the job.
   */
  async submit(id: string, spec: JobSpec): Promise<SubmitOutcome> {
    const text = JSON.stringify(spec);
    const known = this._log.ledger.getJob(id);
    if (known !== undefined) {
      return JSON.stringify(known.spec) === text
        ? { kind: "accepted", known: true }
        : { kind: "conflict" };
    }
    const pending = this._submissions.get(id);
    if (pending !== undefined) {
      return pending.text === text ? pending.outcome : { kind: "conflict" };
    }
    const outcome = this._append(id, spec);
    this._submissions.set(id, { text, outcome });
    const result = await outcome;
    this._submissions.delete(id);
    return result;
  }

  /**
   * Cancels a job. Cancellations that arrive close together share one record.
   * @param id - Id of the job.
   */
  async cancel(id: string): Promise<CancelOutcome> {
    const job = this._log.ledger.getJob(id);
    if (job === undefined) {
      return { kind: "not-found" };
    }
    if (job.cancelled || this._log.ledger.isFinished(id)) {
      return { kind: "accepted" };
    }
    this._cancelBatch ??= this._startCancelBatch();
    this._cancelBatch.jobs.add(id);
    return this._cancelBatch.outcome;
  }

  /** Removes the jobs whose retention time is over. */
  tick(): void {
    const now = this._clock.now();
    const { ledger } = this._log;
    ledger
      .getJobs()
      .filter((job) => ledger.isFinished(job.id) && !this._finishedAt.has(job.id))
      .forEach((job) => this._finishedAt.set(job.id, now));
    const due = [...this._finishedAt]
      .filter(([, finishedAt]) => now - finishedAt >= this._retentionMs)
      .map(([id]) => id)
      .slice(0, MAX_DROPS_PER_RECORD);
    if (due.length > 0 && !this._log.isFailing) {
      due.forEach((id) => this._finishedAt.delete(id));
      void this._log.append([{ type: "drop", jobs: due }]);
    }
  }

  private async _append(id: string, spec: JobSpec): Promise<SubmitOutcome> {
    const appended = await this._log.append([{ type: "submit", job: id, spec }], spec.urgent);
    return appended.isOk()
      ? { kind: "accepted", known: false }
      : { kind: "failed", failure: appended.error };
  }

  private _startCancelBatch(): CancelBatch {
    const jobs = new Set<string>();
    const commit = this._clock.sleep(CANCEL_BATCH_DELAY_MS).then(() => {
      this._cancelBatch = undefined;
      return this._log.append([{ type: "cancel", jobs: [...jobs] }]);
    });
    const outcome = commit.then((appended): CancelOutcome =>
      appended.isOk() ? { kind: "accepted" } : { kind: "failed", failure: appended.error },
    );
    return { jobs, outcome };
  }
}
