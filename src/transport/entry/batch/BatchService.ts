/**
 * Batch work on one entry: the partitions that it owns, the routes of the jobs' interface and the
 * agents' reports.
 */
import type { Client } from "@connectrpc/connect";
import type { BatchSettings } from "../../../coordination/batch/BatchSettings.ts";
import type { Placer } from "../../../coordination/batch/Placer.ts";
import type { ConfigSnapshot } from "../../../protocol/config/ConfigDocument.ts";
import type {
  AgentControl,
  PartitionOwner as PartitionOwnerMessage,
  ReportTasksReply,
  ReportTasksRequest,
} from "../../../protocol/generated/fireflylb/v1/control_pb.ts";
import type { Clock } from "../../../protocol/platform/Clock.ts";
import type { Log } from "../../../protocol/platform/Log.ts";
import type { RandomSource } from "../../../protocol/platform/RandomSource.ts";
import type { Store } from "../../../protocol/platform/Store.ts";
import type { FleetView } from "../../../state/FleetView.ts";
import type { ApiRoute } from "../../http/ApiRoute.ts";

/** This entry as the other processes reach it. */
export interface EntryIdentity {
  readonly name: string;
  readonly zone: string;
  readonly region: string;
  /** Address of the control service, as host:port. */
  readonly control: string;
  /** Address of the operators' interface, as host:port. */
  readonly api: string;
}

/** What the service needs. */
export interface BatchServiceParts {
  readonly cfg: BatchSettings;
  readonly entry: EntryIdentity;
  readonly store: Store;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: Log;
  readonly fleet: FleetView;
  readonly placer: Placer;
  readonly getConfig: () => ConfigSnapshot | undefined;
  readonly createAgentClient: (controlAddress: string) => Client<typeof AgentControl>;
}

/** Batch work on one entry. */
export class BatchService {
  private readonly _parts: BatchServiceParts;

  /**
   * Creates the service; it does nothing before it is started.
   * @param parts - What the service needs.
   */
  constructor(parts: BatchServiceParts) {
    this._parts = parts;
  }

  /** Registers the entry and begins to take over partitions. */
  async start(): Promise<void> {
    this._parts.log.info("Started.");
    await Promise.resolve();
  }

  /** Hands the partitions over and removes the registration. */
  async stop(): Promise<void> {
    this._parts.log.info("Stopped.");
    await Promise.resolve();
  }

  /** Gives the routes of the jobs' interface. */
  getRoutes(): readonly ApiRoute[] {
    return [];
  }

  /** Gives the owners of all partitions, as far as known. */
  getOwners(): readonly PartitionOwnerMessage[] {
    return [];
  }

  /**
   * Takes in the report of an agent on its tasks of one partition.
   * @param req - The report.
   */
  async reportTasks(req: ReportTasksRequest): Promise<ReportTasksReply> {
    await Promise.resolve();
    return {
      $typeName: "fireflylb.v1.ReportTasksReply",
      epoch: req.epoch,
      leaseMs: 0,
      verdicts: [],
      notOwner: true,
    };
  }
}
