/**
 * Accepts jobs and cancellations at any entry. What is accepted is in the store, written once under
 * the id that the submitter chose. Queries are answered from the catalog, or from the store if the
 * catalog does not know the job yet. While the store is known not to respond, no call is made for a
 * submitter: what is refused at once has certainly not been stored, and the submitter can go
 * elsewhere in time.
 */
import { ResultAsync } from "neverthrow";
import type { Clock } from "../../protocol/platform/Clock.ts";
import type { Log, LogFields } from "../../protocol/platform/Log.ts";
import {
  MAX_TRANSACTION_ROWS,
  type Store,
  type StoreEntry,
  type StoreFailure,
  type TransactionResult,
} from "../../protocol/platform/Store.ts";
import type { JobDefinition } from "../../protocol/pool/JobDefinition.ts";
import { getEndpoint, type QueueConfig } from "../../protocol/pool/QueueConfig.ts";
import {
  getVisiblePhase,
  isJobOf,
  type CatalogJob,
  type JobCatalog,
} from "../../state/pool/JobCatalog.ts";
import { formatJobKey, getQueueDigest, parseJobKey } from "../../state/pool/PoolKeys.ts";
import type { JobPhase, JobRecord } from "../../state/pool/records.ts";
import type { StoreSilenceMonitor } from "./StoreSilenceMonitor.ts";
import { UnresolvedWriteTable } from "./UnresolvedWriteTable.ts";
import { waitUntil } from "../../protocol/platform/waitUntil.ts";

/** Delay before a write with an unknown outcome is retried, in milliseconds. */
const RETRY_MS = 50;
const SILENCE_REASON = "the store does not respond to this entry";
const FOREIGN_VALUE_REASON = "the key of the job has a value that cannot be parsed";
const NO_RESPONSE_REASON = "the store did not respond before the submitter's deadline";

/** Outcome of a submission or cancellation. */
export type SubmissionOutcome =
  /** It is stored; `known` is true if it was stored before. */
  | { readonly kind: "stored"; readonly known: boolean }
  /** It is not stored and never will be. */
  | { readonly kind: "refused"; readonly reason: string }
  /** The id belongs to a job of another queue. */
  | { readonly kind: "conflict" }
  /** There is no such job. */
  | { readonly kind: "not-found" }
  /** It is unknown whether it is stored or will be. */
  | { readonly kind: "unknown"; readonly reason: string };

/** Outcome of a query for the phase of a job. */
export type PhaseOutcome =
  | { readonly kind: "found"; readonly phase: JobPhase }
  | { readonly kind: "not-found" }
  /** The store could not be read. */
  | { readonly kind: "unavailable"; readonly reason: string };

/** Key to create, unless it or one of the others exists. */
interface KeyCreation {
  readonly key: string;
  readonly value: string;
  readonly others: readonly string[];
}

/** Dependencies of SubmissionService. */
export interface SubmissionServiceDependencies {
  readonly store: Store;
  /** Monitor of the store. */
  readonly silenceMonitor: StoreSilenceMonitor;
  readonly clock: Clock;
  readonly log: Log;
  readonly catalog: JobCatalog;
  /** Gets the pools of which jobs may be known: a queue's jobs stay in theirs if it gets another. */
  readonly getPools: () => readonly string[];
  /** Gets the time of day in Unix milliseconds. */
  readonly getTimeOfDay: () => number;
}

/** Accepts jobs and cancellations at one entry. */
export class SubmissionService {
  private readonly _deps: SubmissionServiceDependencies;
  private readonly _unresolvedWrites: UnresolvedWriteTable;

  /**
   * Creates a service.
   * @param deps - Dependencies.
   */
  constructor(deps: SubmissionServiceDependencies) {
    this._deps = deps;
    this._unresolvedWrites = new UnresolvedWriteTable(deps.clock);
  }

  /**
   * Submits a job.
   * @param queue - Its queue.
   * @param id - Id that the submitter chose.
   * @param definition - The job.
   * @param deadline - Time until which the submitter waits, on the monotonic clock, in
   * milliseconds.
   */
  async submit(
    queue: QueueConfig,
    id: string,
    definition: JobDefinition,
    deadline: number,
  ): Promise<SubmissionOutcome> {
    const known = this._deps.catalog.getJob(id)?.record;
    if (known !== undefined) {
      return isJobOf(known, queue) ? { kind: "stored", known: true } : { kind: "conflict" };
    }
    const { name, priority, maxAttempts, stretch, latencyTargetMs } = queue;
    const acceptedAtMs = this._deps.getTimeOfDay();
    const settings = { queue: name, priority, maxAttempts, stretch, latencyTargetMs };
    const endpoint = getEndpoint(queue);
    const record: JobRecord = { ...settings, endpoint, acceptedAtMs, ...definition };
    const [key = "", ...others] = this._getJobKeys(queue.pool, id);
    const creation = { key, value: JSON.stringify(record), others };
    const created = await this._create(creation, deadline);
    const outcome = this._checkStored(id, created);
    this._logOutcome("Submission of a job was handled.", { job: id, queue: name }, outcome);
    const stored = this._deps.catalog.getJob(id)?.record;
    return stored !== undefined && !isJobOf(stored, queue) ? { kind: "conflict" } : outcome;
  }

