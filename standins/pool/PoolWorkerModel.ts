/**
 * A worker of a pool as a stand-in: runs under one lease on its own clock, ends that are kept until
 * they are acknowledged, fencing tokens, and orders that are carried out late. It keeps a journal of
 * what really ran, against which tests compare what the system believes.
 */
import { err, ok, ResultAsync, type Result } from "neverthrow";
import type { Clock } from "../../src/protocol/platform/Clock.ts";
import {
  PoolWorker,
  type EndedRun,
  type SyncCall,
  type RunCall,
  type RunOutcome,
  type StartCall,
  type WorkerAnnouncement,
  type WorkerCallFailure,
  type WorkerRuns,
} from "../../src/protocol/platform/PoolWorker.ts";
import type { Resources } from "../../src/protocol/Resources.ts";

/** Time that a stop takes, in milliseconds. */
const STOP_DURATION_MS = 200;
/** Time between two looks of a call that waits for an end, in milliseconds. */
const POLL_MS = 20;

/** Faults of a worker; each may be changed at any time. */
export interface PoolWorkerFaults {
  /** No call gets an answer, and none is carried out. */
  isUnresponsive: boolean;
  /** Number of next orders that get no answer and are carried out after this many milliseconds. */
  lateOrders: number;
  lateMs: number;
  /** Every run fails at its end. */
  failEveryRun: boolean;
}

/** A run as it really was. */
export interface JournalRun {
  readonly worker: string;
  readonly task: string;
  readonly run: number;
  readonly startedAt: number;
  endedAt: number | undefined;
  outcome: RunOutcome | undefined;
  /**
   * Whether its end was acknowledged before the worker's lease ended; undefined while it may be. An
   * end that nobody has heard of when the lease ends may be repeated elsewhere.
   */
  isAcknowledged: boolean | undefined;
}

interface ActiveRun {
  readonly entry: JournalRun;
  readonly endsAt: number;
  readonly resources: Resources;
  stopsAt: number | undefined;
}

/** What a task needs and how long it works; the model is told by the test. */
export interface TaskRequirements {
  readonly resources: Resources;
  /** Time of work in milliseconds; undefined for work without end. */
  readonly workMs: number | undefined;
}

/** What a worker model needs. */
export interface PoolWorkerModelDependencies {
  readonly clock: Clock;
  readonly id: string;
  readonly startedAtMs: number;
  readonly pool: string;
  readonly rack: string;
  readonly capacity: Resources;
  /** Rate of the worker's own clock. */
  readonly clockRate: number;
  readonly getRequirements: (task: string) => TaskRequirements;
  /** Receives all that really runs. */
  readonly journal: JournalRun[];
}

/** Worker stand-in of one incarnation. */
export class PoolWorkerModel extends PoolWorker {
  readonly faults: PoolWorkerFaults = {
    isUnresponsive: false,
    lateOrders: 0,
    lateMs: 3_000,
    failEveryRun: false,
  };
  private readonly _deps: PoolWorkerModelDependencies;
  private readonly _startedAt: number;
  private readonly _running = new Map<string, ActiveRun>();
  private readonly _lastRuns = new Map<string, number>();
  private _unacknowledgedEnds: EndedRun[] = [];
  private readonly _allEnds: { readonly number: number; readonly entry: JournalRun }[] = [];
  private _endCount = 0;
  private _fencingToken = 0;
  private _leaseUntilMs = 0;
  private _sequence = 0;
  private _isDraining = false;
  private _isDead = false;

  /**
   * Creates a worker that runs nothing.
   * @param deps - What it needs.
   */
  constructor(deps: PoolWorkerModelDependencies) {
    super();
    this._deps = deps;
    this._startedAt = deps.clock.now();
    this._endDueRuns();
  }

  /** Gives the next announcement. */
  announce(): WorkerAnnouncement {
    this._sequence += 1;
    const { id, startedAtMs, pool, rack, capacity } = this._deps;
    return {
      ...{ id, startedAtMs, pool, rack, capacity },
      zone: "zone-a",
      draining: this._isDraining,
      drainRemainingMs: this._isDraining ? 2_000 : undefined,
      labels: ["kind-a", rack],
      sequence: this._sequence,
    };
  }

