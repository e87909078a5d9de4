/**
 * Attempts at tasks on one VM. The table admits or refuses starts, keeps the capacity allocator
 * consistent with what the worker confirms, tracks the lease of each task on the agent's monotonic
 * clock, and returns the tasks whose lease has expired. It admits nothing until the worker has
 * reported what is running on the VM.
 */
import { err, ok, type Result } from "neverthrow";
import { NO_RESOURCES } from "../../protocol/Resources.ts";
import type { WorkerTask } from "../../protocol/platform/Worker.ts";
import type { CapacityAllocator } from "./CapacityAllocator.ts";
import { HeartbeatTimes } from "./HeartbeatTimes.ts";
import { PartitionEpochs } from "./PartitionEpochs.ts";
import type { StartOrder, StartRefusal } from "./StartOrder.ts";
import { StoppedAttempts } from "./StoppedAttempts.ts";
import { formatTaskKey, type TaskKey } from "./TaskKey.ts";
import { getNextPhase, type TaskEventType } from "./TaskLifecycle.ts";
import { isEndPhase, type TaskEnd, type TaskRecord } from "./TaskRecord.ts";

/** Minimum remaining lease with which a task is started, in milliseconds. */
export const MIN_START_LEASE_MS = 500;

/** Order to stop an attempt. */
export interface StopOrder {
  readonly reason: string;
  readonly checkpointFirst: boolean;
}

/** Dependencies and settings of a task table. */
export interface TaskTableOptions {
  readonly allocator: CapacityAllocator;
  readonly incarnation: string;
  /** Maximum number of stopped attempts remembered. */
  readonly maxStoppedAttempts?: number;
}

/** Table of the tasks on one VM. */
export class TaskTable {
  private readonly _allocator: CapacityAllocator;
  private readonly _incarnation: string;
  private readonly _records = new Map<string, TaskRecord>();
  private readonly _epochs = new PartitionEpochs();
  private readonly _heartbeats = new HeartbeatTimes();
  private readonly _stopped: StoppedAttempts;
  private _isReady = false;
  private _isDraining = false;

  /**
   * Creates a table that admits nothing until it is opened.
   * @param options - Dependencies and settings.
   */
  constructor(options: TaskTableOptions) {
    this._allocator = options.allocator;
    this._incarnation = options.incarnation;
    this._stopped = new StoppedAttempts(options.maxStoppedAttempts);
  }

  /**
   * Records a heartbeat, so that the age of start orders can be determined. Must be called before
   * it is sent.
   * @param sequence - Sequence number of the heartbeat.
   * @param now - Monotonic time in milliseconds.
   */
  recordHeartbeat(sequence: number, now: number): void {
    this._heartbeats.record(sequence, now);
  }

  /**
   * Opens the table for starts. To be called once every task that the worker runs has been adopted.
   */
  open(): void {
    this._isReady = true;
  }

  /** Returns whether the worker has reported what is running on the VM. */
  isReady(): boolean {
    return this._isReady;
  }

  /** Refuses all further starts. */
  drain(): void {
    this._isDraining = true;
  }

  /**
   * Records the epoch of a message from the owner of a partition.
   * @param partition - The partition.
   * @param epoch - Epoch of the message.
   * @returns Whether the epoch is current.
   */
  observeEpoch(partition: number, epoch: number): boolean {
    return this._epochs.observe(partition, epoch);
  }

  /**
   * Gets the highest epoch seen of a partition; 0 if none was seen.
   * @param partition - The partition.
   */
  getEpoch(partition: number): number {
    return this._epochs.get(partition);
  }

  /**
   * Gets the record of an attempt.
   * @param key - The attempt.
   */
  get(key: TaskKey): TaskRecord | undefined {
    return this._records.get(formatTaskKey(key));
  }

  /** Gets the records of all attempts; ended ones are included until they are forgotten. */
  getAll(): readonly TaskRecord[] {
    return [...this._records.values()];
  }

