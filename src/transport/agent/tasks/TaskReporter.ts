/**
 * Reports the tasks of each partition to its owner, extends their leases as the owner grants, and
 * applies its verdicts. A lease is counted from the time at which the report was sent. The end of a
 * task is reported again until the owner has recorded it.
 */
import type { ReportTasksReply } from "../../../protocol/generated/fireflylb/v1/control_pb.ts";
import { formatTaskKey } from "../../../coordination/tasks/TaskKey.ts";
import { isEndPhase, type TaskRecord } from "../../../coordination/tasks/TaskRecord.ts";
import type { TaskTable } from "../../../coordination/tasks/TaskTable.ts";
import { toTaskState } from "./taskMessages.ts";
import type { TaskServiceOptions } from "./TaskServiceOptions.ts";

const REPORT_INTERVAL_MS = 10_000;
const REPORT_TIMEOUT_MS = 2_000;
/** Fraction of a lease after which it is renewed. */
const RENEWAL_FRACTION = 1 / 3;

/** Callbacks for an owner's verdicts on tasks. */
export interface ReportHandlers {
  /** The owner has recorded the end of the task. */
  readonly onRecorded: (record: TaskRecord) => void;
  /** The owner wants the task stopped. */
  readonly onStop: (record: TaskRecord) => void;
}

interface ReportState {
  readonly reportedAt: number;
  readonly leaseMs: number | undefined;
}

/** Reports tasks to the owners of their partitions. */
export class TaskReporter {
  private readonly _options: TaskServiceOptions;
  private readonly _table: TaskTable;
  private readonly _handlers: ReportHandlers;
  private readonly _partitions = new Map<number, ReportState>();
  private readonly _inProgress = new Set<number>();

  /**
   * Creates a reporter.
   * @param options - Options of the task service.
   * @param table - Tasks of the VM.
   * @param handlers - Callbacks for the owners' verdicts.
   */
  constructor(options: TaskServiceOptions, table: TaskTable, handlers: ReportHandlers) {
    this._options = options;
    this._table = table;
    this._handlers = handlers;
  }

  /** Sends the reports that are due. */
  async reportDue(): Promise<void> {
    const groups = Map.groupBy(this._table.getAll(), (record) => record.partition);
    [...this._partitions.keys()]
      .filter((partition) => !groups.has(partition))
      .forEach((partition) => this._partitions.delete(partition));
    const due = [...groups].filter(
      ([partition, records]) => !this._inProgress.has(partition) && this._isDue(partition, records),
    );
    await Promise.all(due.map(([partition, records]) => this._report(partition, records)));
  }

  private _isDue(partition: number, records: readonly TaskRecord[]): boolean {
    const state = this._partitions.get(partition);
    if (state === undefined || records.some((record) => isEndPhase(record.phase))) {
      return true;
    }
    const renewalMs = (state.leaseMs ?? REPORT_INTERVAL_MS) * RENEWAL_FRACTION;
    return this._options.clock.now() - state.reportedAt >= Math.min(REPORT_INTERVAL_MS, renewalMs);
  }

  private async _report(partition: number, records: readonly TaskRecord[]): Promise<void> {
    this._inProgress.add(partition);
    const sentAt = this._options.clock.now();
    try {
      const reply = await this._send(partition, records);
      this._handleReply(partition, records, reply, sentAt);
    } catch (err) {
      const detail = err instanceof Error ? err.message : String(err);
      this._options.log.debug(
        "A task report to the owner of a partition failed; it is sent again.",
        {
          partition,
          detail,
        },
      );
    } finally {
      this._inProgress.delete(partition);
    }
  }

  private async _send(
    partition: number,
    records: readonly TaskRecord[],
  ): Promise<ReportTasksReply> {
    const client = this._options.createEntryClient(this._getOwnerAddress(partition, records));
    return await client.reportTasks(
      {
        agent: this._options.agent,
        incarnation: this._options.incarnation,
        partition,
        epoch: BigInt(this._table.getEpoch(partition)),
        tasks: records.map(toTaskState),
      },
      { timeoutMs: REPORT_TIMEOUT_MS },
    );
  }

  /** Gets the owner known from heartbeat replies, or a later one that has started a task since. */
  private _getOwnerAddress(partition: number, records: readonly TaskRecord[]): string {
    const announced = this._options.getOwner(partition);
    const latest = records.reduce((a, b) => (b.epoch > a.epoch ? b : a));
    return announced !== undefined && announced.epoch >= latest.epoch
      ? announced.controlAddress
      : latest.ownerAddress;
  }

  private _handleReply(
    partition: number,
    records: readonly TaskRecord[],
    reply: ReportTasksReply,
    sentAt: number,
  ): void {
    const epoch = Number(reply.epoch);
    if (reply.notOwner || !this._table.observeEpoch(partition, epoch)) {
      return;
    }
    this._partitions.set(partition, { reportedAt: sentAt, leaseMs: reply.leaseMs });
    this._applyVerdicts(records, reply);
    const running = records.filter((record) => record.phase === "running");
    const until = sentAt + reply.leaseMs;
    this._table.extendLeases(running, epoch, until, this._options.clock.now());
  }

  private _applyVerdicts(records: readonly TaskRecord[], reply: ReportTasksReply): void {
    const reported = new Map(records.map((record) => [formatTaskKey(record), record]));
    reply.verdicts.forEach((verdict) => {
      const record = reported.get(formatTaskKey(verdict));
      if (record === undefined) {
        return;
      }
      if (verdict.recorded && isEndPhase(record.phase)) {
        this._handlers.onRecorded(record);
      }
      if (verdict.stop && !isEndPhase(record.phase)) {
        this._handlers.onStop(record);
      }
    });
  }
}