  /** Begins to drain. */
  drain(): void {
    this._isDraining = true;
  }

  /** Ends the worker at once with all that runs. */
  crash(): void {
    this._isDead = true;
    this._running.forEach(({ entry }) => {
      entry.endedAt = this._deps.clock.now();
    });
    this._running.clear();
  }

  override sync(call: SyncCall): ResultAsync<WorkerRuns, WorkerCallFailure> {
    return new ResultAsync(this._hold(call));
  }

  override start(call: StartCall): ResultAsync<void, WorkerCallFailure> {
    return this._executeOrder(() => this._start(call));
  }

  override stop(call: RunCall): ResultAsync<void, WorkerCallFailure> {
    return this._executeOrder(() => this._stop(call));
  }

  override pace(call: RunCall): ResultAsync<void, WorkerCallFailure> {
    return this._executeOrder(() => this._fence(call.fencingToken));
  }

  private get _clockMs(): number {
    return Math.floor((this._deps.clock.now() - this._startedAt) * this._deps.clockRate);
  }

  private async _hold(call: SyncCall): Promise<Result<WorkerRuns, WorkerCallFailure>> {
    if (await this._isUnresponsive(call.worker)) {
      return err({ kind: "unknown", detail: "no answer" });
    }
    const fenced = this._fence(call.fencingToken);
    if (fenced.isErr()) {
      return err(fenced.error);
    }
    this._extendLease(call.leaseUntilMs);
    this._unacknowledgedEnds = this._unacknowledgedEnds.filter(
      ({ number }) => number > call.ackedEnd,
    );
    this._markEnds((number) => number <= call.ackedEnd, true);
    const until = this._deps.clock.now() + call.waitMs;
    while (
      this._unacknowledgedEnds.length === 0 &&
      this._deps.clock.now() < until &&
      !this._isDead
    ) {
      await this._deps.clock.sleep(POLL_MS);
    }
    if (await this._isUnresponsive(call.worker)) {
      return err({ kind: "unknown", detail: "no answer" });
    }
    return ok({
      clockMs: this._clockMs,
      startedAtMs: this._deps.startedAtMs,
      running: [...this._running.values()].map(({ entry, endsAt }) => ({
        task: entry.task,
        run: entry.run,
        checkpoint: "",
        percent: this._getPercent(entry.startedAt, endsAt),
        measure: 0,
      })),
      ended: [...this._unacknowledgedEnds],
    });
  }

  private _getPercent(startedAt: number, endsAt: number): number {
    if (endsAt === Number.POSITIVE_INFINITY) {
      return 100;
    }
    const share = (this._deps.clock.now() - startedAt) / (endsAt - startedAt);
    return Math.floor(100 * Math.min(1, share));
  }

  private _executeOrder(
    carryOut: () => Result<void, WorkerCallFailure>,
  ): ResultAsync<void, WorkerCallFailure> {
    const { clock } = this._deps;
    const lost = { kind: "unknown", detail: "no answer" } as const;
    if (this._isDead || this.faults.isUnresponsive) {
      return ResultAsync.fromSafePromise(clock.sleep(100)).andThen(() => err(lost));
    }
    if (this.faults.lateOrders > 0) {
      this.faults.lateOrders -= 1;
      clock.after(this.faults.lateMs, () => {
        if (!this._isDead) {
          carryOut();
        }
      });
      return ResultAsync.fromSafePromise(clock.sleep(100)).andThen(() => err(lost));
    }
    return ResultAsync.fromSafePromise(clock.sleep(1)).andThen(() =>
      this._isDead ? err(lost) : carryOut(),
    );
  }

