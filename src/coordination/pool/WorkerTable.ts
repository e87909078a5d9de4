/**
 * Workers of a pool as their agents report them to the scheduler: their resources, when they last
 * responded, until when their leases may be valid, and what is committed on them.
 */
import {
  addResources,
  NO_RESOURCES,
  subtractResources,
  type Resources,
} from "../../protocol/Resources.ts";
import type { AgentRecord } from "../../state/pool/records.ts";
import type { AgentReport, WorkerReport } from "./AgentChannel.ts";
import { getStartTime } from "./incarnations.ts";
import { getLeaseExpiryWaitMs, MAX_CLOCK_DRIFT, type PoolTimings } from "./PoolTimings.ts";

/** Time without a report after which nothing new is placed on a worker, in milliseconds. */
const MAX_SILENCE_MS = 2_000;
/** Time for which nothing is placed on a worker that refused a start, in milliseconds. */
const REFUSAL_BACKOFF_MS = 300;
/** The same if the cause of the refusal is expected to last, in milliseconds. */
const LASTING_REFUSAL_BACKOFF_MS = 1_000;

/** A worker as its agent last reported it. */
export interface WorkerState {
  readonly agent: string;
  readonly report: WorkerReport;
  /** Process of the agent that sent the report. */
  readonly process: string;
  /** When the report arrived, on the scheduler's monotonic clock, in milliseconds. */
  readonly reportedAt: number;
  /** When the worker last responded to its agent as far as known, in milliseconds. */
  readonly answeredAt: number;
  /** Time by which every lease given to it has certainly ended. */
  readonly leasesExpireBy: number;
  /** Earliest time at which a draining worker may exit; undefined for others. */
  readonly mayExitAt: number | undefined;
  /** Nothing is placed on it before this time. */
  readonly backoffUntil: number;
}

/** A registered agent and the state of its last response. */
export interface AgentState {
  readonly name: string;
  readonly record: AgentRecord;
  /** Identity of the agent process that responded last. */
  readonly process: string | undefined;
  /** The process that it replaced; undefined for none. */
  readonly formerProcess: string | undefined;
  readonly version: number;
  /** When it last responded; undefined if it has not responded yet. */
  readonly answeredAt: number | undefined;
}

/** Changes that a report made. */
export interface ReportChange {
  readonly worker: WorkerState | undefined;
  /**
   * Incarnation of the worker that was replaced; undefined if none was.
   */
  readonly replacedWorker: string | undefined;
  /** Whether this is the first report of a process that replaced another one. */
  readonly isNewProcess: boolean;
  /** Whether runs or the worker have changed; otherwise only progress and measurements are new. */
  readonly isNews: boolean;
}

/** Agents and workers of one pool. */
export class WorkerTable {
  private readonly _pool: string;
  private readonly _timings: PoolTimings;
  private readonly _agents = new Map<string, AgentState>();
  private readonly _workers = new Map<string, WorkerState>();
  private readonly _committed = new Map<string, Resources>();

  /**
   * Creates an empty table.
   * @param pool - Name of the pool.
   * @param timings - Timings of the pool.
   */
  constructor(pool: string, timings: PoolTimings) {
    this._pool = pool;
    this._timings = timings;
  }

  get agents(): readonly AgentState[] {
    return [...this._agents.values()];
  }

  /** Workers of the pool, one for each agent. */
  get workers(): readonly WorkerState[] {
    return [...this._workers.values()].filter(({ report }) => report.pool === this._pool);
  }

  /**
   * Returns an agent.
   * @param name - Its name.
   */
  getAgent(name: string): AgentState | undefined {
    return this._agents.get(name);
  }

  /**
   * Returns the worker of an agent.
   * @param agent - Name of the agent.
   */
  getWorker(agent: string): WorkerState | undefined {
    return this._workers.get(agent);
  }

  /**
   * Adds or updates the registration of an agent.
   * @param name - Its name.
   * @param record - The registration.
   */
  setAgent(name: string, record: AgentRecord): void {
    const known = this._agents.get(name);
    this._agents.set(name, {
      process: undefined,
      formerProcess: undefined,
      version: 0,
      answeredAt: undefined,
      ...known,
      name,
      record,
    });
  }

  /**
   * Applies a report of an agent. A worker that may hold a lease is kept if an earlier incarnation is
   * reported that it has not confirmed: an agent of a former version may have heard a late
   * announcement.
   * @param agent - Its name.
   * @param report - The report.
   * @param now - Monotonic time of its arrival in milliseconds.
   */
  applyReport(agent: string, report: AgentReport, now: number): ReportChange {
    const state = this._agents.get(agent);
    const isNewProcess = state?.process !== undefined && state.process !== report.process;
    const isNews = state?.process !== report.process || state.version !== report.version;
    if (state !== undefined) {
      const { process, version } = report;
      const formerProcess = isNewProcess ? state.process : state.formerProcess;
      this._agents.set(agent, { ...state, process, formerProcess, version, answeredAt: now });
    }
    const known = this._workers.get(agent);
    if (report.worker === undefined || isEarlier(report.worker, known, now)) {
      return { worker: known, replacedWorker: undefined, isNewProcess, isNews };
    }
    const { process } = report;
    const worker = { ...this._merge(agent, report.worker, known, now), process };
    this._workers.set(agent, worker);
    const isReplaced = known !== undefined && known.report.worker !== report.worker.worker;
    if (isReplaced) {
      this._committed.delete(known.report.worker);
    }
    const replacedWorker = isReplaced ? known.report.worker : undefined;
    return { worker, replacedWorker, isNewProcess, isNews };
  }

