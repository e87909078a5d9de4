/**
 * Passes the leases that owners granted on to the worker, which enforces them. The worker is never
 * given more than is left of the granted lease, less the time that a call to it may take.
 */
import type { Clock } from "../../../protocol/platform/Clock.ts";
import type { Log } from "../../../protocol/platform/Log.ts";
import type { Worker } from "../../../protocol/platform/Worker.ts";
import { formatTaskKey } from "../../../coordination/tasks/TaskKey.ts";
import type { TaskRecord } from "../../../coordination/tasks/TaskRecord.ts";

/** Time by which a worker's lease ends ahead of the granted one, in milliseconds. */
const WORKER_CALL_MARGIN_MS = 250;

/** Renews leases at the worker. */
export class LeaseRenewer {
  private readonly _worker: Worker;
  private readonly _clock: Clock;
  private readonly _log: Log;
  /** End of the lease that the worker was last given, by attempt. */
  private readonly _workerLeaseEnds = new Map<string, number>();

  /**
   * Creates a renewer.
   * @param worker - The worker.
   * @param clock - Clock on which leases are counted.
   * @param log - Log of the part.
   */
  constructor(worker: Worker, clock: Clock, log: Log) {
    this._worker = worker;
    this._clock = clock;
    this._log = log;
  }

  /**
   * Gives the lease to pass to the worker for a granted one.
   * @param leaseUntil - End of the granted lease on the agent's clock, in milliseconds.
   */
  getWorkerLeaseMs(leaseUntil: number): number {
    return Math.max(0, Math.floor(leaseUntil - this._clock.now() - WORKER_CALL_MARGIN_MS));
  }

  /**
   * Notes the lease with which a task was started.
   * @param record - The task.
   * @param requestedAt - When the worker was asked, in milliseconds.
   */
  recordStart(record: TaskRecord, requestedAt: number): void {
    if (this._isWithinMargin(requestedAt)) {
      this._workerLeaseEnds.set(formatTaskKey(record), record.leaseUntil);
    }
  }

  /**
   * Renews the leases that were extended since they were last passed on.
   * @param records - All tasks of the VM.
   */
  async renew(records: readonly TaskRecord[]): Promise<void> {
    const knownKeys = new Set(records.map(formatTaskKey));
    [...this._workerLeaseEnds.keys()]
      .filter((text) => !knownKeys.has(text))
      .forEach((text) => this._workerLeaseEnds.delete(text));
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
      this._log.warn("A lease could not be renewed.", { task: record.task, detail });
    }
    if (result.isErr() || !this._isWithinMargin(requestedAt)) {
      this._workerLeaseEnds.delete(formatTaskKey(record));
    }
  }

  /** A call that took longer than the margin may have given the worker too long a lease. */
  private _isWithinMargin(requestedAt: number): boolean {
    return this._clock.now() - requestedAt <= WORKER_CALL_MARGIN_MS;
  }
}
