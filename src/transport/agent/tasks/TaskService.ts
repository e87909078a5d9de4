/**
 * Runs batch tasks on one VM for the owners of partitions: starts, stops and throttles tasks on the
 * worker, accounts for the capacity of the VM, enforces the leases that owners grant, and reports
 * the state of tasks to their owners.
 */
import { create } from "@bufbuild/protobuf";
import { Code, ConnectError } from "@connectrpc/connect";
import { CapacityAllocator } from "../../../coordination/tasks/CapacityAllocator.ts";
import type { HeatReport } from "../../../coordination/disturbance/HeatTracker.ts";
import type { ReservationState } from "../../../coordination/tasks/Reservation.ts";
import type { TaskKey } from "../../../coordination/tasks/TaskKey.ts";
import { formatTaskKey } from "../../../coordination/tasks/TaskKey.ts";
import { isEndPhase, type TaskRecord } from "../../../coordination/tasks/TaskRecord.ts";
import { TaskTable } from "../../../coordination/tasks/TaskTable.ts";
import {
  StopTaskReplySchema,
  ThrottleTaskReplySchema,
  type StartTaskReply,
  type StartTaskRequest,
  type StopTaskReply,
  type StopTaskRequest,
  type ThrottleTaskReply,
  type ThrottleTaskRequest,
} from "../../../protocol/generated/fireflylb/v1/control_pb.ts";
import type { Timer } from "../../../protocol/platform/Clock.ts";
import { NO_RESOURCES, type Resources } from "../../../protocol/Resources.ts";
import { HeadroomTracker } from "./HeadroomTracker.ts";
import { LeaseRenewer } from "./LeaseRenewer.ts";
import { toTaskState } from "./taskMessages.ts";
import { TaskReporter } from "./TaskReporter.ts";
import type { TaskServiceOptions } from "./TaskServiceOptions.ts";
import { TaskStarter } from "./TaskStarter.ts";
import { TaskStopper } from "./TaskStopper.ts";
import { WorkerPoller } from "./WorkerPoller.ts";

const DEFAULT_DRAIN_TIMEOUT_MS = 10_000;

/** Service for the batch tasks of one VM. */
export class TaskService {
  private readonly _options: TaskServiceOptions;
  private readonly _allocator = new CapacityAllocator();
  private readonly _table: TaskTable;
  private readonly _headroom: HeadroomTracker;
  private readonly _renewer: LeaseRenewer;
  private readonly _stopper: TaskStopper;
  private readonly _starter: TaskStarter;
  private readonly _reporter: TaskReporter;
  private readonly _poller: WorkerPoller;
  private _timer: Timer | undefined;
  private _isStopped = false;

  /**
   * Creates the service without starting it.
   * @param options - Dependencies and settings.
   */
  constructor(options: TaskServiceOptions) {
    const { worker, clock, log } = options;
    this._options = options;
    this._table = new TaskTable({ allocator: this._allocator, incarnation: options.incarnation });
    this._headroom = new HeadroomTracker(this._allocator, options.getConfig);
    this._renewer = new LeaseRenewer(worker, clock, log);
    this._stopper = new TaskStopper({ worker, table: this._table, clock, log });
    this._starter = new TaskStarter(options, this._table, this._renewer, this._stopper);
    this._reporter = new TaskReporter(options, this._table, {
      onRecorded: (record) => void this._forget(record),
      onStop: (record) => {
        this._orderStop(
          record,
          "its owner does not know the attempt or has ordered its stop",
          false,
        );
      },
    });
    this._poller = new WorkerPoller(options, this._table, this._allocator, (clockMs) => {
      this._renewer.recordReading(clockMs);
    });
  }

  /** Starts to poll the worker and to report to owners. */
  start(): void {
    this._poller.start();
    this._tick();
  }

  /**
   * Drains: refuses starts, takes checkpoints, stops all tasks, and reports their ends until the
   * owners have recorded them or the drain timeout has passed.
   */
  async stop(): Promise<void> {
    this._table.drain();
    this._table.getAll().forEach((record) => {
      this._orderStop(record, "the agent is draining", true);
    });
    const timeoutMs = this._options.drainTimeoutMs ?? DEFAULT_DRAIN_TIMEOUT_MS;
    const deadline = this._options.clock.now() + timeoutMs;
    while (this._table.getAll().length > 0 && this._options.clock.now() < deadline) {
      await this._options.clock.sleep(Math.min(this._options.pollMs, timeoutMs));
    }
    this._isStopped = true;
    this._timer?.cancel();
  }

  /** Returns whether the worker has reported what runs on the VM, so that tasks may start. */
  isReady(): boolean {
    return this._table.isReady();
  }

  /**
   * Records the time of a heartbeat, from which the age of start requests that name it is counted.
   * To be called before the heartbeat is sent.
   * @param sequence - Sequence number of the heartbeat.
   */
  recordHeartbeat(sequence: number): void {
    this._table.recordHeartbeat(sequence, this._options.clock.now());
  }

  /**
   * Starts a task. A refusal means that the attempt does not run and will not run on this VM; an
   * error means that the outcome is unknown.
   * @param req - The request.
   */
  async startTask(req: StartTaskRequest): Promise<StartTaskReply> {
    return await this._starter.start(req);
  }

  /**
   * Stops a task and forbids later starts of the attempt.
   * @param req - The request.
   */
  async stopTask(req: StopTaskRequest): Promise<StopTaskReply> {
    this._requireReady();
    this._requireEpoch(req.partition, Number(req.epoch));
    if (this._table.get(req) === undefined) {
      return await this._stopUnknown(req);
    }
    this._orderStop(req, req.reason, req.checkpoint);
    await this._stopper.stop(req);
    const record = this._table.get(req);
    return create(StopTaskReplySchema, {
      stopped: record === undefined || isEndPhase(record.phase),
      checkpoint: record?.checkpoint ?? "",
      ...(record === undefined ? {} : { state: toTaskState(record) }),
    });
  }

