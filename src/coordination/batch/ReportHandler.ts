/**
 * Handles the reports of agents on the tasks of one partition and grants task leases.
 */
import type { Clock } from "../../protocol/platform/Clock.ts";
import type { AttemptRunner } from "./AttemptRunner.ts";
import type { BatchSettings } from "./BatchSettings.ts";
import { getLeaseExpiryWaitMs } from "./leaseDurations.ts";
import type { PartitionLog } from "./PartitionLog.ts";
import type { ActiveTask, ActiveTaskTable } from "./ActiveTaskTable.ts";

/** Phase of a task as its agent reports it; "unknown" until its worker has confirmed the start. */
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

/** Instruction to the agent for a task that it reported. */
export interface ReportVerdict {
  readonly task: string;
  readonly attempt: number;
  /** Whether the end is recorded, so that the agent may forget the task. */
  readonly recorded: boolean;
  /** Whether the agent must stop the task. */
  readonly stop: boolean;
}

/** Response to a report. */
export interface ReportAnswer {
  /** Lease of the running tasks that need not stop, counted from before the report was sent. */
  readonly leaseMs: number;
  readonly verdicts: readonly ReportVerdict[];
}

/** Dependencies of a report handler. */
export interface ReportHandlerDependencies {
  readonly cfg: BatchSettings;
  readonly clock: Clock;
  readonly log: PartitionLog;
  readonly activeTasks: ActiveTaskTable;
  readonly runner: AttemptRunner;
  /** Whether this owner may still grant leases. */
  readonly mayGrant: () => boolean;
}

/** Handles the reports on the tasks of one partition. */
export class ReportHandler {
  private readonly _deps: ReportHandlerDependencies;

  /**
   * Creates a handler.
   * @param deps - Its dependencies.
   */
  constructor(deps: ReportHandlerDependencies) {
    this._deps = deps;
  }

  /**
   * Handles a report.
   * @param agent - Name of the agent.
   * @param tasks - All tasks of the partition on its VM.
   * @param isEpochKnown - Whether the agent already rejects lease grants of previous owners.
   */
  handle(agent: string, tasks: readonly ReportedTask[], isEpochKnown: boolean): ReportAnswer {
    const { activeTasks, cfg, mayGrant, runner } = this._deps;
    const listed = new Set(tasks.map((reported) => reported.task));
    activeTasks
      .getByAgent(agent)
      .filter((active) => !listed.has(active.task))
      .filter((active) => active.state === "running" || active.state === "unconfirmed")
      .forEach((active) => {
        activeTasks.recordMissing(active.task);
      });
    const verdicts = tasks.map((reported) => this._getVerdict(agent, reported));
    runner.sendDueStops();
    if (!mayGrant()) {
      return { leaseMs: 0, verdicts };
    }
    this._recordGrants(agent, verdicts, isEpochKnown);
    return { leaseMs: cfg.taskLeaseMs, verdicts };
  }

  /**
   * Records the leases that a response grants. A report on an earlier attempt says nothing about the
   * lease of the current one, which may run on another VM under a previous owner.
   */
  private _recordGrants(
    agent: string,
    verdicts: readonly ReportVerdict[],
    isEpochKnown: boolean,
  ): void {
    const { activeTasks, cfg, clock } = this._deps;
    const leaseExpiresBy = clock.now() + getLeaseExpiryWaitMs(cfg);
    verdicts
      .filter((verdict) => !verdict.recorded && this._findActive(agent, verdict) !== undefined)
      .forEach((verdict) => {
        if (isEpochKnown) {
          activeTasks.setLeaseExpiry(verdict.task, leaseExpiresBy);
        } else {
          // The response may be lost, and a previous owner may grant leases until its horizon.
          activeTasks.extendLeaseExpiry(verdict.task, leaseExpiresBy);
        }
      });
  }

  private _getVerdict(agent: string, reported: ReportedTask): ReportVerdict {
    const { task, attempt, phase } = reported;
    const isEnded = phase === "stopped" || phase === "completed" || phase === "failed";
    const active = this._findActive(agent, reported);
    if (active === undefined) {
      return { task, attempt, recorded: isEnded, stop: !isEnded };
    }
    if (!isEnded) {
      return this._handleRunning(active, reported);
    }
    this._handleEnded(active, reported);
    return { task, attempt, recorded: false, stop: false };
  }

  /** Finds the task of a reported attempt if the attempt is the current one and on that VM. */
  private _findActive(
    agent: string,
    { task, attempt }: Pick<ReportedTask, "task" | "attempt">,
  ): ActiveTask | undefined {
    const active = this._deps.activeTasks.get(task);
    const isCurrent = active?.attempt === attempt && active.agent === agent;
    return isCurrent && active.state !== "recording" ? active : undefined;
  }

  private _handleRunning(active: ActiveTask, reported: ReportedTask): ReportVerdict {
    const { activeTasks, log, runner } = this._deps;
    const { task, attempt } = active;
    if (reported.phase !== "unknown") {
      activeTasks.apply(task, "REPORTED");
    }
    activeTasks.recordReport(task, reported.checkpoint);
    if (log.ledger.getJobOf(task)?.cancelled === true) {
      runner.cancel(task);
    }
    const state = activeTasks.get(task)?.state;
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
