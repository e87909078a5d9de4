/**
 * Passes leases that owners have granted on to the worker, which enforces them. The worker gets the
 * rest of the granted lease less the time that a call may take, so that its lease never ends later.
 */
import type { Clock } from "../../../protocol/platform/Clock.ts";
import type { Log } from "../../../protocol/platform/Log.ts";
import type { Worker } from "../../../protocol/platform/Worker.ts";
import { formatTaskKey } from "../../../coordination/tasks/TaskKey.ts";
import type { TaskRecord } from "../../../coordination/tasks/TaskRecord.ts";

/** Time by which the worker's lease ends before the granted one, in milliseconds. */
const WORKER_CALL_MARGIN_MS = 250;

/** Renews leases at the worker. */
export class LeaseRenewer {
  private readonly _worker: Worker;
  private readonly _clock: Clock;
  private readonly _log: Log;
  /** End of the granted lease that was last passed to the worker, by attempt. */
  private readonly _workerLeaseEnds = new Map<string, number>();

  /**
   * Creates a renewer.
   * @param worker - The worker.
   * @param clock - Clock on which leases are counted.
   * @param log - Log of the task service.
   */
  constructor(worker: Worker, clock: Clock, log: Log) {
    this._worker = worker;
    this._clock = clock;
    this._log = log;
  }

  /**
   * Gets the lease to pass to the worker for a granted one, in milliseconds.
   * @param leaseUntil - End of the granted lease on the agent's clock, in milliseconds.
   */
  getWorkerLeaseMs(leaseUntil: number): number {
    return Math.max(0, Math.floor(leaseUntil - this._clock.now() - WORKER_CALL_MARGIN_MS));
  }

  /**
   * Records the lease with which a task was started, unless the call took too long: the next renewal
   * then corrects the worker's lease.
   * @param record - The task.
   * @param requestedAt - When the worker was called, in milliseconds.
   */
  recordStart(record: TaskRecord, requestedAt: number): void {
    if (this._isWithinMargin(requestedAt)) {
      this._workerLeaseEnds.set(formatTaskKey(record), record.leaseUntil);
    }
  }

  /**
   * Renews the leases at the worker that were extended since they were last passed to it.
   * @param records - All tasks of the VM.
   */
  async renew(records: readonly TaskRecord[]): Promise<void> {
    const knownKeys = new Set(records.map(formatTaskKey));
    [...this._workerLeaseEnds.keys()]
      .filter((key) => !knownKeys.has(key))
      .forEach((key) => this._workerLeaseEnds.delete(key));
    const due = records.filter((record) => this._isDue(record));
    await Promise.all(due.map((record) => this._renew(record)));
  }

  private _isDue(record: TaskRecord): boolean {
    const renewedUntil = this._workerLeaseEnds.get(formatTaskKey(record)) ?? 0;
    return record.phase === "running" && record.leaseUntil > renewedUntil;
  }

  private async _renew(record: TaskRecord): Promise<void> {
    const leaseMs = this.getWorkerLeaseMs(record.leaseUntil);
    if (leaseMs === 0) {
      return;
    }
    this._workerLeaseEnds.set(formatTaskKey(record), record.leaseUntil);
    const requestedAt = this._clock.now();
    const result = await this._worker.renew(record.task, record.attempt, leaseMs);
    if (result.isErr()) {
      const { detail } = result.error;
      this._log.warn("A lease could not be renewed at the worker; the renewal is retried.", {
        task: record.task,
        detail,
      });
    }
    if (result.isErr() || !this._isWithinMargin(requestedAt)) {
      this._workerLeaseEnds.delete(formatTaskKey(record));
    }
  }

  /** Returns whether a call ended within the margin; a longer one may have given too long a lease. */
  private _isWithinMargin(requestedAt: number): boolean {
    return this._clock.now() - requestedAt <= WORKER_CALL_MARGIN_MS;
  }
}
