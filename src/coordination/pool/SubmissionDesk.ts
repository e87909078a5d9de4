/**
 * Accepts jobs and cancellations at any entry: what is accepted is in the store, written once under
 * the id that the submitter chose. Questions are answered from the catalog, and from the store
 * where the catalog does not know the job yet.
 */
import type { Clock } from "../../protocol/platform/Clock.ts";
import type { Log, LogFields } from "../../protocol/platform/Log.ts";
import type { Store, StoreFailure, WriteResult } from "../../protocol/platform/Store.ts";
import type { JobDefinition } from "../../protocol/pool/JobDefinition.ts";
import type { QueueConfig } from "../../protocol/pool/QueueConfig.ts";
import { getShownPhase, type CatalogEntry, type JobCatalog } from "../../state/pool/JobCatalog.ts";
import { formatJobKey } from "../../state/pool/PoolKeys.ts";
import type { JobPhase, JobRecord } from "../../state/pool/records.ts";

/** Wait before a write whose outcome is unknown is tried again, in milliseconds. */
const RETRY_MS = 50;

/** What became of a submission or cancellation. */
export type DeskOutcome =
  /** It is stored; `known` tells whether it was before. */
  | { readonly kind: "stored"; readonly known: boolean }
  /** It is not stored and never will be. */
  | { readonly kind: "refused"; readonly reason: string }
  /** The id belongs to a job of another queue. */
  | { readonly kind: "conflict" }
  /** No such job. */
  | { readonly kind: "not-found" }
  /** Nobody knows whether it is stored, or will be. */
  | { readonly kind: "unknown"; readonly reason: string };

/** What is known of a job. */
export type PhaseOutcome =
  | { readonly kind: "found"; readonly phase: JobPhase }
  | { readonly kind: "not-found" }
  /** The store could not be asked. */
  | { readonly kind: "unavailable"; readonly reason: string };

/** What a desk needs. */
export interface SubmissionDeskParts {
  readonly store: Store;
  readonly clock: Clock;
  readonly log: Log;
  readonly catalog: JobCatalog;
  /** Gives the time of day in Unix milliseconds. */
  readonly getTimeOfDay: () => number;
}

/** Desk of one entry. */
export class SubmissionDesk {
  private readonly _parts: SubmissionDeskParts;

  /**
   * Creates a desk.
   * @param parts - What it needs.
   */
  constructor(parts: SubmissionDeskParts) {
    this._parts = parts;
  }

  /**
   * Accepts a job.
   * @param queue - Its queue.
   * @param id - Id that the submitter chose.
   * @param definition - The job.
   * @param deadline - Time until which the submitter waits, on the monotonic clock.
   */
  async submit(
    queue: QueueConfig,
    id: string,
    definition: JobDefinition,
    deadline: number,
  ): Promise<DeskOutcome> {
    const known = this._parts.catalog.getJob(id)?.record;
    if (known !== undefined) {
      return known.queue === queue.name ? { kind: "stored", known: true } : { kind: "conflict" };
    }
    const { name, priority, maxAttempts, stretch, latencyTargetMs } = queue;
    const acceptedAtMs = this._parts.getTimeOfDay();
    const settings = { queue: name, priority, maxAttempts, stretch, latencyTargetMs };
    const record: JobRecord = { ...settings, acceptedAtMs, ...definition };
    const key = formatJobKey({ kind: "job", pool: queue.pool, job: id });
    const outcome = await this._create(key, JSON.stringify(record), deadline);
    this._noteOutcome("Job was handed in.", { job: id, queue: name }, outcome);
    const stored = this._parts.catalog.getJob(id)?.record;
    return stored !== undefined && stored.queue !== name ? { kind: "conflict" } : outcome;
  }

