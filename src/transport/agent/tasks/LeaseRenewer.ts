/**
 * Passes leases that owners have granted on to the worker, which enforces them. The worker gets them
 * as times on its own clock, counted from a reading that it reported before, so that a call that is
 * executed late extends no lease beyond the granted one.
 */
import type { Clock } from "../../../protocol/platform/Clock.ts";
import type { Log } from "../../../protocol/platform/Log.ts";
import type { Worker, WorkerLease } from "../../../protocol/platform/Worker.ts";
import { formatTaskKey } from "../../../coordination/tasks/TaskKey.ts";
import type { TaskRecord } from "../../../coordination/tasks/TaskRecord.ts";

/**
 * Time by which the worker's lease ends before the granted one, in milliseconds. It covers the time
 * that the worker takes to act on the expiry.
 */
const LEASE_EXPIRY_MARGIN_MS = 250;

/** Reading of the worker's clock. */
interface ClockReading {
  readonly clockMs: number;
  /** When the reading arrived, on the agent's clock, in milliseconds. */
  readonly receivedAt: number;
}

/** Renews leases at the worker. */
export class LeaseRenewer {
  private readonly _worker: Worker;
  private readonly _clock: Clock;
  private readonly _log: Log;
  /** End of the granted lease that was last passed to the worker, by attempt. */
  private readonly _workerLeaseEnds = new Map<string, number>();
  private _reading: ClockReading | undefined;

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
   * Records a reading of the worker's clock that has just arrived.
   * @param clockMs - The reading, in milliseconds.
   */
  recordReading(clockMs: number): void {
    this._reading = { clockMs, receivedAt: this._clock.now() };
  }

  /**
   * Gets the lease to pass to the worker for a granted one.
   * @param leaseUntil - End of the granted lease on the agent's clock, in milliseconds.
   * @returns The lease; undefined if the granted one is over or the worker has not reported its clock.
   */
  getWorkerLease(leaseUntil: number): WorkerLease | undefined {
    const maxDurationMs = Math.floor(leaseUntil - this._clock.now() - LEASE_EXPIRY_MARGIN_MS);
    if (this._reading === undefined || maxDurationMs <= 0) {
      return undefined;
    }
    // The worker made the reading before it arrived here, so that its clock is at least this far.
    const { clockMs, receivedAt } = this._reading;
    const untilMs = Math.floor(clockMs + leaseUntil - receivedAt - LEASE_EXPIRY_MARGIN_MS);
    return { untilMs, maxDurationMs };
  }

  /**
   * Records the lease with which a task was started.
   * @param record - The task.
   */
  recordStart(record: TaskRecord): void {
    this._workerLeaseEnds.set(formatTaskKey(record), record.leaseUntil);
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
    const lease = this.getWorkerLease(record.leaseUntil);
    if (lease === undefined) {
      return;
    }
    this._workerLeaseEnds.set(formatTaskKey(record), record.leaseUntil);
    const result = await this._worker.renew(record.task, record.attempt, lease);
    if (result.isErr()) {
      const { detail } = result.error;
      this._log.warn("A lease could not be renewed at the worker; the renewal is retried.", {
        task: record.task,
        detail,
      });
      this._workerLeaseEnds.delete(formatTaskKey(record));
    }
  }
}
