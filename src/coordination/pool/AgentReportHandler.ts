/**
 * Takes in what agents report to the scheduler of a pool: it keeps the table of workers, compares
 * the lists with what is booked, and follows which ends may be acknowledged.
 */
import type { Clock } from "../../protocol/platform/Clock.ts";
import type { Log } from "../../protocol/platform/Log.ts";
import { AckTracker } from "./AckTracker.ts";
import type { AgentReport, ObserveCall, WorkerReport } from "./AgentChannel.ts";
import type { JobUpdater } from "./JobUpdater.ts";
import type { PaceController } from "./PaceController.ts";
import type { PoolTimings } from "./PoolTimings.ts";
import type { PoolState } from "./PoolState.ts";
import { ReportReconciler, type ReportInput } from "./ReportReconciler.ts";
import type { RunController } from "./RunController.ts";

/** What an intake needs. */
export interface AgentReportHandlerDependencies {
  readonly state: PoolState;
  readonly clock: Clock;
  readonly log: Log;
  readonly epoch: number;
  readonly timings: PoolTimings;
  readonly updater: JobUpdater;
  readonly runController: RunController;
  readonly paceController: PaceController;
  /** Whether the scheduler's confirmation is recent enough to extend leases. */
  readonly mayGrantLeases: () => boolean;
}

/** Reports of one scheduler's agents. */
export class AgentReportHandler {
  private readonly _deps: AgentReportHandlerDependencies;
  private readonly _ackTrackers = new Map<string, AckTracker>();

  /**
   * Creates an intake.
   * @param deps - What it needs.
   */
  constructor(deps: AgentReportHandlerDependencies) {
    this._deps = deps;
  }

  /**
   * Gives the next question to an agent.
   * @param agent - Name of the agent.
   */
  createObserveCall(agent: string): ObserveCall {
    const { epoch, mayGrantLeases: mayGrant } = this._deps;
    const { workerTable: table } = this._deps.state;
    const worker = table.getWorker(agent)?.report.worker ?? "";
    return {
      epoch,
      worker,
      leaseUntilMs: mayGrant() ? table.grantLease(agent) : undefined,
      ackedEnd: this._ackTrackers.get(worker)?.ackedEnd ?? 0,
      knownVersion: table.getAgent(agent)?.version ?? 0,
      waitMs: this._getWaitMs(agent),
    };
  }

  /** Where tasks may disturb each other, measures are wanted as often as they change. */
  private _getWaitMs(agent: string): number {
    const { state, timings: terms } = this._deps;
    const definitions = state.activeRuns.getByAgent(agent).map(({ task }) => task.definition);
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
  handleReport(agent: string, report: AgentReport): void {
    const { clock, log, state, paceController: paces } = this._deps;
    const now = clock.now();
    const change = state.workerTable.applyReport(agent, report, now);
    if (change.replacedWorker !== undefined) {
      log.info("Another worker is in place.", { agent, worker: report.worker?.worker });
    }
    // Lists of a worker that does not answer are old, or not there at all.
    if (report.worker?.answers !== true || change.worker === undefined) {
      return;
    }
    const { lastHandledEnd: seenEnd } = change.worker;
    const { isNewProcess } = change;
    this._reconcile({ agent, report: report.worker, lastHandledEnd: seenEnd, isNewProcess, now });
    state.workerTable.recordHandledEnds(agent, report.worker.ended.at(-1)?.number ?? 0);
    paces.handleReport(agent, report.worker, now);
  }

  private _reconcile(input: ReportInput): void {
    const { state, updater, runController: director } = this._deps;
    const { agent, report } = input;
    const acks = this._getAckTracker(report);
    const reconciler = new ReportReconciler(state.activeRuns, {
      getTask: (id) => state.getTask(id),
      onRunEnded: (booked, ended) => {
        acks.addEnd(ended.number);
        updater.handleRunEnd(booked, ended, () => {
          acks.markRecorded(ended.number);
        });
      },
      onUnknownRunEnded: (ended) => {
        acks.addEnd(ended.number);
        acks.markRecorded(ended.number);
      },
      onRunLost: (booked, reason) => {
        updater.handleLostRun(booked, reason);
      },
      onUnknownRun: ({ task, run }) => {
        director.stopUnknownRun(agent, report.worker, { task, run });
      },
    });
    reconciler.reconcile(input);
  }

  private _getAckTracker({ worker }: WorkerReport): AckTracker {
    const acks = this._ackTrackers.get(worker) ?? new AckTracker();
    this._ackTrackers.set(worker, acks);
    return acks;
  }
}
