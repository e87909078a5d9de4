/**
 * Starts tasks on the worker: checks whether the start is admitted, calls the worker, and stops the
 * task again if the outcome of the call is unknown.
 */
import { create } from "@bufbuild/protobuf";
import { Code, ConnectError } from "@connectrpc/connect";
import { formatTaskKey } from "../../../coordination/tasks/TaskKey.ts";
import type { StartRefusal } from "../../../coordination/tasks/StartOrder.ts";
import type { TaskRecord } from "../../../coordination/tasks/TaskRecord.ts";
import type { TaskTable } from "../../../coordination/tasks/TaskTable.ts";
import {
  StartTaskReplySchema,
  type StartTaskReply,
  type StartTaskRequest,
} from "../../../protocol/generated/fireflylb/v1/control_pb.ts";
import type { WorkerFailure } from "../../../protocol/platform/Worker.ts";
import type { LeaseRenewer } from "./LeaseRenewer.ts";
import { toStartOrder } from "./taskMessages.ts";
import type { TaskServiceOptions } from "./TaskServiceOptions.ts";
import type { TaskStopper } from "./TaskStopper.ts";

/** Starts the tasks of one VM. */
export class TaskStarter {
  private readonly _options: TaskServiceOptions;
  private readonly _table: TaskTable;
  private readonly _renewer: LeaseRenewer;
  private readonly _stopper: TaskStopper;

  /**
   * Creates a starter.
   * @param options - Options of the task service.
   * @param table - Tasks of the VM.
   * @param renewer - Passes leases to the worker.
   * @param stopper - Stops tasks whose start has an unknown outcome.
   */
  constructor(
    options: TaskServiceOptions,
    table: TaskTable,
    renewer: LeaseRenewer,
    stopper: TaskStopper,
  ) {
    this._options = options;
    this._table = table;
    this._renewer = renewer;
    this._stopper = stopper;
  }

  /**
   * Starts a task; throws if the outcome is unknown.
   * @param req - The request.
   */
  async start(req: StartTaskRequest): Promise<StartTaskReply> {
    const order = toStartOrder(req);
    const existing = this._table.get(order);
    if (existing !== undefined) {
      return TaskStarter._replyToRepeat(existing, order.epoch);
    }
    if (!this._table.isReady() && order.incarnation !== this._options.incarnation) {
      // An earlier incarnation may have started the task, and the worker has not reported yet.
      throw new ConnectError("agent-not-ready", Code.Unavailable);
    }
    if (this._options.getStartHold?.({ ...order, urgent: req.urgent }) !== undefined) {
      this._table.forbidStart(order);
      return refuse("held-back");
    }
    const admitted = this._table.admit(order, this._options.clock.now());
    return admitted.isErr()
      ? refuse(admitted.error)
      : await this._startAtWorker(req, admitted.value);
  }

  private async _startAtWorker(req: StartTaskRequest, record: TaskRecord): Promise<StartTaskReply> {
    const { task, attempt, partition, epoch, ownerAddress, resources, kind, tenant } = record;
    const lease = this._renewer.getWorkerLease(record.leaseUntil);
    if (lease === undefined) {
      this._table.dropUnstarted(record);
      return refuse("worker-refused");
    }
    const result = await this._options.worker.start({
      task,
      attempt,
      partition,
      epoch,
      ownerAddress,
      resources,
      command: req.command,
      checkpoint: req.checkpoint,
      lease,
      kind,
      tenant,
    });
    if (result.isErr()) {
      return await this._handleFailure(record, result.error);
    }
    this._renewer.recordStart(record);
    this._table.recordAccepted(record, this._options.clock.now());
    return create(StartTaskReplySchema, { accepted: true });
  }

  private async _handleFailure(
    record: TaskRecord,
    failure: WorkerFailure,
  ): Promise<StartTaskReply> {
    const fields = { task: formatTaskKey(record), detail: failure.detail };
    this._options.log.warn(
      "A task could not be started at the worker; if it may have started, it is stopped.",
      fields,
    );
    if (!failure.mayHaveActed) {
      this._table.dropUnstarted(record);
      return refuse("worker-refused");
    }
    const stopOrder = { reason: "the outcome of its start is unknown", checkpointFirst: false };
    this._table.orderStop(record, stopOrder, this._options.clock.now());
    await this._stopper.stop(record);
    throw new ConnectError("start-outcome-unknown", Code.Unknown);
  }

  /**
   * Accepts the repeated start of a task that runs under the same epoch. Throws otherwise: the owner
   * learns the outcome from the task reports.
   */
  private static _replyToRepeat(existing: TaskRecord, epoch: number): StartTaskReply {
    if (existing.phase === "running" && epoch === existing.epoch) {
      return create(StartTaskReplySchema, { accepted: true });
    }
    throw new ConnectError("start-outcome-unknown", Code.Unknown);
  }
}

function refuse(refusal: StartRefusal): StartTaskReply {
  return create(StartTaskReplySchema, { accepted: false, refusal });
}