  /**
   * Admits a start and commits its resources, or refuses it. A refused attempt never runs on this
   * VM.
   * @param order - The order.
   * @param now - Monotonic time in milliseconds.
   */
  admit(order: StartOrder, now: number): Result<TaskRecord, StartRefusal> {
    const refusal = this._findRefusal(order, now);
    if (refusal !== undefined) {
      this._stopped.add(order, this._heartbeats.getLastSequence());
      return err(refusal);
    }
    const sentAt = this._heartbeats.getSentAt(order.sequence) ?? now;
    const record = createRecord(order, sentAt + order.leaseMs, now);
    this._records.set(formatTaskKey(order), record);
    return ok(record);
  }

  /**
   * Records that the worker accepted a start.
   * @param key - The attempt.
   * @param now - Monotonic time in milliseconds.
   */
  recordAccepted(key: TaskKey, now: number): void {
    this._transition(key, "accepted", {}, now);
  }

  /**
   * Removes an attempt whose start the worker is known not to have executed.
   * @param key - The attempt.
   */
  dropUnstarted(key: TaskKey): void {
    this._remove(key);
  }

  /**
   * Marks an attempt to be stopped. Its resources stay committed until the stop is confirmed.
   * @param key - The attempt.
   * @param order - Why it must stop, and whether to take a checkpoint first.
   * @param now - Monotonic time in milliseconds.
   */
  orderStop(key: TaskKey, order: StopOrder, now: number): void {
    const record = this.get(key);
    if (record === undefined || isEndPhase(record.phase) || record.phase === "stopping") {
      return;
    }
    this._allocator.markYielding(key);
    this._transition(key, "stop", order, now);
  }

  /**
   * Forbids the start of an attempt that has not arrived yet.
   * @param key - The attempt.
   */
  forbidStart(key: TaskKey): void {
    this._stopped.add(key, this._heartbeats.getLastSequence());
  }

  /**
   * Records that the worker confirmed the end of an attempt, and releases its resources.
   * @param key - The attempt.
   * @param end - How it ended.
   * @param now - Monotonic time in milliseconds.
   */
  recordEnd(key: TaskKey, end: TaskEnd, now: number): void {
    const record = this.get(key);
    if (record === undefined || isEndPhase(record.phase)) {
      return;
    }
    const { phase, ...rest } = end;
    const reason = end.reason === "" ? record.reason : end.reason;
    this._transition(key, phase, { ...rest, reason }, now);
    this._allocator.release(key);
    this._stopped.add(key, this._heartbeats.getLastSequence());
  }

  /**
   * Removes an attempt whose end the owner has recorded.
   * @param key - The attempt.
   */
  forget(key: TaskKey): void {
    const record = this.get(key);
    if (record !== undefined && isEndPhase(record.phase)) {
      this._remove(key);
    }
  }

  /**
   * Adopts a task that the worker reports and the table does not list as running.
   * @param task - The task as reported by the worker.
   * @param now - Monotonic time in milliseconds, taken before the worker was queried.
   */
  adopt(task: WorkerTask, now: number): void {
    this._epochs.observe(task.partition, task.epoch);
    const { leaseLeftMs, ...rest } = task;
    const adopted: TaskRecord = {
      ...rest,
      checkpointFirst: false,
      leaseUntil: now + leaseLeftMs,
      changedAt: now,
    };
    this._records.set(formatTaskKey(task), adopted);
    if (!isEndPhase(task.phase)) {
      this._allocator.adopt(task, task.resources);
      return;
    }
    this._stopped.add(task, this._heartbeats.getLastSequence());
  }

  /**
   * Records the usage, progress and checkpoint of a running task.
   * @param task - The task as reported by the worker.
   */
  recordUsage(task: WorkerTask): void {
    const record = this.get(task);
    if (record === undefined || isEndPhase(record.phase)) {
      return;
    }
    this._records.set(formatTaskKey(task), {
      ...record,
      used: task.used,
      checkpoint: task.checkpoint,
      progress: task.progress,
      throttlePercent: task.throttlePercent,
    });
  }

  /**
   * Records the checkpoint of a task that is about to be stopped.
   * @param key - The attempt.
   * @param checkpoint - Reference of the checkpoint.
   */
  recordCheckpoint(key: TaskKey, checkpoint: string): void {
    const record = this.get(key);
    if (record !== undefined && !isEndPhase(record.phase)) {
      this._records.set(formatTaskKey(key), { ...record, checkpoint });
    }
  }

