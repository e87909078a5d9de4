/**
 * A partition on the entry that owns it. Ownership begins with an epoch record in the log, which
 * supersedes the previous owner. The leases that previous owners granted are unknown, so their
 * tasks are left alone until their agents report them, or until the lease of every previous owner
 * has certainly expired.
 */
import { err, ok, type Result } from "neverthrow";
import type { Clock } from "../../protocol/platform/Clock.ts";
import type { Log } from "../../protocol/platform/Log.ts";
import type { Store } from "../../protocol/platform/Store.ts";
import type { BatchRecord } from "../../state/batch/BatchRecord.ts";
import type { PartitionLedger } from "../../state/batch/PartitionLedger.ts";
import type { FleetView } from "../../state/FleetView.ts";
import type { AgentGateway } from "./AgentGateway.ts";
import { AttemptRunner } from "./AttemptRunner.ts";
import type { BatchSettings } from "./BatchSettings.ts";
import { JobSubmissionService } from "./JobSubmissionService.ts";
import { getTakeoverWaitMs } from "./leaseDurations.ts";
import { getNextOwnerState, type OwnerState } from "./ownerLifecycle.ts";
import { PartitionLog, type AppendFailure, type PartitionLogCounts } from "./PartitionLog.ts";
import { PartitionReader } from "./PartitionReader.ts";
import { ReportHandler, type ReportAnswer, type ReportedTask } from "./ReportHandler.ts";
import type { AttemptResult } from "./Placer.ts";
import { ActiveTaskTable, type ActiveTask } from "./ActiveTaskTable.ts";

const PROBE_INTERVAL_MS = 2_000;

/** Dependencies of a partition owner. */
export interface PartitionOwnerDependencies {
  readonly cfg: BatchSettings;
  readonly partition: number;
  /** Name of the entry. */
  readonly entry: string;
  /** Identity of this process; never reused by another process. */
  readonly writer: string;
  readonly store: Store;
  readonly clock: Clock;
  readonly log: Log;
  readonly fleet: FleetView;
  readonly gateway: AgentGateway;
  /** Called when an attempt was accepted, refused, completed or failed. */
  readonly onOutcome: (result: Omit<AttemptResult, "now">) => void;
  /** Called once when another owner has superseded this one. */
  readonly onSuperseded: () => void;
  /** Called with the records of each commit. */
  readonly onCommitted?: ((records: readonly BatchRecord[]) => void) | undefined;
}

/** Owns one partition: writes its log, runs its tasks and handles its submissions and reports. */
export class PartitionOwner {
  readonly submissions: JobSubmissionService;
  readonly runner: AttemptRunner;
  private readonly _deps: PartitionOwnerDependencies;
  private readonly _log: PartitionLog;
  private readonly _activeTasks = new ActiveTaskTable();
  private readonly _reports: ReportHandler;
  private _state: OwnerState = "recovering";
  private _renewedAt = Number.NEGATIVE_INFINITY;
  private _nextProbeAt = 0;
  private _takeoverWaitMs = 0;
  private _isClaimed = false;

  private constructor(
    deps: PartitionOwnerDependencies,
    createLog: (onSuperseded: () => void) => PartitionLog,
  ) {
    this._deps = deps;
    this._log = createLog(() => {
      this._handleSuperseded();
    });
    const { cfg, clock, partition, fleet, gateway, onOutcome } = deps;
    const shared = { cfg, clock, log: this._log, activeTasks: this._activeTasks };
    const mayGrant = (): boolean => this.mayGrant;
    this.runner = new AttemptRunner({ ...shared, partition, fleet, gateway, mayGrant, onOutcome });
    this._reports = new ReportHandler({ ...shared, runner: this.runner, mayGrant });
    this.submissions = new JobSubmissionService(clock, this._log, cfg.retentionMs);
  }

  /**
   * Loads a partition and takes it over.
   * @param deps - Dependencies of the owner.
   * @returns The owner, or why the takeover failed.
   */
  static async takeOver(
    deps: PartitionOwnerDependencies,
  ): Promise<Result<PartitionOwner, AppendFailure>> {
    const loaded = await new PartitionReader(deps.store, deps.partition).read();
    if (loaded.isErr()) {
      return err("unavailable");
    }
    const { store, clock, partition, writer, cfg, onCommitted } = deps;
    const { commitIntervalMs } = cfg;
    const owner = new PartitionOwner(
      deps,
      (onSuperseded) =>
        new PartitionLog(
          {
            store,
            clock,
            partition,
            writer,
            commitIntervalMs,
            onSuperseded,
            onCommitted,
          },
          loaded.value,
        ),
    );
    const claimed = await owner._writeEpoch();
    return claimed.map(() => owner);
  }

  /** Number of the partition. */
  get partition(): number {
    return this._deps.partition;
  }

  /** Name of the owning entry. */
  get entry(): string {
    return this._deps.entry;
  }

  /** Epoch of this owner. */
  get epoch(): number {
    return this._log.epoch;
  }

  /** Lifecycle state of the ownership. */
  get state(): OwnerState {
    return this._state;
  }

  /** Jobs and tasks of the partition. */
  get ledger(): PartitionLedger {
    return this._log.ledger;
  }

  /** Active tasks with their states. */
  get activeTasks(): readonly ActiveTask[] {
    return this._activeTasks.getAll();
  }

