/**
 * The workers of a pool as its scheduler knows them from their agents: what they have, when they
 * were heard of, until when their leases may hold, and what is committed on them.
 */
import {
  addResources,
  NO_RESOURCES,
  subtractResources,
  type Resources,
} from "../../protocol/Resources.ts";
import type { AgentRecord } from "../../state/pool/records.ts";
import type { AgentReport, WorkerReport } from "./AgentChannel.ts";
import { getLapseMs, type PoolTerms } from "./PoolTerms.ts";

/** Silence after which nothing new is placed on a worker, in milliseconds. */
const SILENCE_MS = 2_000;
/** Time for which nothing is placed on a worker that refused a start, in milliseconds. */
const REFUSAL_PAUSE_MS = 300;
/** The same where the cause of the refusal will not pass at once. */
const LASTING_PAUSE_MS = 1_000;

/** A worker. */
export interface WorkerRecord {
  readonly agent: string;
  readonly report: WorkerReport;
  /** When the report arrived, on the scheduler's monotonic clock, in milliseconds. */
  readonly reportedAt: number;
  /** When the worker last answered its agent as far as known, in milliseconds. */
  readonly answeredAt: number;
  /** When every lease given to it has surely ended. */
  readonly lapsesAt: number;
  /** When a draining worker may end; undefined for others. */
  readonly leavesAt: number | undefined;
  /** Ends up to this number have been taken in. */
  readonly seenEnd: number;
  /** Nothing is placed on it before this time. */
  readonly pausedUntil: number;
}

/** An agent. */
export interface AgentState {
  readonly name: string;
  readonly record: AgentRecord;
  /** Identity of the process that answered last. */
  readonly process: string | undefined;
  readonly version: number;
  /** When it last answered; undefined where it has not. */
  readonly answeredAt: number | undefined;
}

/** What a report changed. */
export interface ReportChange {
  readonly worker: WorkerRecord | undefined;
  /** Incarnation that the agent had before and that is gone now. */
  readonly replaced: string | undefined;
  readonly isNewProcess: boolean;
}

/** Agents and workers of one pool. */
export class WorkerTable {
  private readonly _pool: string;
  private readonly _terms: PoolTerms;
  private readonly _agents = new Map<string, AgentState>();
  private readonly _workers = new Map<string, WorkerRecord>();
  private readonly _committed = new Map<string, Resources>();

  /**
   * Creates an empty table.
   * @param pool - Name of the pool.
   * @param terms - Times of the pool.
   */
  constructor(pool: string, terms: PoolTerms) {
    this._pool = pool;
    this._terms = terms;
  }

  get agents(): readonly AgentState[] {
    return [...this._agents.values()];
  }

  /** Workers of the pool, one for each agent. */
  get workers(): readonly WorkerRecord[] {
    return [...this._workers.values()].filter(({ report }) => report.pool === this._pool);
  }

  /**
   * Gives an agent.
   * @param name - Its name.
   */
  getAgent(name: string): AgentState | undefined {
    return this._agents.get(name);
  }

  /**
   * Gives the worker of an agent.
   * @param agent - Name of the agent.
   */
  getWorker(agent: string): WorkerRecord | undefined {
    return this._workers.get(agent);
  }

  /**
   * Takes in the registration of an agent.
   * @param name - Its name.
   * @param record - The registration.
   */
  setAgent(name: string, record: AgentRecord): void {
    const known = this._agents.get(name);
    this._agents.set(name, {
      process: undefined,
      version: 0,
      answeredAt: undefined,
      ...known,
      name,
      record,
    });
  }

  /**
   * Takes in what an agent reported.
   * @param agent - Its name.
   * @param report - The report.
   * @param now - Monotonic time of its arrival in milliseconds.
   */
  apply(agent: string, report: AgentReport, now: number): ReportChange {
    const state = this._agents.get(agent);
    const isNewProcess = state?.process !== undefined && state.process !== report.process;
    if (state !== undefined) {
      const { process, version } = report;
      this._agents.set(agent, { ...state, process, version, answeredAt: now });
    }
    const known = this._workers.get(agent);
    if (report.worker === undefined) {
      return { worker: known, replaced: undefined, isNewProcess };
    }
    const worker = this._merge(agent, report.worker, known, now);
    this._workers.set(agent, worker);
    const isReplaced = known !== undefined && known.report.worker !== report.worker.worker;
    if (isReplaced) {
      this._committed.delete(known.report.worker);
    }
    return { worker, replaced: isReplaced ? known.report.worker : undefined, isNewProcess };
  }