  /**
   * Extends the leases of running tasks. An expired lease is not revived, and no lease is
   * shortened.
   * @param keys - Tasks that were reported to the owner as running.
   * @param epoch - Epoch of the owner that granted the extension.
   * @param until - New end of the lease on the agent's monotonic clock, computed from a time before
   * the report was sent.
   * @param now - Monotonic time in milliseconds.
   * @returns The tasks whose lease was extended.
   */
  extendLeases(
    keys: readonly TaskKey[],
    epoch: number,
    until: number,
    now: number,
  ): readonly TaskRecord[] {
    const extended = keys
      .map((key) => this.get(key))
      .filter((record) => record !== undefined)
      .filter((record) => record.phase === "running" && record.leaseUntil > now)
      .filter((record) => record.leaseUntil < until && epoch >= this.getEpoch(record.partition))
      .map((record) => ({ ...record, epoch, leaseUntil: until }));
    extended.forEach((record) => this._records.set(formatTaskKey(record), record));
    return extended;
  }

  /**
   * Returns whether an attempt must not start, because it has ended or was stopped or refused on
   * this VM.
   * @param key - The attempt.
   */
  isStartForbidden(key: TaskKey): boolean {
    return this._stopped.has(key);
  }

  /**
   * Gets the tasks whose lease has expired and that have not been told to stop.
   * @param now - Monotonic time in milliseconds.
   */
  getTasksWithExpiredLease(now: number): readonly TaskRecord[] {
    return this.getAll().filter(
      (record) =>
        (record.phase === "running" || record.phase === "starting") && record.leaseUntil <= now,
    );
  }

  private _findRefusal(order: StartOrder, now: number): StartRefusal | undefined {
    if (!this._isReady) {
      return "agent-not-ready";
    }
    if (this._isDraining) {
      return "draining";
    }
    if (order.incarnation !== this._incarnation) {
      return "wrong-incarnation";
    }
    if (this._isExpired(order, now)) {
      return "start-expired";
    }
    return this._findStaleRefusal(order) ?? (this._commit(order) ? undefined : "no-room");
  }

  private _isExpired(order: StartOrder, now: number): boolean {
    const sentAt = this._heartbeats.getSentAt(order.sequence);
    return (
      sentAt === undefined ||
      now - sentAt > order.expiresMs ||
      sentAt + order.leaseMs < now + MIN_START_LEASE_MS ||
      this._stopped.mayHaveDropped(order.sequence)
    );
  }

  private _findStaleRefusal(order: StartOrder): StartRefusal | undefined {
    if (!this._epochs.observe(order.partition, order.epoch)) {
      return "stale-epoch";
    }
    const others = this.getAll().filter((record) => record.task === order.task);
    if (this._stopped.has(order) || others.some((other) => other.attempt >= order.attempt)) {
      return "stale-attempt";
    }
    return others.some((other) => !isEndPhase(other.phase)) ? "earlier-attempt-present" : undefined;
  }

  private _commit(order: StartOrder): boolean {
    return this._allocator.commit(order, order.resources);
  }

  private _remove(key: TaskKey): void {
    this._records.delete(formatTaskKey(key));
    this._allocator.release(key);
    this._stopped.add(key, this._heartbeats.getLastSequence());
  }

  private _transition(
    key: TaskKey,
    event: TaskEventType,
    change: Partial<TaskRecord>,
    now: number,
  ): void {
    const record = this.get(key);
    if (record === undefined) {
      return;
    }
    const phase = getNextPhase(record.phase, event);
    if (phase !== record.phase) {
      this._records.set(formatTaskKey(key), { ...record, ...change, phase, changedAt: now });
    }
  }
}

function createRecord(order: StartOrder, leaseUntil: number, now: number): TaskRecord {
  return {
    task: order.task,
    attempt: order.attempt,
    partition: order.partition,
    epoch: order.epoch,
    ownerAddress: order.ownerAddress,
    kind: order.kind,
    tenant: order.tenant,
    phase: "starting",
    resources: order.resources,
    used: NO_RESOURCES,
    checkpoint: "",
    progress: 0,
    throttlePercent: 100,
    reason: "",
    checkpointFirst: false,
    leaseUntil,
    changedAt: now,
  };
}
