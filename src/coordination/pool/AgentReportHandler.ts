/**
 * Handles what agents report to the scheduler of a pool: it updates the table of workers,
 * reconciles the reported lists with the active runs, and tracks which run ends may be
 * acknowledged.
 */
import type { Clock } from "../../protocol/platform/Clock.ts";
import type { Log } from "../../protocol/platform/Log.ts";
import { AckTrackerTable } from "./AckTrackerTable.ts";
import type { AgentReport, FormerEnds, ObserveCall } from "./AgentChannel.ts";
import type { CrashHandler } from "./CrashHandler.ts";
import type { LeaseGrants } from "./LeaseGrants.ts";
import type { JobUpdater } from "./JobUpdater.ts";
import type { PaceController } from "./PaceController.ts";
import type { PoolTimings } from "./PoolTimings.ts";
import type { PoolState } from "./PoolState.ts";
import { ReportReconciler, type ReportInput } from "./ReportReconciler.ts";
import type { RunController } from "./RunController.ts";
import { isTried } from "./taskPlacement.ts";

/**
 * Longest wait for a report of a worker on which a suspected task is tried, or which gets its lease
 * with one of the next calls, in milliseconds.
 */
const SHORT_WAIT_MS = 100;

/** Dependencies of a report handler. */
export interface AgentReportHandlerDependencies {
  readonly state: PoolState;
  readonly clock: Clock;
  readonly log: Log;
  readonly epoch: number;
  readonly timings: PoolTimings;
  readonly updater: JobUpdater;
  readonly crashHandler: CrashHandler;
  readonly runController: RunController;
  readonly paceController: PaceController;
  readonly grants: Pick<LeaseGrants, "mayGrant" | "isWithheld">;
}

/** Handles the reports of one scheduler's agents. */
export class AgentReportHandler {
  private readonly _deps: AgentReportHandlerDependencies;
  private readonly _ackTrackers = new AckTrackerTable();

  /**
   * Creates a handler.
   * @param deps - State, timings and the components that reports are passed to.
   */
  constructor(deps: AgentReportHandlerDependencies) {
    this._deps = deps;
  }

  /**
   * Creates the next observe call to an agent.
   * @param agent - Name of the agent.
   */
  createObserveCall(agent: string): ObserveCall {
    const { epoch, grants } = this._deps;
    const { workerTable } = this._deps.state;
    const worker = workerTable.getWorker(agent)?.report.worker ?? "";
    const known = workerTable.getAgent(agent);
    return {
      epoch,
      worker,
      leaseUntilMs: grants.mayGrant(agent) ? workerTable.grantLease(agent) : undefined,
      ackedEnd: this._ackTrackers.getAckedEnd(agent, worker),
      knownVersion: known?.version ?? 0,
      knownProcess: known?.process ?? "",
      waitMs: this._getWaitMs(agent),
    };
  }

  /**
   * Returns a shorter wait where tasks may disturb each other, as measurements are then needed as
   * often as they change, where a suspected task is tried, which keeps its worker from others, and
   * where a worker waits for its lease.
   */
  private _getWaitMs(agent: string): number {
    const { state, timings, grants } = this._deps;
    const tasks = state.activeRuns.getByAgent(agent).map(({ task }) => task);
    if (tasks.some(isTried) || grants.isWithheld(agent)) {
      return SHORT_WAIT_MS;
    }
    const definitions = tasks.map(({ definition }) => definition);
    const mayDisturb =
      definitions.some(({ usesIdleProcessors }) => usesIdleProcessors) &&
      definitions.some(({ latencyTargetMs }) => latencyTargetMs !== undefined);
    return mayDisturb ? timings.measureWaitMs : timings.observeWaitMs;
  }

  /**
   * Handles a report.
   * @param agent - Agent that sent the report.
   * @param report - The report.
   * @returns Whether runs or the worker have changed.
   */
  handleReport(agent: string, report: AgentReport): boolean {
    const { clock, log, state, crashHandler, paceController } = this._deps;
    const now = clock.now();
    // Before the runs of a former incarnation count as lost, which ended before it was replaced.
    report.formerEnds.forEach((former) => {
      this._handleFormerEnds(agent, former);
    });
    report.crashes.forEach((crash) => {
      crashHandler.handleCrash(agent, crash);
    });
    const change = state.workerTable.applyReport(agent, report, now);
    if (change.replacedWorker !== undefined) {
      log.info("Worker of the agent was replaced by another one.", {
        ...{ agent, worker: report.worker?.worker, former: change.replacedWorker },
        process: report.process,
      });
    }
    // The first report of a process usually has no lists yet, and no later one tells it from its
    // predecessor.
    if (change.isNewProcess) {
      state.activeRuns.resetCallNumbers(agent, report.process);
    }
    // The lists of an incarnation that was not accepted do not count.
    if (report.worker === undefined || change.worker?.report !== report.worker) {
      return change.isNews;
    }
    this._reconcile({ agent, process: report.process, report: report.worker, now });
    if (report.worker.answers) {
      paceController.handleReport(agent, report.worker, now);
    }
    return change.isNews;
  }

  private _reconcile(input: Omit<ReportInput, "lastHandledEnd">): void {
    const { agent, report } = input;
    const { lastHandledEnd } = this._ackTrackers.getTracker(agent, report.worker);
    const reconciler = this._createReconciler(agent, report.worker);
    reconciler.reconcile({ ...input, lastHandledEnd });
  }

  private _handleFormerEnds(agent: string, { worker, ended }: FormerEnds): void {
    this._deps.log.info("Agent reported ended runs of a former incarnation.", {
      ...{ agent, worker, ends: ended.length },
    });
    const { lastHandledEnd } = this._ackTrackers.getTracker(agent, worker);
    const unhandled = ended.filter(({ number }) => number > lastHandledEnd);
    this._createReconciler(agent, worker).handleEnds(worker, unhandled);
  }

  private _createReconciler(agent: string, worker: string): ReportReconciler {
    const { state, updater, runController } = this._deps;
    const ackTracker = this._ackTrackers.getTracker(agent, worker);
    return new ReportReconciler(state.activeRuns, {
      getTask: (id) => state.getTask(id),
      onRunEnded: (taskRun, ended) => {
        ackTracker.addEnd(ended.number);
        updater.handleRunEnd(taskRun, ended, () => {
          ackTracker.markRecorded(ended.number);
        });
      },
      onUnknownRunEnded: (ended) => {
        ackTracker.addEnd(ended.number);
        updater.handleInactiveRunEnd({ agent, worker }, ended, () => {
          ackTracker.markRecorded(ended.number);
        });
      },
      onRunAtWork: (taskRun) => {
        updater.handleRunAtWork(taskRun);
      },
      onRunLost: (taskRun, reason) => {
        updater.handleLostRun(taskRun, reason);
      },
      onUnknownRun: ({ task, run }) => {
        runController.stopUnknownRun(agent, worker, { task, run });
      },
    });
  }
}