  /**
   * Notes that a worker is given a lease, and gives its end on the worker's clock.
   * @param agent - Name of the agent.
   * @returns The end; undefined where the worker has not been heard of.
   */
  grant(agent: string): number | undefined {
    const worker = this._workers.get(agent);
    if (worker === undefined) {
      return undefined;
    }
    const { workerLeaseMs } = this._terms;
    // The worker's clock had reached the reported time before the report arrived here.
    const lapsesAt = Math.max(worker.lapsesAt, worker.answeredAt + getLapseMs(workerLeaseMs));
    this._workers.set(agent, { ...worker, lapsesAt });
    return worker.report.clockMs + workerLeaseMs;
  }

  /**
   * Notes that ends of a worker were taken in.
   * @param agent - Name of the agent.
   * @param seenEnd - Number of the last one.
   */
  noteEnds(agent: string, seenEnd: number): void {
    this._change(agent, (worker) => ({ seenEnd: Math.max(worker.seenEnd, seenEnd) }));
  }

  /**
   * Notes that a worker refused a start.
   * @param agent - Name of the agent.
   * @param isLasting - Whether the cause will not pass at once.
   * @param now - Monotonic time in milliseconds.
   */
  noteRefusal(agent: string, isLasting: boolean, now: number): void {
    const pausedUntil = now + (isLasting ? LASTING_PAUSE_MS : REFUSAL_PAUSE_MS);
    this._change(agent, () => ({ pausedUntil }));
  }

  /**
   * Commits what a run asks for on a worker.
   * @param worker - Incarnation of the worker.
   * @param resources - Amount.
   */
  commit(worker: string, resources: Resources): void {
    this._committed.set(worker, addResources(this.getCommitted(worker), resources));
  }

  /**
   * Releases what a run held on a worker.
   * @param worker - Incarnation of the worker.
   * @param resources - Amount.
   */
  release(worker: string, resources: Resources): void {
    this._committed.set(worker, subtractResources(this.getCommitted(worker), resources));
  }

  /**
   * Gives what is committed on a worker.
   * @param worker - Incarnation of the worker.
   */
  getCommitted(worker: string): Resources {
    return this._committed.get(worker) ?? NO_RESOURCES;
  }

  /**
   * Gives the workers that may be given new runs.
   * @param now - Monotonic time in milliseconds.
   */
  getUsable(now: number): readonly WorkerRecord[] {
    return this.workers.filter(
      (worker) =>
        !worker.report.draining &&
        worker.report.answers &&
        now - worker.reportedAt <= SILENCE_MS &&
        worker.pausedUntil <= now,
    );
  }

  private _merge(
    agent: string,
    report: WorkerReport,
    known: WorkerRecord | undefined,
    now: number,
  ): WorkerRecord {
    const isKnown = known?.report.worker === report.worker;
    const isLater = !isKnown || report.clockMs > known.report.clockMs;
    return {
      agent,
      report,
      reportedAt: now,
      answeredAt: isLater ? now : known.answeredAt,
      lapsesAt: isKnown ? known.lapsesAt : now + getLapseMs(this._terms.workerLeaseMs),
      leavesAt: report.draining ? now + report.drainRemainingMs : undefined,
      seenEnd: isKnown ? known.seenEnd : 0,
      pausedUntil: isKnown ? known.pausedUntil : 0,
    };
  }

  private _change(agent: string, getChange: (worker: WorkerRecord) => Partial<WorkerRecord>): void {
    const worker = this._workers.get(agent);
    if (worker !== undefined) {
      this._workers.set(agent, { ...worker, ...getChange(worker) });
    }
  }
}