  /**
   * Limits the processors of a running task, as requested by an owner.
   * @param req - The request.
   */
  async throttleTask(req: ThrottleTaskRequest): Promise<ThrottleTaskReply> {
    this._requireReady();
    const record = this._table.get(req);
    if (record?.phase !== "running") {
      return create(ThrottleTaskReplySchema, { accepted: false });
    }
    this._requireEpoch(record.partition, Number(req.epoch));
    return create(ThrottleTaskReplySchema, {
      accepted: await this.throttle(record, req.throttlePercent),
    });
  }

  /**
   * Limits the processors of a running task, as decided on this VM.
   * @param key - The attempt.
   * @param percent - Percentage of its processors that the task may use.
   * @returns Whether the worker has applied the limit.
   */
  async throttle(key: TaskKey, percent: number): Promise<boolean> {
    const result = await this._options.worker.throttle(key.task, key.attempt, percent);
    return result.isOk();
  }

  /**
   * Evicts a running task, as decided on this VM: takes a checkpoint and stops it.
   * @param key - The attempt.
   * @param reason - Reason of the eviction.
   */
  async evict(key: TaskKey, reason: string): Promise<void> {
    this._orderStop(key, reason, true);
    await this._stopper.stop(key);
  }

  /**
   * Takes a checkpoint of a task, which continues to run.
   * @param key - The attempt.
   * @returns Whether the worker has taken it.
   */
  async checkpoint(key: TaskKey): Promise<boolean> {
    const result = await this._options.worker.checkpoint(key.task, key.attempt);
    if (result.isOk()) {
      this._table.recordCheckpoint(key, result.value);
    }
    return result.isOk();
  }

  /**
   * Reserves the resources of a backend server. Tasks are stopped if it does not fit beside them.
   * @param id - Id of the backend server.
   * @param service - Its service; the service's profile adds headroom.
   * @param resources - Resources that it announced.
   */
  reserveServer(id: string, service: string, resources: Resources): ReservationState {
    this._headroom.addServer(id, service);
    return this._allocator.reserveServer(id, resources);
  }

  /**
   * Releases the reservation of a backend server that is gone.
   * @param id - Id of the backend server.
   */
  releaseServer(id: string): void {
    this._headroom.removeServer(id);
    this._allocator.releaseServer(id);
  }

  /** Gets the capacity of the VM; no resources until the worker has reported. */
  getCapacity(): Resources {
    return this._allocator.getCapacity() ?? NO_RESOURCES;
  }

  /**
   * Gets the resources that no further task can use: those in use and those set aside for a pending
   * reservation.
   */
  getCommitted(): Resources {
    return this._allocator.getUnavailable();
  }

  /** Gets the usage of the VM that the worker last reported. */
  getUsed(): Resources {
    return this._poller.getUsed();
  }

  /** Gets the heat level that the worker last reported; undefined if it reports none. */
  getHeatLevel(): number | undefined {
    return this._poller.getHeatLevel();
  }

  /** Gets the last heat report of the worker; undefined before the first report. */
  getHeatReport(): HeatReport | undefined {
    return this._poller.getHeatReport();
  }

  /** Gets all known tasks; ended ones are included until their owners have recorded the end. */
  getTasks(): readonly TaskRecord[] {
    return this._table.getAll();
  }

  private _tick(): void {
    if (this._isStopped) {
      return;
    }
    this._headroom.update();
    this._stopExpired();
    void this._pollAndReport();
    this._timer = this._options.clock.after(this._options.pollMs, () => {
      this._tick();
    });
  }

  /**
   * Polls the worker, retries stops, reports to owners and renews leases. Does not wait for a poll in
   * progress from an earlier tick.
   */
  private async _pollAndReport(): Promise<void> {
    await this._poller.poll();
    void this._stopper.stopAll();
    await this._reporter.reportDue();
    await this._renewer.renew(this._table.getAll());
  }

  private _stopExpired(): void {
    this._table.getTasksWithExpiredLease(this._options.clock.now()).forEach((record) => {
      this._options.log.warn("The lease of a task has expired; the task is stopped.", {
        task: formatTaskKey(record),
      });
      this._orderStop(record, "its lease has expired", false);
    });
  }

  private async _stopUnknown(req: StopTaskRequest): Promise<StopTaskReply> {
    this._table.forbidStart(req);
    const result = await this._options.worker.stop(req.task, req.attempt);
    // A start that the worker executed late may have ended on its own before the stop.
    const task = result.unwrapOr(undefined);
    return create(StopTaskReplySchema, {
      stopped: result.isOk() && task?.phase !== "running",
      checkpoint: task?.checkpoint ?? "",
      ...(task === undefined ? {} : { state: toTaskState(task) }),
    });
  }

  private async _forget(record: TaskRecord): Promise<void> {
    const result = await this._options.worker.forget(record.task, record.attempt);
    if (result.isOk() || result.error.kind === "unknown-task") {
      this._table.forget(record);
    }
  }

  private _orderStop(key: TaskKey, reason: string, checkpointFirst: boolean): void {
    this._table.orderStop(key, { reason, checkpointFirst }, this._options.clock.now());
  }

  private _requireReady(): void {
    if (!this._table.isReady()) {
      throw new ConnectError("agent-not-ready", Code.Unavailable);
    }
  }

  private _requireEpoch(partition: number, epoch: number): void {
    if (!this._table.observeEpoch(partition, epoch)) {
      throw new ConnectError("stale-epoch", Code.FailedPrecondition);
    }
  }
}
