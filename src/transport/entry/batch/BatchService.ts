/**
 * Batch scheduling on one entry: the partitions that it owns, the routes of the job API and the
 * task reports of agents.
 */
import { create } from "@bufbuild/protobuf";
import { BatchScheduler } from "../../../coordination/batch/BatchScheduler.ts";
import type { BatchSettings } from "../../../coordination/batch/BatchSettings.ts";
import {
  EntryMembership,
  type EntryRegistration,
} from "../../../coordination/batch/EntryMembership.ts";
import { OwnershipManager } from "../../../coordination/batch/OwnershipManager.ts";
import { PartitionOwner } from "../../../coordination/batch/PartitionOwner.ts";
import type { AllocatedTask, Placer } from "../../../coordination/batch/Placer.ts";
import type { ReportedPhase } from "../../../coordination/batch/ReportHandler.ts";
import type { ConfigSnapshot } from "../../../protocol/config/ConfigDocument.ts";
import {
  PartitionOwnerSchema,
  ReportTasksReplySchema,
  type PartitionOwner as PartitionOwnerMessage,
  type ReportTasksReply,
  type ReportTasksRequest,
} from "../../../protocol/generated/fireflylb/v1/control_pb.ts";
import type { Clock, Timer } from "../../../protocol/platform/Clock.ts";
import type { Log } from "../../../protocol/platform/Log.ts";
import type { RandomSource } from "../../../protocol/platform/RandomSource.ts";
import type { Store } from "../../../protocol/platform/Store.ts";
import type { BatchRecord } from "../../../state/batch/BatchRecord.ts";
import type { FleetView } from "../../../state/FleetView.ts";
import type { ApiRoute } from "../../http/ApiRoute.ts";
import { ConnectAgentGateway, type AgentControlClient } from "./ConnectAgentGateway.ts";
import { JobRoutes } from "./JobRoutes.ts";
import { PeerUsage } from "./PeerUsage.ts";

const TICK_INTERVAL_MS = 1_000;
const URGENT_CYCLE_DELAY_MS = 10;
const WRITER_ID_RANGE = 2 ** 32;

/** Dependencies of `BatchService`. */
export interface BatchServiceDependencies {
  readonly cfg: BatchSettings;
  readonly entry: EntryRegistration;
  readonly store: Store;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: Log;
  readonly fleet: FleetView;
  readonly placer: Placer;
  readonly getConfig: () => ConfigSnapshot | undefined;
  /** Called with the records of each commit. */
  readonly onCommitted?: (records: readonly BatchRecord[]) => void;
  readonly createAgentClient: (controlAddress: string) => AgentControlClient;
}

/** Batch scheduling on one entry. */
export class BatchService {
  private readonly _deps: BatchServiceDependencies;
  private readonly _writer: string;
  private readonly _gateway: ConnectAgentGateway;
  private readonly _membership: EntryMembership;
  private readonly _ownership: OwnershipManager;
  private readonly _peerUsage: PeerUsage;
  private readonly _scheduler: BatchScheduler;
  private readonly _routes: JobRoutes;
  private readonly _timers = new Map<string, Timer>();
  private _isStopped = false;

  /**
   * Creates the service without starting it.
   * @param deps - Dependencies of the service.
   */
  constructor(deps: BatchServiceDependencies) {
    const { cfg, entry, store, clock, random, log, fleet, placer, getConfig } = deps;
    this._deps = deps;
    this._writer = `${entry.name}/${random.nextInt(WRITER_ID_RANGE)}-${random.nextInt(WRITER_ID_RANGE)}`;
    this._gateway = new ConnectAgentGateway(entry.control, deps.createAgentClient);
    const leaseMs = cfg.ownerLeaseMs;
    this._membership = new EntryMembership({
      store,
      clock,
      log,
      registration: entry,
      writer: this._writer,
      leaseMs,
    });
    this._ownership = new OwnershipManager({
      clock,
      log,
      membership: this._membership,
      entry: entry.name,
      partitions: cfg.partitions,
      leaseMs,
      takeOver: (partition) => this._takeOver(partition),
    });
    const getOwners = (): readonly PartitionOwner[] => this._ownership.owned;
    this._peerUsage = new PeerUsage(clock, getOwners);
    const getPeerTasks = (): readonly AllocatedTask[] => this._peerUsage.getTasks();
    this._scheduler = new BatchScheduler({
      clock,
      fleet,
      placer,
      getConfig,
      getOwners,
      getPeerTasks,
    });
    this._routes = this._createRoutes();
  }

