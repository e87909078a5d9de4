/**
 * Takes in what agents report to the scheduler of a pool: it keeps the table of workers, compares
 * the lists with what is booked, and follows which ends may be acknowledged.
 */
import type { Clock } from "../../protocol/platform/Clock.ts";
import type { Log } from "../../protocol/platform/Log.ts";
import { AckTracker } from "./AckTracker.ts";
import type { AgentReport, ObserveCall, WorkerReport } from "./AgentChannel.ts";
import type { JobUpdater } from "./JobUpdater.ts";
import type { PaceDirector } from "./PaceDirector.ts";
import type { PoolTerms } from "./PoolTerms.ts";
import type { PoolState } from "./PoolState.ts";
import { ReportReconciler, type ReportInput } from "./ReportReconciler.ts";
import type { RunDirector } from "./RunDirector.ts";

/** What an intake needs. */
export interface ReportIntakeParts {
  readonly state: PoolState;
  readonly clock: Clock;
  readonly log: Log;
  readonly epoch: number;
  readonly terms: PoolTerms;
  readonly updater: JobUpdater;
  readonly director: RunDirector;
  readonly paces: PaceDirector;
  /** Whether the scheduler's confirmation is recent enough to extend leases. */
  readonly mayGrant: () => boolean;
}

/** Reports of one scheduler's agents. */
export class ReportIntake {
  private readonly _parts: ReportIntakeParts;
  private readonly _acks = new Map<string, AckTracker>();

  /**
   * Creates an intake.
   * @param parts - What it needs.
   */
  constructor(parts: ReportIntakeParts) {
    this._parts = parts;
  }

  /**
   * Gives the next question to an agent.
   * @param agent - Name of the agent.
   */
  createObserve(agent: string): ObserveCall {
    const { epoch, mayGrant } = this._parts;
    const { table } = this._parts.state;
    const worker = table.getWorker(agent)?.report.worker ?? "";
    return {
      epoch,
      worker,
      leaseUntilMs: mayGrant() ? table.grant(agent) : undefined,
      ackedEnd: this._acks.get(worker)?.ackedEnd ?? 0,
      knownVersion: table.getAgent(agent)?.version ?? 0,
      waitMs: this._getWaitMs(agent),
    };
  }

  /** Where tasks may disturb each other, measures are wanted as often as they change. */
  private _getWaitMs(agent: string): number {
    const { state, terms } = this._parts;
    const definitions = state.book.getByAgent(agent).map(({ task }) => task.definition);
    const mayDisturb =
      definitions.some(({ usesIdleProcessors }) => usesIdleProcessors) &&
      definitions.some(({ latencyTargetMs }) => latencyTargetMs !== undefined);
    return mayDisturb ? terms.measureWaitMs : terms.observeWaitMs;
  }

  /**
   * Takes a report in.
   * @param agent - Agent that reported.
   * @param report - The report.
   */
  handle(agent: string, report: AgentReport): void {
    const { clock, log, state, paces } = this._parts;
    const now = clock.now();
    const change = state.table.apply(agent, report, now);
    if (change.replaced !== undefined) {
      log.info("Another worker is in place.", { agent, worker: report.worker?.worker });
    }
    // Lists of a worker that does not answer are old, or not there at all.
    if (report.worker?.answers !== true || change.worker === undefined) {
      return;
    }
    const { seenEnd } = change.worker;
    const { isNewProcess } = change;
    this._reconcile({ agent, report: report.worker, seenEnd, isNewProcess, now });
    state.table.noteEnds(agent, report.worker.ended.at(-1)?.number ?? 0);
    paces.handle(agent, report.worker, now);
  }

  private _reconcile(input: ReportInput): void {
    const { state, updater, director } = this._parts;
    const { agent, report } = input;
    const acks = this._getAcks(report);
    const reconciler = new ReportReconciler(state.book, {
      getTask: (id) => state.getTask(id),
      onEnd: (booked, ended) => {
        acks.open(ended.number);
        updater.handleEnd(booked, ended, () => {
          acks.settle(ended.number);
        });
      },
      onIdleEnd: (ended) => {
        acks.open(ended.number);
        acks.settle(ended.number);
      },
      onVoid: (booked, reason) => {
        updater.handleVoid(booked, reason);
      },
      onStray: ({ task, run }) => {
        director.stopStray(agent, report.worker, { task, run });
      },
    });
    reconciler.handle(input);
  }

  private _getAcks({ worker }: WorkerReport): AckTracker {
    const acks = this._acks.get(worker) ?? new AckTracker();
    this._acks.set(worker, acks);
    return acks;
  }
}