  /**
   * Cancels a job.
   * @param queue - Its queue.
   * @param id - Its id.
   * @param deadline - Time until which the submitter waits, on the monotonic clock, in
   * milliseconds.
   */
  async cancel(queue: QueueConfig, id: string, deadline: number): Promise<SubmissionOutcome> {
    const fields = { job: id, queue: queue.name };
    const found = await this._find(queue, id, deadline);
    const isUnknown = found.kind === "asked" && found.job === undefined;
    const queueDigest = isUnknown ? getQueueDigest(getEndpoint(queue)) : undefined;
    const pool = this._deps.catalog.getJob(id)?.pool ?? queue.pool;
    const key = formatJobKey({ kind: "cancel", pool, job: id, queueDigest });
    if (found.kind === "unavailable") {
      const refusal = this._refuse(key, found.reason);
      this._logOutcome("Cancellation of a job was handled.", fields, refusal);
      return refusal;
    }
    if (found.job?.isCancelled === true) {
      return { kind: "stored", known: true };
    }
    if (found.isOfOtherQueue) {
      return { kind: "not-found" };
    }
    // An unknown job may still be created by a write in progress; it must not run then. If the id
    // belongs to a job of another queue by then, the cancellation is not of that one.
    const outcome = await this._create({ key, value: "{}", others: [] }, deadline);
    this._logOutcome("Cancellation of a job was handled.", fields, outcome);
    return outcome.kind === "stored" && found.job === undefined ? { kind: "not-found" } : outcome;
  }

  /**
   * Gets the phase of a job.
   * @param queue - Its queue.
   * @param id - Its id.
   * @param deadline - Time until which the submitter waits, on the monotonic clock, in
   * milliseconds.
   */
  async getPhase(queue: QueueConfig, id: string, deadline: number): Promise<PhaseOutcome> {
    const found = await this._find(queue, id, deadline);
    if (found.kind === "unavailable") {
      return found;
    }
    return found.job?.record === undefined
      ? { kind: "not-found" }
      : { kind: "found", phase: getVisiblePhase(found.job) };
  }

  /**
   * Counts the jobs of a queue of which no run has been ordered.
   * @param queue - The queue.
   */
  countPending(queue: QueueConfig): number {
    return this._deps.catalog.countPending(queue);
  }

  /** Refuses a job whose key has a value that is no job; nobody runs that. */
  private _checkStored(id: string, outcome: SubmissionOutcome): SubmissionOutcome {
    const isOdd =
      outcome.kind === "stored" &&
      outcome.known &&
      this._deps.catalog.getJob(id)?.record === undefined;
    return isOdd ? { kind: "refused", reason: FOREIGN_VALUE_REASON } : outcome;
  }

  /**
   * Logs an outcome. A failure is logged as a warning, so that it is found in the log even if lower
   * levels are omitted.
   */
  private _logOutcome(sentence: string, fields: LogFields, outcome: SubmissionOutcome): void {
    const { log } = this._deps;
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
    deadline: number,
  ): Promise<
    | {
        readonly kind: "asked";
        readonly job: CatalogJob | undefined;
        readonly isOfOtherQueue: boolean;
      }
    | { readonly kind: "unavailable"; readonly reason: string }
  > {
    const { catalog, store, clock } = this._deps;
    if (catalog.getJob(id)?.record === undefined) {
      if (this._deps.silenceMonitor.isSilent) {
        return { kind: "unavailable", reason: SILENCE_REASON };
      }
      const reading = ResultAsync.combine(
        this._getJobKeys(queue.pool, id).map((key) => store.read(key)),
      );
      const read = await waitUntil(clock, deadline, reading);
      if (read === undefined) {
        return { kind: "unavailable", reason: NO_RESPONSE_REASON };
      }
      if (read.isErr()) {
        return { kind: "unavailable", reason: read.error.detail };
      }
      catalog.apply(read.value.filter((entry) => entry !== undefined));
    }
    const job = catalog.getJob(id);
    const isOfQueue = job?.record !== undefined && isJobOf(job.record, queue);
    const isOfOtherQueue = job?.record !== undefined && !isOfQueue;
    return { kind: "asked", job: isOfQueue ? job : undefined, isOfOtherQueue };
  }