  private _start(call: StartCall): Result<void, WorkerCallFailure> {
    const { task, run } = call;
    const fenced = this._fence(call.fencingToken);
    if (fenced.isErr()) {
      return fenced;
    }
    if (call.leaseUntilMs <= this._clockMs) {
      return err({ kind: "late", detail: "" });
    }
    if (this._running.get(task)?.entry.run === run) {
      return ok();
    }
    this._extendLease(call.leaseUntilMs);
    if (run <= (this._lastRuns.get(task) ?? 0)) {
      return err({ kind: "old-run", detail: "" });
    }
    const { resources, workMs } = this._deps.getRequirements(task);
    if (!this._hasFreeCapacity(resources)) {
      return err({ kind: "no-room", detail: "" });
    }
    const startedAt = this._deps.clock.now();
    const worker = `${this._deps.id}@${this._deps.startedAtMs}`;
    const entry = {
      worker,
      task,
      run,
      startedAt,
      endedAt: undefined,
      outcome: undefined,
      isAcknowledged: undefined,
    };
    this._deps.journal.push(entry);
    const endsAt = startedAt + (workMs ?? Number.POSITIVE_INFINITY);
    this._running.set(task, { entry, endsAt, resources, stopsAt: undefined });
    return ok();
  }

  private _stop(call: RunCall): Result<void, WorkerCallFailure> {
    const { task, run } = call;
    return this._fence(call.fencingToken).map(() => {
      const live = this._running.get(task);
      if (live?.entry.run !== run) {
        this._lastRuns.set(task, Math.max(run, this._lastRuns.get(task) ?? 0));
      } else {
        live.stopsAt ??= this._deps.clock.now() + STOP_DURATION_MS;
      }
    });
  }

  private _hasFreeCapacity(wanted: Resources): boolean {
    const used = [...this._running.values()].reduce(
      (sum, { resources }) => sum + resources.processorsMilli,
      0,
    );
    return used + wanted.processorsMilli <= this._deps.capacity.processorsMilli;
  }

  private _fence(fencingToken: number): Result<void, WorkerCallFailure> {
    if (fencingToken < this._fencingToken) {
      return err({ kind: "fenced", detail: "" });
    }
    this._fencingToken = fencingToken;
    return ok();
  }

  private _extendLease(leaseUntilMs: number | undefined): void {
    this._leaseUntilMs = Math.max(this._leaseUntilMs, leaseUntilMs ?? 0);
  }

  private async _isUnresponsive(worker: string): Promise<boolean> {
    await this._deps.clock.sleep(1);
    const isSilent = this._isDead || this.faults.isUnresponsive || worker !== this._deps.id;
    if (isSilent) {
      await this._deps.clock.sleep(100);
    }
    return isSilent;
  }

  /** Ends what is due, again and again. */
  private _endDueRuns(): void {
    if (this._isDead) {
      return;
    }
    const now = this._deps.clock.now();
    const hasLapsed = this._clockMs >= this._leaseUntilMs;
    if (hasLapsed) {
      this._markEnds(() => true, false);
    }
    [...this._running.values()].forEach((live) => {
      if (live.endsAt <= now) {
        this._end(live, this.faults.failEveryRun ? "failed" : "done");
      } else if (hasLapsed) {
        this._end(live, "lapsed");
      } else if (live.stopsAt !== undefined && live.stopsAt <= now) {
        this._end(live, "stopped");
      }
    });
    this._deps.clock.after(POLL_MS, () => {
      this._endDueRuns();
    });
  }

  private _markEnds(isMeant: (number: number) => boolean, isNoted: boolean): void {
    this._allEnds
      .filter(({ number }) => isMeant(number))
      .forEach(({ entry }) => {
        entry.isAcknowledged ??= isNoted;
      });
  }

  private _end({ entry }: ActiveRun, outcome: RunOutcome): void {
    entry.endedAt = this._deps.clock.now();
    entry.outcome = outcome;
    const { task, run } = entry;
    this._running.delete(task);
    this._lastRuns.set(task, Math.max(run, this._lastRuns.get(task) ?? 0));
    this._endCount += 1;
    this._allEnds.push({ number: this._endCount, entry });
    this._unacknowledgedEnds.push({ number: this._endCount, task, run, outcome, checkpoint: "" });
  }
}