  /**
   * Cancels a job.
   * @param queue - Its queue.
   * @param id - Its id.
   * @param deadline - Time until which the submitter waits, on the monotonic clock.
   */
  async cancel(queue: QueueConfig, id: string, deadline: number): Promise<DeskOutcome> {
    const found = await this._find(queue, id);
    if (found.kind === "unavailable") {
      return { kind: "refused", reason: found.reason };
    }
    if (found.entry?.isCancelled === true) {
      return { kind: "stored", known: true };
    }
    // A job that is not there may still arrive, by a write that is under way; it must not run.
    const key = formatJobKey({ kind: "cancel", pool: queue.pool, job: id });
    const outcome = await this._create(key, "{}", deadline);
    this._noteOutcome("Job was to be cancelled.", { job: id, queue: queue.name }, outcome);
    return outcome.kind === "stored" && found.entry === undefined ? { kind: "not-found" } : outcome;
  }

  /**
   * Gives the phase of a job.
   * @param queue - Its queue.
   * @param id - Its id.
   */
  async getPhase(queue: QueueConfig, id: string): Promise<PhaseOutcome> {
    const found = await this._find(queue, id);
    if (found.kind === "unavailable") {
      return found;
    }
    return found.entry?.record === undefined
      ? { kind: "not-found" }
      : { kind: "found", phase: getShownPhase(found.entry) };
  }

  /**
   * Counts the jobs of a queue of which no task has been ordered.
   * @param queue - The queue.
   */
  countPending(queue: QueueConfig): number {
    return this._parts.catalog.countPending(queue.name);
  }

  /** What was not accepted must be found in the log, also where lines are left out. */
  private _noteOutcome(sentence: string, fields: LogFields, outcome: DeskOutcome): void {
    const { log } = this._parts;
    const hasFailed = outcome.kind === "refused" || outcome.kind === "unknown";
    if (hasFailed) {
      log.warn(sentence, { ...fields, outcome: outcome.kind, reason: outcome.reason });
    } else {
      log.info(sentence, { ...fields, outcome: outcome.kind });
    }
  }

  private async _find(
    queue: QueueConfig,
    id: string,
  ): Promise<
    | { readonly kind: "asked"; readonly entry: CatalogEntry | undefined }
    | { readonly kind: "unavailable"; readonly reason: string }
  > {
    const { catalog, store } = this._parts;
    if (catalog.getJob(id)?.record === undefined) {
      const read = await store.read(formatJobKey({ kind: "job", pool: queue.pool, job: id }));
      if (read.isErr()) {
        return { kind: "unavailable", reason: read.error.detail };
      }
      catalog.apply(read.value === undefined ? [] : [read.value]);
    }
    const entry = catalog.getJob(id);
    return { kind: "asked", entry: entry?.record?.queue === queue.name ? entry : undefined };
  }

  /** Creates a key, or finds it created; an unknown outcome is settled while there is time. */
  private async _create(key: string, value: string, deadline: number): Promise<DeskOutcome> {
    const { store, clock, catalog } = this._parts;
    const result = await store.write({ key, value, expected: 0 });
    if (result.isOk()) {
      const { kind, change } = toChange(key, value, result.value);
      catalog.apply(change === undefined ? [] : [change]);
      return { kind: "stored", known: kind === "conflict" };
    }
    return this._settle(key, value, deadline, result.error, clock.now() + RETRY_MS);
  }

  private async _settle(
    key: string,
    value: string,
    deadline: number,
    failure: StoreFailure,
    retryAt: number,
  ): Promise<DeskOutcome> {
    const { clock } = this._parts;
    const reason = failure.detail;
    if (!failure.mayHaveWritten) {
      return { kind: "refused", reason };
    }
    if (retryAt >= deadline) {
      return { kind: "unknown", reason };
    }
    await clock.sleep(retryAt - clock.now());
    const outcome = await this._create(key, value, deadline);
    // The first try may still be carried out, whatever became of this one.
    return outcome.kind === "refused" ? { kind: "unknown", reason: outcome.reason } : outcome;
  }
}

function toChange(
  key: string,
  value: string,
  result: WriteResult,
): {
  readonly kind: WriteResult["kind"];
  readonly change:
    { readonly key: string; readonly value: string; readonly revision: number } | undefined;
} {
  return result.kind === "written"
    ? { kind: result.kind, change: { key, value, revision: result.revision } }
    : { kind: result.kind, change: result.current };
}
