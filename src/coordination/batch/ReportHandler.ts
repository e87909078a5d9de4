/**
 * Takes in the reports of agents on the tasks of one partition and grants their leases.
 */
import type { Clock } from "../../protocol/platform/Clock.ts";
import type { AttemptRunner } from "./AttemptRunner.ts";
import type { BatchSettings } from "./BatchSettings.ts";
import { getLeaseExpiryWaitMs } from "./leaseDurations.ts";
import type { PartitionLog } from "./PartitionLog.ts";
import type { ActiveTask, ActiveTaskTable } from "./ActiveTaskTable.ts";

/** Phase of a task as its agent reports it; "unknown" while its worker has not confirmed a start. */
export type ReportedPhase =
  "running" | "checkpointing" | "stopped" | "completed" | "failed" | "unknown";

/** A task as its agent reports it. */
export interface ReportedTask {
  readonly task: string;
  readonly attempt: number;
  readonly phase: ReportedPhase;
  readonly checkpoint: string;
  readonly reason: string;
}

/** What the agent is to do with a task that it reported. */
export interface ReportVerdict {
  readonly task: string;
  readonly attempt: number;
  /** Whether the agent may forget the task. */
  readonly recorded: boolean;
  /** Whether the agent must stop the task. */
  readonly stop: boolean;
}

/** Answer to a report. */
export interface ReportAnswer {
  /** Lease of the running tasks that need not stop, counted from before the report was sent. */
  readonly leaseMs: number;
  readonly verdicts: readonly ReportVerdict[];
}

/** What a handler needs. */
export interface ReportHandlerDependencies {
  readonly cfg: BatchSettings;
  readonly clock: Clock;
  readonly log: PartitionLog;
  readonly activeTasks: ActiveTaskTable;
  readonly runner: AttemptRunner;
  /** Whether this owner may still grant leases. */
  readonly mayGrant: () => boolean;
}

/** Handles the reports on one partition. */
export class ReportHandler {
  private readonly _deps: ReportHandlerDependencies;

  /**
   * Creates a handler.
   * @param parts - What it needs.
   */
  constructor(parts: ReportHandlerDependencies) {
    this._deps = parts;
  }

  /**
   * Takes in a report.
   * @param agent - Name of the agent.
   * @param tasks - All tasks of the partition on its VM.
   * @param isEpochKnown - Whether the agent refuses the grants of former owners already.
   */
  handle(agent: string, tasks: readonly ReportedTask[], isEpochKnown: boolean): ReportAnswer {
    const { activeTasks: book, cfg, mayGrant, runner } = this._deps;
    const listed = new Set(tasks.map((reported) => reported.task));
    book
      .getByAgent(agent)
      .filter((active) => !listed.has(active.task))
      .filter((active) => active.state === "running" || active.state === "unconfirmed")
      .forEach((active) => {
        book.recordMissing(active.task);
      });
    const verdicts = tasks.map((reported) => this._getVerdict(agent, reported));
    runner.sendDueStops();
    if (!mayGrant()) {
      return { leaseMs: 0, verdicts };
    }
    this._recordGrants(verdicts, isEpochKnown);
    return { leaseMs: cfg.taskLeaseMs, verdicts };
  }

  private _recordGrants(verdicts: readonly ReportVerdict[], isEpochKnown: boolean): void {
    const { activeTasks: book, cfg, clock } = this._deps;
    const lapsesAt = clock.now() + getLeaseExpiryWaitMs(cfg);
    verdicts
      .filter((verdict) => !verdict.recorded)
      .forEach((verdict) => {
        if (isEpochKnown) {
          book.setLeaseExpiry(verdict.task, lapsesAt);
        } else {
          // The answer may be lost, and a former owner may grant until its horizon.
          book.extendLeaseExpiry(verdict.task, lapsesAt);
        }
      });
  }

  private _getVerdict(agent: string, reported: ReportedTask): ReportVerdict {
    const { task, attempt, phase } = reported;
    const isEnded = phase === "stopped" || phase === "completed" || phase === "failed";
    const active = this._deps.activeTasks.get(task);
    if (active?.attempt !== attempt || active.agent !== agent || active.state === "recording") {
      return { task, attempt, recorded: isEnded, stop: !isEnded };
    }
    if (!isEnded) {
      return this._handleRunning(active, reported);
    }
    this._handleEnded(active, reported);
    return { task, attempt, recorded: false, stop: false };
  }

  private _handleRunning(active: ActiveTask, reported: ReportedTask): ReportVerdict {
    const { activeTasks: book, log, runner } = this._deps;
    const { task, attempt } = active;
    if (reported.phase !== "unknown") {
      book.apply(task, "REPORTED");
    }
    book.recordReport(task, reported.checkpoint);
    if (log.ledger.getJobOf(task)?.cancelled === true) {
      runner.cancel(task);
    }
    const state = book.get(task)?.state;
    return { task, attempt, recorded: false, stop: state === "settling" || state === "ending" };
  }

  private _handleEnded(active: ActiveTask, reported: ReportedTask): void {
    const { runner } = this._deps;
    const { task } = active;
    const { checkpoint, reason } = reported;
    if (reported.phase === "completed" || reported.phase === "failed") {
      void runner.end(task, reported.phase, reason, checkpoint);
      return;
    }
    void runner.end(task, "released", active.reason === "" ? reason : active.reason, checkpoint);
  }
}
