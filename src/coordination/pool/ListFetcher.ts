/**
 * Fetches the lists of an agent's worker, with calls that also extend the lease and acknowledge ends.
 * Calls may overlap, and the worker may be replaced while one is in progress.
 */
import type { Clock } from "../../protocol/platform/Clock.ts";
import type { Log } from "../../protocol/platform/Log.ts";
import type {
  PoolWorker,
  WorkerAnnouncement,
  WorkerCallFailure,
  WorkerRuns,
} from "../../protocol/platform/PoolWorker.ts";
import type { CrashDetector } from "./CrashDetector.ts";
import type { FencingToken } from "./FencingToken.ts";
import { formatIncarnation } from "./incarnations.ts";
import type { ListedEnds } from "./ListedEnds.ts";
import { describeRuns } from "./workerChanges.ts";
import { WorkerLists } from "./WorkerLists.ts";
import type { NumberedLists } from "./workerReport.ts";

/** Dependencies of ListFetcher. */
export interface ListFetcherDependencies {
  readonly worker: PoolWorker;
  readonly clock: Clock;
  readonly log: Log;
  readonly ends: ListedEnds;
  readonly crashDetector: CrashDetector;
  readonly fencingToken: FencingToken;
  /** Gets the last announcement of the worker; undefined for none. */
  readonly getWorker: () => WorkerAnnouncement | undefined;
  /** Gets the epoch that the agent follows. */
  readonly getEpoch: () => number;
  /** Called when the agent's report has changed. */
  readonly onChange: () => void;
}

/** Fetches the lists of one agent's worker. */
export class ListFetcher {
  private readonly _deps: ListFetcherDependencies;
  private readonly _lists = new WorkerLists();
  /**
   * Whether the worker has responded to the last call for its lists. After a call that failed, the
   * next incarnation may be at its address, although it has not announced itself: it must get no
   * lease, start or acknowledgement that was meant for the one before.
   */
  private _responds = false;
  private _leaseUntilMs: number | undefined;
  private _callNumber = 0;
  private _isStopped = false;

  /**
   * Creates a fetcher without lists.
   * @param deps - Dependencies.
   */
  constructor(deps: ListFetcherDependencies) {
    this._deps = deps;
  }

  /** Whether the worker has responded to the last call. */
  get responds(): boolean {
    return this._responds;
  }

  /** Number of the last call. */
  get callNumber(): number {
    return this._callNumber;
  }

  /** The last lists; undefined if there are none, or they are outdated. */
  get present(): NumberedLists | undefined {
    return this._lists.present;
  }

  /** When the last lists arrived, outdated or not, on the monotonic clock, in milliseconds. */
  get listedAt(): number | undefined {
    return this._lists.listedAt;
  }

  /**
   * Extends the lease that calls give to the worker.
   * @param leaseUntilMs - Its end on the worker's clock, in milliseconds; undefined leaves it unchanged.
   */
  extendLease(leaseUntilMs: number | undefined): void {
    if (leaseUntilMs !== undefined) {
      this._leaseUntilMs = Math.max(this._leaseUntilMs ?? 0, leaseUntilMs);
    }
  }

  /** Makes the lists outdated, for a scheduler of a later epoch. */
  expire(): void {
    // They do not reflect orders of a former scheduler that are still in progress.
    this._responds = false;
    this._lists.expire();
  }

  /** Forgets everything, for another incarnation. */
  reset(): void {
    this._lists.reset();
    this._responds = false;
    this._leaseUntilMs = undefined;
  }

  /** Ignores the results of calls that are in progress. */
  stop(): void {
    this._isStopped = true;
  }

  /**
   * Fetches the worker's lists.
   * @param waitMs - Time that the worker may wait for an end of a run, in milliseconds.
   * @returns Whether the worker responded.
   */
  async fetch(waitMs: number): Promise<boolean> {
    const { worker: client, ends, getWorker, getEpoch, onChange } = this._deps;
    const worker = getWorker();
    const fencingToken = this._deps.fencingToken.value;
    if (worker === undefined || fencingToken === undefined) {
      return false;
    }
    this._callNumber += 1;
    const callNumber = this._callNumber;
    const epoch = getEpoch();
    const known = this._lists.present;
    const result = await client.sync({
      worker: worker.id,
      fencingToken,
      leaseUntilMs: this._responds ? this._leaseUntilMs : undefined,
      ackedEnd: this._responds ? ends.ackedEnd : 0,
      waitMs: this._responds ? waitMs : 0,
    });
    if (result.isOk() && ends.add(worker, result.value)) {
      onChange();
    }
    if (getEpoch() !== epoch || !this._isPresent(worker) || this._isStopped) {
      return result.isOk();
    }
    if (result.isErr()) {
      const { kind } = result.error;
      if (kind === "fenced" && this._deps.fencingToken.handleRefusal(fencingToken)) {
        return this.fetch(waitMs);
      }
      this._handleFailure(result.error);
      return false;
    }
    const lists = result.value;
    if ((lists.startedAtMs ?? worker.startedAtMs) !== worker.startedAtMs) {
      // The response is from another incarnation, which has not announced itself yet.
      this._handleFailure({ kind: "wrong-worker", detail: "another incarnation responded" });
      return false;
    }
    if (this._lists.wasOvertaken(lists, known)) {
      // The next call of the loop follows; a call that does not wait was sent for lists from now on.
      return waitMs > 0 ? true : this.fetch(0);
    }
    this._apply(lists, callNumber);
    return true;
  }

  private _isPresent({ id, startedAtMs }: WorkerAnnouncement): boolean {
    const present = this._deps.getWorker();
    return (
      present !== undefined &&
      formatIncarnation(present.id, present.startedAtMs) === formatIncarnation(id, startedAtMs)
    );
  }

  private _apply(runs: WorkerRuns, callNumber: number): void {
    const { clock, crashDetector, onChange } = this._deps;
    const known = this._lists.present;
    this._lists.replace(runs, callNumber, clock.now());
    crashDetector.recordLists(runs);
    const isNew =
      !this._responds || known === undefined || describeRuns(known) !== describeRuns(runs);
    this._responds = true;
    if (isNew) {
      onChange();
    }
  }

  private _handleFailure({ kind, detail }: WorkerCallFailure): void {
    const { crashDetector, fencingToken, log, onChange } = this._deps;
    crashDetector.recordSilence();
    if (this._responds) {
      log.warn("Listing the worker's runs failed; it is retried.", { kind, detail });
      this._responds = false;
      // The next incarnation may respond before it announces itself.
      fencingToken.expire();
      onChange();
    }
  }
}