  /** Registers the entry, takes partitions over and starts to place tasks. */
  async start(): Promise<void> {
    await this._ownership.start();
    const { placementIntervalMs } = this._deps.cfg;
    this._repeat("placement", placementIntervalMs, () => {
      this._scheduler.runCycle();
    });
    this._repeat("tick", TICK_INTERVAL_MS, () => {
      this._ownership.owned.forEach((owner) => {
        owner.tick();
      });
      void this._peerUsage.refresh(this._getPeerApis());
    });
  }

  /** Hands the partitions over and removes the registration. */
  async stop(): Promise<void> {
    this._isStopped = true;
    this._timers.forEach((timer) => {
      timer.cancel();
    });
    await this._ownership.stop();
  }

  /** Gets the routes of the job API. */
  getRoutes(): readonly ApiRoute[] {
    return [...this._routes.getRoutes(), this._peerUsage.getRoute()];
  }

  /** Gets the known live entries, including this one. */
  getEntries(): readonly EntryRegistration[] {
    return this._membership.entries;
  }

  /** Gets the partitions that this entry owns. */
  getOwnedPartitions(): readonly PartitionOwner[] {
    return this._ownership.owned;
  }

  /** Gets the known owners of all partitions. */
  getOwners(): readonly PartitionOwnerMessage[] {
    const { control } = this._deps.entry;
    const own = this._ownership.owned.map((owner) =>
      create(PartitionOwnerSchema, {
        partition: owner.partition,
        epoch: BigInt(owner.epoch),
        controlAddress: control,
      }),
    );
    const others = [...this._membership.owners]
      .filter(
        ([partition, owner]) =>
          owner.epoch > 0 &&
          owner.writer !== this._writer &&
          this._ownership.getOwned(partition) === undefined,
      )
      .map(([partition, owner]) =>
        create(PartitionOwnerSchema, {
          partition,
          epoch: BigInt(owner.epoch),
          controlAddress: owner.control,
        }),
      );
    return [...own, ...others];
  }

  /**
   * Handles the report of an agent on its tasks of one partition.
   * @param req - The report.
   */
  handleReport(req: ReportTasksRequest): ReportTasksReply {
    const owner = this._ownership.getOwned(req.partition);
    const reportEpoch = Number(req.epoch);
    if (owner === undefined || reportEpoch > owner.epoch || owner.state !== "owning") {
      return create(ReportTasksReplySchema, { epoch: req.epoch, notOwner: true });
    }
    const tasks = req.tasks.map((state) => ({
      task: state.task,
      attempt: state.attempt,
      phase: state.phase as ReportedPhase,
      checkpoint: state.checkpoint,
      reason: state.reason,
    }));
    const reply = owner.handleReport(req.agent, tasks, reportEpoch === owner.epoch);
    return create(ReportTasksReplySchema, {
      epoch: BigInt(owner.epoch),
      leaseMs: reply.leaseMs,
      verdicts: reply.verdicts.map((verdict) => ({ ...verdict })),
    });
  }

  private async _takeOver(partition: number): Promise<PartitionOwner | undefined> {
    const { cfg, entry, store, clock, log, fleet, placer } = this._deps;
    const owner = await PartitionOwner.takeOver({
      cfg,
      partition,
      entry: entry.name,
      writer: this._writer,
      store,
      clock,
      log,
      fleet,
      gateway: this._gateway,
      onCommitted: this._deps.onCommitted,
      onOutcome: (outcome) => {
        placer.recordAttempt({ ...outcome, now: clock.now() });
      },
      onSuperseded: () => {
        this._ownership.drop(partition);
      },
    });
    return owner.unwrapOr(undefined);
  }

  private _createRoutes(): JobRoutes {
    const { clock, cfg } = this._deps;
    return new JobRoutes({
      clock,
      partitions: cfg.partitions,
      scheduler: this._scheduler,
      getOwnedPartition: (partition) => this._ownership.getOwned(partition),
      getOwnedPartitions: () => this._ownership.owned,
      getOwner: (partition) => this._membership.owners.get(partition),
      getPeerApis: () => this._getPeerApis(),
      onUrgent: () => {
        this._schedule("urgent", URGENT_CYCLE_DELAY_MS, () => {
          this._scheduler.runCycle();
        });
      },
    });
  }

  private _getPeerApis(): readonly string[] {
    return this._membership.entries
      .filter((other) => other.name !== this._deps.entry.name)
      .map((other) => other.api);
  }

  private _repeat(name: string, intervalMs: number, action: () => void): void {
    this._schedule(name, intervalMs, () => {
      action();
      this._repeat(name, intervalMs, action);
    });
  }

  private _schedule(name: string, delayMs: number, action: () => void): void {
    if (this._isStopped || this._timers.has(name)) {
      return;
    }
    const timer = this._deps.clock.after(delayMs, () => {
      this._timers.delete(name);
      action();
    });
    this._timers.set(name, timer);
  }
}