  /** Gets the keys that a job may have, that of the given pool first. */
  private _getJobKeys(pool: string, job: string): readonly string[] {
    const pools = [...new Set([pool, ...this._deps.getPools()])];
    return pools.map((name) => formatJobKey({ kind: "job", pool: name, job }));
  }

  /**
   * Creates a key unless it exists, and responds at the deadline at the latest. A write that is
   * still in progress then is left to end: it has the submitter's id and takes effect once at most.
   */
  private async _create(creation: KeyCreation, deadline: number): Promise<SubmissionOutcome> {
    const { key } = creation;
    if (this._deps.silenceMonitor.isSilent) {
      return this._refuse(key, SILENCE_REASON);
    }
    const writing = this._write(creation, deadline);
    const outcome = await waitUntil(this._deps.clock, deadline, writing);
    if (outcome === undefined) {
      void writing.then((late) => {
        const sentence = "A write ended after the deadline of its submitter.";
        this._logOutcome(sentence, { key }, late);
      });
      return { kind: "unknown", reason: NO_RESPONSE_REASON };
    }
    return outcome;
  }

  /** Writes a key; a write with an unknown outcome is retried until the deadline. */
  private async _write(creation: KeyCreation, deadline: number): Promise<SubmissionOutcome> {
    const { clock, catalog } = this._deps;
    const { key } = creation;
    this._unresolvedWrites.add(key);
    const result = await this._writeOnce(creation);
    if (result.isOk()) {
      this._unresolvedWrites.resolve(key);
      catalog.apply(getStoredEntries(creation, result.value));
      return { kind: "stored", known: result.value.kind === "conflict" };
    }
    return this._retryUnknown(creation, deadline, result.error, clock.now() + RETRY_MS);
  }

  private _writeOnce({
    key,
    value,
    others,
  }: KeyCreation): ResultAsync<TransactionResult, StoreFailure> {
    const { store } = this._deps;
    const write = { key, value, expected: 0 };
    const checks = others
      .slice(0, MAX_TRANSACTION_ROWS - 1)
      .map((other) => ({ key: other, expected: 0 }));
    return checks.length > 0
      ? store.transact({ checks, writes: [write] })
      : store.write(write).map((result) => {
          return result.kind === "written"
            ? result
            : { kind: result.kind, current: result.current === undefined ? [] : [result.current] };
        });
  }

  private async _retryUnknown(
    creation: KeyCreation,
    deadline: number,
    failure: StoreFailure,
    retryAt: number,
  ): Promise<SubmissionOutcome> {
    const { clock } = this._deps;
    const { key } = creation;
    const reason = failure.detail;
    if (!failure.mayHaveWritten) {
      this._unresolvedWrites.removeAttempt(key);
      return this._refuse(key, reason);
    }
    if (retryAt >= deadline) {
      return { kind: "unknown", reason };
    }
    await clock.sleep(retryAt - clock.now());
    // What is sent during an interruption would only be noticed to be lost after its timeout.
    return this._deps.silenceMonitor.isSilent
      ? this._retryUnknown(creation, deadline, failure, clock.now() + RETRY_MS)
      : this._write(creation, deadline);
  }

  /**
   * Refuses to write a key, unless an earlier attempt to write it has taken effect meanwhile or may
   * still do so.
   */
  private _refuse(key: string, reason: string): SubmissionOutcome {
    if (this._isStored(key)) {
      return { kind: "stored", known: true };
    }
    return { kind: this._unresolvedWrites.has(key) ? "unknown" : "refused", reason };
  }

  private _isStored(key: string): boolean {
    const parsed = parseJobKey(key);
    const job = parsed === undefined ? undefined : this._deps.catalog.getJob(parsed.job);
    if (parsed?.kind === "cancel" && parsed.queueDigest !== undefined) {
      return job?.cancelledQueues.has(parsed.queueDigest) === true;
    }
    return parsed?.kind === "cancel" ? job?.isCancelled === true : job?.record !== undefined;
  }
}

/** Returns the keys that the store holds after an attempt to create one. */
function getStoredEntries(
  { key, value }: KeyCreation,
  result: TransactionResult,
): readonly StoreEntry[] {
  return result.kind === "written" ? [{ key, value, revision: result.revision }] : result.current;
}
