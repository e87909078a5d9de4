/**
 * Notices when a worker crashes and reports how long the runs on it had been started, since one of
 * them may have caused it. A worker has crashed if it stops responding and another incarnation is
 * then confirmed to the same process of its agent, without a drain before. A lost VM ends the agent
 * as well, so that it does not count.
 */
import type { Clock } from "../../protocol/platform/Clock.ts";
import type { Log } from "../../protocol/platform/Log.ts";
import type { WorkerAnnouncement, WorkerRuns } from "../../protocol/platform/PoolWorker.ts";
import { formatRunKey } from "./ActiveRunTable.ts";
import type { RunOrder, WorkerCrash } from "./AgentChannel.ts";
import { formatIncarnation } from "./incarnations.ts";

/** Maximum number of crashes that are kept for schedulers that do not know them yet. */
const MAX_CRASHES = 20;
/**
 * Time for which a run that the worker does not list counts as present, in milliseconds: its start
 * may be executed late.
 */
const MAX_UNLISTED_MS = 12_000;

interface SentStart extends RunOrder {
  readonly sentAt: number;
}

interface KnownCrash extends WorkerCrash {
  /** First version of the agent's report that includes the crash. */
  readonly version: number;
}

/** Dependencies of CrashDetector. */
export interface CrashDetectorDependencies {
  readonly clock: Clock;
  readonly log: Log;
  /** Gets the version of the agent's report that includes the next change. */
  readonly getNextVersion: () => number;
}

/** Notices the crashes of one agent's worker. */
export class CrashDetector {
  private readonly _deps: CrashDetectorDependencies;
  /** Starts that were sent to the present incarnation, of runs that may be on it. */
  private readonly _starts = new Map<string, SentStart>();
  private _crashes: readonly KnownCrash[] = [];
  /** When the first of the failed calls since the last response ended; undefined for none. */
  private _silentSince: number | undefined;

  /**
   * Creates a detector.
   * @param deps - Dependencies.
   */
  constructor(deps: CrashDetectorDependencies) {
    this._deps = deps;
  }

  /**
   * Returns whether a start was sent to the present incarnation and its run may be there.
   * @param order - The run.
   */
  hasStart({ task, run }: RunOrder): boolean {
    return this._starts.has(formatRunKey(task, run));
  }

  /**
   * Records that a start is sent to the worker.
   * @param order - The run.
   */
  recordStart({ task, run }: RunOrder): void {
    const key = formatRunKey(task, run);
    const sentAt = this._starts.get(key)?.sentAt ?? this._deps.clock.now();
    this._starts.set(key, { task, run, sentAt });
  }

  /**
   * Records that the worker has refused a start.
   * @param order - The run.
   */
  recordRefusal({ task, run }: RunOrder): void {
    this._starts.delete(formatRunKey(task, run));
  }

  /**
   * Records that the worker has responded; runs that have ended are no longer on it.
   * @param lists - Its lists of runs.
   */
  recordLists({ running, ended }: WorkerRuns): void {
    this._silentSince = undefined;
    const now = this._deps.clock.now();
    const listed = new Set(running.map(({ task, run }) => formatRunKey(task, run)));
    ended.forEach((end) => {
      this.recordRefusal(end);
    });
    [...this._starts]
      .filter(([key, { sentAt }]) => !listed.has(key) && now - sentAt > MAX_UNLISTED_MS)
      .forEach(([key]) => this._starts.delete(key));
  }

  /** Records that the worker has not responded. */
  recordSilence(): void {
    this._silentSince ??= this._deps.clock.now();
  }

  /**
   * Handles that the next incarnation is there.
   * @param former - Last announcement of the one before; undefined if there was none.
   */
  replaceWorker(former: WorkerAnnouncement | undefined): void {
    const runs = this._getRuns();
    this._starts.clear();
    this._silentSince = undefined;
    if (former === undefined || former.draining || runs.length === 0) {
      return;
    }
    const { log, getNextVersion } = this._deps;
    const worker = formatIncarnation(former.id, former.startedAtMs);
    const crash = { worker, runs, version: getNextVersion() };
    this._crashes = [...this._crashes, crash].slice(-MAX_CRASHES);
    log.warn("Worker has crashed with runs on it.", { worker, runs: runs.length });
  }

  /**
   * Returns the crashes that a version of the agent's report did not include.
   * @param knownVersion - The version; 0 returns all.
   */
  getLaterThan(knownVersion: number): readonly WorkerCrash[] {
    return this._crashes
      .filter(({ version }) => version > knownVersion)
      .map(({ worker, runs }) => ({ worker, runs }));
  }

  /** Returns the runs that were on the worker when it stopped responding; none if it did not. */
  private _getRuns(): WorkerCrash["runs"] {
    const silentSince = this._silentSince;
    return silentSince === undefined
      ? []
      : [...this._starts.values()].map(({ task, run, sentAt }) => {
          return { task, run, elapsedMs: Math.max(0, silentSince - sentAt) };
        });
  }
}