  /**
   * Extends the lease of a worker and returns its end on the worker's clock.
   * @param agent - Name of the agent.
   * @returns The end; undefined if the worker has not been reported yet.
   */
  grantLease(agent: string): number | undefined {
    const worker = this._workers.get(agent);
    if (worker === undefined) {
      return undefined;
    }
    const { workerLeaseMs } = this._timings;
    // The worker's clock had reached the reported time before the report arrived here.
    const leasesExpireBy = Math.max(
      worker.leasesExpireBy,
      worker.answeredAt + getLeaseExpiryWaitMs(workerLeaseMs),
    );
    this._workers.set(agent, { ...worker, leasesExpireBy });
    return worker.report.clockMs + workerLeaseMs;
  }

  /**
   * Records that a worker refused a start, so that nothing is placed on it for a while.
   * @param agent - Name of the agent.
   * @param isLasting - Whether the cause is expected to last.
   * @param now - Monotonic time in milliseconds.
   */
  recordRefusal(agent: string, isLasting: boolean, now: number): void {
    const backoffUntil = now + (isLasting ? LASTING_REFUSAL_BACKOFF_MS : REFUSAL_BACKOFF_MS);
    this._update(agent, () => ({ backoffUntil }));
  }

  /**
   * Commits the resources of a run on a worker.
   * @param worker - Incarnation of the worker.
   * @param resources - The resources.
   */
  commit(worker: string, resources: Resources): void {
    this._committed.set(worker, addResources(this.getCommitted(worker), resources));
  }

  /**
   * Releases the resources of a run on a worker.
   * @param worker - Incarnation of the worker.
   * @param resources - The resources.
   */
  release(worker: string, resources: Resources): void {
    this._committed.set(worker, subtractResources(this.getCommitted(worker), resources));
  }

  /**
   * Returns the resources committed on a worker.
   * @param worker - Incarnation of the worker.
   */
  getCommitted(worker: string): Resources {
    return this._committed.get(worker) ?? NO_RESOURCES;
  }

  /**
   * Returns whether all that is committed on a worker fits its capacity, in the resources that a run
   * takes. The capacity may have become smaller since the run was placed.
   * @param agent - Name of the agent.
   * @param resources - Resources of the run, which are committed.
   */
  hasRoomFor(agent: string, resources: Resources): boolean {
    const report = this._workers.get(agent)?.report;
    if (report === undefined) {
      return true;
    }
    const free = subtractResources(report.capacity, this.getCommitted(report.worker));
    return (
      (resources.processorsMilli === 0 || free.processorsMilli >= 0) &&
      (resources.memoryBytes === 0 || free.memoryBytes >= 0) &&
      (resources.accelerators === 0 || free.accelerators >= 0)
    );
  }

  /**
   * Returns the workers that may be given new runs.
   * @param now - Monotonic time in milliseconds.
   */
  getSchedulable(now: number): readonly WorkerState[] {
    return this.workers.filter(
      (worker) =>
        !worker.report.draining &&
        worker.report.answers &&
        now - worker.reportedAt <= MAX_SILENCE_MS &&
        worker.backoffUntil <= now,
    );
  }

  private _merge(
    agent: string,
    report: WorkerReport,
    known: WorkerState | undefined,
    now: number,
  ): Omit<WorkerState, "process"> {
    const isKnown = known?.report.worker === report.worker;
    const isLater = !isKnown || report.clockMs > known.report.clockMs;
    return {
      agent,
      report,
      reportedAt: now,
      answeredAt: isLater ? now : known.answeredAt,
      leasesExpireBy: isKnown
        ? known.leasesExpireBy
        : now + getLeaseExpiryWaitMs(this._timings.workerLeaseMs),
      mayExitAt: report.draining ? now + report.drainRemainingMs : undefined,
      backoffUntil: isKnown ? known.backoffUntil : 0,
      ...this._findEndedLeases(report, now),
    };
  }

  /**
   * Returns when all leases of a worker have ended; undefined if one may still be valid. Whichever
   * scheduler granted them, they are counted from readings of the worker's clock that its agent had
   * received, so that none can outlast a report without a reading for the time of a lease.
   */
  private _findEndedLeases(
    { readingAgeMs }: WorkerReport,
    now: number,
  ): Pick<WorkerState, "answeredAt" | "leasesExpireBy"> | undefined {
    const answeredAt = now - readingAgeMs * (1 - MAX_CLOCK_DRIFT);
    const leasesExpireBy = answeredAt + getLeaseExpiryWaitMs(this._timings.workerLeaseMs);
    return now < leasesExpireBy ? undefined : { answeredAt, leasesExpireBy };
  }

  private _update(agent: string, getChange: (worker: WorkerState) => Partial<WorkerState>): void {
    const worker = this._workers.get(agent);
    if (worker !== undefined) {
      this._workers.set(agent, { ...worker, ...getChange(worker) });
    }
  }
}

/**
 * Returns whether a report, which the worker has not confirmed, is of an incarnation before the known
 * one, whose lease may be valid.
 */
function isEarlier(
  { worker, isConfirmed }: WorkerReport,
  known: WorkerState | undefined,
  now: number,
): boolean {
  return (
    !isConfirmed &&
    known !== undefined &&
    getStartTime(worker) < getStartTime(known.report.worker) &&
    now < known.leasesExpireBy
  );
}