  /** Whether the store accepts this owner's records. */
  get isAvailable(): boolean {
    return this._state === "owning" && !this._log.isFailing;
  }

  /** Counters of the log. */
  get counts(): PartitionLogCounts {
    return this._log.counts;
  }

  /** Whether this owner may still grant leases and start tasks. */
  get mayGrant(): boolean {
    const confirmedAt = Math.max(this._log.confirmedAt, this._renewedAt);
    const { clock, cfg } = this._deps;
    return this._state === "owning" && clock.now() - confirmedAt < cfg.takeoverHorizonMs;
  }

  /**
   * Records that the store confirmed the ownership.
   * @param sentAt - When the confirmed call was sent, on the monotonic clock.
   */
  recordRenewal(sentAt: number): void {
    this._renewedAt = Math.max(this._renewedAt, sentAt);
  }

  /**
   * Records that the owner key named this entry after the takeover. From now on a previous owner
   * can no longer mistake a renewal of its own key for a confirmation, so the wait for its leases
   * counts from here.
   */
  recordClaim(): void {
    if (this._isClaimed) {
      return;
    }
    this._isClaimed = true;
    const leaseExpiresBy = this._deps.clock.now() + this._takeoverWaitMs;
    this._activeTasks
      .getAll()
      .filter((active) => active.leaseExpiresBy === Number.POSITIVE_INFINITY)
      .filter((active) => active.state !== "recording")
      .forEach((active) => {
        this._activeTasks.setLeaseExpiry(active.task, leaseExpiresBy);
      });
  }

  /**
   * Commits an empty set of records to verify the ownership.
   * @returns Whether this entry still owned the partition at that write.
   */
  async verifyOwnership(): Promise<boolean> {
    return (await this._log.append([])).isOk();
  }

  /**
   * Handles a report of an agent.
   * @param agent - Name of the agent.
   * @param tasks - All tasks of the partition on its VM.
   * @param isEpochKnown - Whether the agent already rejects lease grants of previous owners.
   */
  handleReport(agent: string, tasks: readonly ReportedTask[], isEpochKnown: boolean): ReportAnswer {
    return this._reports.handle(agent, tasks, isEpochKnown);
  }

  /**
   * Gets an active task.
   * @param task - Id of the task.
   */
  getActiveTask(task: string): ActiveTask | undefined {
    return this._activeTasks.get(task);
  }

  /** Handles expired leases, due stop orders, retries, cancelled jobs and finished jobs. */
  tick(): void {
    if (this._state !== "owning") {
      return;
    }
    this.runner.tick();
    if (this._log.isFailing || !this.mayGrant) {
      // A write shows whether the store is available again and this entry still owns the partition.
      this._probeStore();
      return;
    }
    this.runner.retryEndRecords();
    this.submissions.tick();
    this._stopCancelled();
  }

  /** Releases the ownership; resolves once records that are being written have been settled. */
  async release(): Promise<void> {
    this._state = getNextOwnerState(this._state, "RELEASED");
    this._log.close();
    while (!this._log.isIdle) {
      await this._deps.clock.sleep(this._deps.cfg.commitIntervalMs);
    }
  }

  private async _writeEpoch(): Promise<Result<void, AppendFailure>> {
    const { cfg, entry, log, partition } = this._deps;
    const previous = this.ledger.epochs;
    const { taskLeaseMs: leaseMs, takeoverHorizonMs: horizonMs } = cfg;
    const claimed = await this._log.append(
      [{ type: "epoch", owner: entry, leaseMs, horizonMs }],
      true,
    );
    if (claimed.isErr()) {
      this._log.close();
      return err(claimed.error);
    }
    this._takeoverWaitMs = getTakeoverWaitMs(cfg, previous);
    const leaseExpiresBy = Number.POSITIVE_INFINITY;
    this.ledger.held.forEach((task) => {
      const { attempt, agent, checkpoint } = this.ledger.getTask(task) ?? {};
      if (attempt !== undefined && agent !== undefined && checkpoint !== undefined) {
        this._activeTasks.add(task, attempt, agent, "unconfirmed", leaseExpiresBy, checkpoint);
      }
    });
    this._state = getNextOwnerState(this._state, "RECOVERED");
    log.info("Took over a partition.", {
      partition,
      epoch: this.epoch,
      held: this._activeTasks.size,
    });
    return ok();
  }

  private _probeStore(): void {
    const { clock } = this._deps;
    if (!this._log.isIdle || clock.now() < this._nextProbeAt) {
      return;
    }
    this._nextProbeAt = clock.now() + PROBE_INTERVAL_MS;
    this.runner.retryEndRecords();
    void this._log.append([]);
  }

  private _stopCancelled(): void {
    this._activeTasks
      .getAll()
      .filter((active) => this.ledger.getJobOf(active.task)?.cancelled === true)
      .filter((active) => active.state !== "settling" && active.state !== "ending")
      .forEach((active) => {
        this.runner.cancel(active.task);
      });
  }

  private _handleSuperseded(): void {
    if (this._state !== "owning") {
      return;
    }
    this._state = getNextOwnerState(this._state, "DEPOSED");
    this._deps.log.warn("Another entry has taken over a partition; this entry no longer owns it.", {
      partition: this.partition,
    });
    this._deps.onSuperseded();
  }
}
