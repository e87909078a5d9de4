/**
 * Stand-in for a worker of a pool. All runs share one lease, which is timed on the worker's own
 * clock. Ends are listed until they are acknowledged, calls with an old fencing token are refused,
 * and orders can be executed late. A journal records what actually ran, which tests compare with the
 * state of the system.
 */
import { err, ok, ResultAsync, type Result } from "neverthrow";
import {
  PoolWorker,
  type SyncCall,
  type RunCall,
  type RunOutcome,
  type StartCall,
  type WorkerAnnouncement,
  type WorkerCallFailure,
  type WorkerRuns,
} from "../../src/protocol/platform/PoolWorker.ts";
import { addResources, NO_RESOURCES, type Resources } from "../../src/protocol/Resources.ts";
import { EndList } from "./EndList.ts";
import { listRun, type ActiveRun } from "./ActiveRun.ts";
import type { JournalRun } from "./poolJournal.ts";
import type {
  PoolWorkerFaults,
  PoolWorkerModelDependencies,
  TaskRequirements,
} from "./PoolWorkerModelDependencies.ts";

/** Time between a stop order and the end of the run, in milliseconds. */
const STOP_DURATION_MS = 200;
/** Interval at which due ends are checked, and at which a sync call that waits for an end polls. */
const POLL_MS = 20;

/** Number of ended runs that a response lists at most. */
const MAX_LISTED_ENDS = 500;

/** Stand-in for one incarnation of a worker. */
export class PoolWorkerModel extends PoolWorker {
  readonly faults: PoolWorkerFaults = {
    isUnresponsive: false,
    lateOrders: 0,
    lateMs: 3_000,
    failEveryRun: false,
    maxListedEnds: MAX_LISTED_ENDS,
    startsWithoutRoom: false,
    stallsWithLateOrders: false,
  };
  /**
   * Next incarnation at its address; undefined for none. If it has the same id, it executes the late
   * orders to this one after a crash.
   */
  successor: PoolWorkerModel | undefined;
  private readonly _deps: PoolWorkerModelDependencies;
  private readonly _createdAt: number;
  /** By task and run: several runs of one task may be there at a time. */
  private readonly _running = new Map<string, ActiveRun>();
  private readonly _lastRuns = new Map<string, number>();
  private readonly _ends = new EndList();
  /** End of the time in which it responds to nothing, as a late order has stalled it. */
  private _stalledUntil = 0;
  private _fencingToken = 0;
  private _refusedCalls = 0;
  private _leaseUntilMs = 0;
  private _sequence = 0;
  private _isDraining = false;
  private _isDead = false;
  private _capacity: Resources;

  /**
   * Creates a worker without runs.
   * @param deps - Dependencies of the worker.
   */
  constructor(deps: PoolWorkerModelDependencies) {
    super();
    this._deps = deps;
    this._createdAt = deps.clock.now();
    this._capacity = deps.capacity;
    this._endDueRuns();
  }

  /** Whether the worker has crashed. */
  get isDead(): boolean {
    return this._isDead;
  }

  /** Its id. */
  get id(): string {
    return this._deps.id;
  }

  /** Highest fencing token that it has seen. */
  get fencingToken(): number {
    return this._fencingToken;
  }

  /** Number of calls that it has refused for their fencing tokens. */
  get refusedCalls(): number {
    return this._refusedCalls;
  }

  /** Capacity that the worker has now. */
  get capacity(): Resources {
    return this._capacity;
  }

  /** Id and start time of the incarnation, as in the journal. */
  get incarnation(): string {
    return `${this._deps.id}@${this._deps.startedAtMs}`;
  }

  /** Creates the next announcement. */
  announce(): WorkerAnnouncement {
    this._sequence += 1;
    const { id, startedAtMs, pool, rack, clock, capacityJournal } = this._deps;
    const capacity = this._capacity;
    capacityJournal?.push({ worker: this.incarnation, announcedAt: clock.now(), capacity });
    return {
      ...{ id, startedAtMs, pool, rack, capacity },
      zone: "zone-a",
      draining: this._isDraining,
      drainRemainingMs: this._isDraining ? 2_000 : undefined,
      labels: ["kind-a", rack],
      sequence: this._sequence,
    };
  }

  /** Starts draining. */
  drain(): void {
    this._isDraining = true;
  }

  /**
   * Changes the capacity; runs that no longer fit go on.
   * @param processorsMilli - Processors, in thousandths.
   */
  resize(processorsMilli: number): void {
    this._capacity = { ...this._capacity, processorsMilli };
  }

  /**
   * Ends the worker and all of its runs immediately.
   * @param crashedBy - Task that crashes it; undefined for a crash by itself.
   */
  crash(crashedBy?: string): void {
    this._isDead = true;
    this._running.forEach(({ entry }) => {
      entry.endedAt = this._deps.clock.now();
      entry.crashedBy = crashedBy;
    });
    this._running.clear();
  }

  override sync(call: SyncCall): ResultAsync<WorkerRuns, WorkerCallFailure> {
    return new ResultAsync(this._sync(call));
  }

  override start(call: StartCall): ResultAsync<void, WorkerCallFailure> {
    const orderedAt = this._deps.clock.now();
    return this._executeOrder((worker) => worker._start(call, orderedAt));
  }

  override stop(call: RunCall): ResultAsync<void, WorkerCallFailure> {
    return this._executeOrder((worker) => worker._stop(call));
  }

  override pace(call: RunCall): ResultAsync<void, WorkerCallFailure> {
    return this._executeOrder((worker) => worker._fence(call.fencingToken));
  }

  private get _clockMs(): number {
    return Math.floor((this._deps.clock.now() - this._createdAt) * this._deps.clockRate);
  }

  private async _sync(call: SyncCall): Promise<Result<WorkerRuns, WorkerCallFailure>> {
    if (await this._isUnresponsive()) {
      return err({ kind: "unknown", detail: "no response" });
    }
    if (call.worker !== this._deps.id) {
      return err({ kind: "wrong-worker", detail: "" });
    }
    const fenced = this._fence(call.fencingToken);
    if (fenced.isErr()) {
      return err(fenced.error);
    }
    this._extendLease(call.leaseUntilMs);
    this._ends.acknowledge(call.ackedEnd);
    const until = this._deps.clock.now() + call.waitMs;
    while (
      this._ends.unacknowledged.length === 0 &&
      this._deps.clock.now() < until &&
      !this._isDead
    ) {
      await this._deps.clock.sleep(POLL_MS);
    }
    if (await this._isUnresponsive()) {
      return err({ kind: "unknown", detail: "no response" });
    }
    const ended = this._ends.unacknowledged.slice(0, this.faults.maxListedEnds);
    return ok({
      clockMs: this._clockMs,
      startedAtMs: this._deps.startedAtMs,
      running: [...this._running.values()].map((run) => listRun(run, this._deps.clock.now())),
      ended,
      mayLackEnds: ended.length >= this.faults.maxListedEnds,
    });
  }

  private _executeOrder(
    execute: (worker: PoolWorkerModel) => Result<void, WorkerCallFailure>,
  ): ResultAsync<void, WorkerCallFailure> {
    const { clock } = this._deps;
    const noResponse = { kind: "unknown", detail: "no response" } as const;
    if (this._isDead || this.faults.isUnresponsive) {
      return ResultAsync.fromSafePromise(clock.sleep(100)).andThen(() => err(noResponse));
    }
    if (this.faults.lateOrders > 0) {
      this.faults.lateOrders -= 1;
      if (this.faults.stallsWithLateOrders) {
        this._stalledUntil = clock.now() + this.faults.lateMs;
      }
      clock.after(this.faults.lateMs, () => {
        const worker = this._findLive();
        if (worker !== undefined) {
          execute(worker);
        }
      });
      return ResultAsync.fromSafePromise(clock.sleep(100)).andThen(() => err(noResponse));
    }
    return ResultAsync.fromSafePromise(clock.sleep(1)).andThen(() =>
      this._isDead ? err(noResponse) : execute(this),
    );
  }

  /** Returns the incarnation with this id that is there now; undefined if there is none. */
  private _findLive(): PoolWorkerModel | undefined {
    if (!this._isDead) {
      return this;
    }
    return this.successor?._deps.id === this._deps.id ? this.successor._findLive() : undefined;
  }

  private _start(call: StartCall, orderedAt: number): Result<void, WorkerCallFailure> {
    const { task, run } = call;
    const fenced = this._fence(call.fencingToken);
    if (fenced.isErr()) {
      return fenced;
    }
    if (call.leaseUntilMs <= this._clockMs) {
      return err({ kind: "late", detail: "" });
    }
    if (this._running.has(`${task} ${run}`)) {
      return ok();
    }
    this._extendLease(call.leaseUntilMs);
    if (run <= (this._lastRuns.get(task) ?? 0)) {
      return err({ kind: "old-run", detail: "" });
    }
    const requirements = this._deps.getRequirements(task);
    if (!this.faults.startsWithoutRoom && !this._hasFreeCapacity(requirements.resources)) {
      return err({ kind: "no-room", detail: "" });
    }
    this._run(call, requirements, orderedAt);
    return ok();
  }

  private _run({ task, run }: StartCall, required: TaskRequirements, orderedAt: number): void {
    const { clock, journal } = this._deps;
    const { resources, workMs, crashesWorkerAfterMs } = required;
    const startedAt = clock.now();
    const entry: JournalRun = {
      ...{ worker: this.incarnation, task, run, orderedAt, startedAt, resources },
      endedAt: undefined,
      outcome: undefined,
      crashedBy: undefined,
      isAcknowledged: undefined,
    };
    journal.push(entry);
    const endsAt = startedAt + (workMs ?? Number.POSITIVE_INFINITY);
    this._running.set(`${task} ${run}`, { entry, endsAt, stopsAt: undefined });
    if (crashesWorkerAfterMs !== undefined) {
      clock.after(crashesWorkerAfterMs, () => {
        this._crashDuring(entry);
      });
    }
  }

  private _crashDuring(entry: JournalRun): void {
    if (this._running.get(`${entry.task} ${entry.run}`)?.entry === entry) {
      this.crash(entry.task);
      this._deps.onCrashed?.();
    }
  }

  private _stop(call: RunCall): Result<void, WorkerCallFailure> {
    const { task, run } = call;
    return this._fence(call.fencingToken).map(() => {
      const active = this._running.get(`${task} ${run}`);
      if (active === undefined) {
        this._lastRuns.set(task, Math.max(run, this._lastRuns.get(task) ?? 0));
      } else {
        active.stopsAt ??= this._deps.clock.now() + STOP_DURATION_MS;
      }
    });
  }

  private _hasFreeCapacity(required: Resources): boolean {
    const used = [...this._running.values()].reduce(
      (sum, { entry }) => addResources(sum, entry.resources),
      NO_RESOURCES,
    );
    return used.processorsMilli + required.processorsMilli <= this._capacity.processorsMilli;
  }

  private _fence(fencingToken: number): Result<void, WorkerCallFailure> {
    if (fencingToken < this._fencingToken) {
      this._refusedCalls += 1;
      return err({ kind: "fenced", detail: "" });
    }
    this._fencingToken = fencingToken;
    return ok();
  }

  private _extendLease(leaseUntilMs: number | undefined): void {
    const { maxLeaseMs = Number.POSITIVE_INFINITY } = this._deps;
    const untilMs = Math.min(leaseUntilMs ?? 0, this._clockMs + maxLeaseMs);
    this._leaseUntilMs = Math.max(this._leaseUntilMs, untilMs);
  }

  private async _isUnresponsive(): Promise<boolean> {
    await this._deps.clock.sleep(1);
    const isStalled = this._deps.clock.now() < this._stalledUntil;
    const isSilent = this._isDead || this.faults.isUnresponsive || isStalled;
    if (isSilent) {
      await this._deps.clock.sleep(100);
    }
    return isSilent;
  }

  /** Ends the runs that are due, and schedules the next check. */
  private _endDueRuns(): void {
    if (this._isDead) {
      return;
    }
    const now = this._deps.clock.now();
    const hasExpired = this._clockMs >= this._leaseUntilMs;
    if (hasExpired) {
      this._ends.lapse();
    }
    [...this._running.values()].forEach((active) => {
      if (active.endsAt <= now) {
        this._end(active, this.faults.failEveryRun ? "failed" : "done");
      } else if (hasExpired) {
        this._end(active, "lapsed");
      } else if (active.stopsAt !== undefined && active.stopsAt <= now) {
        this._end(active, "stopped");
      }
    });
    this._deps.clock.after(POLL_MS, () => {
      this._endDueRuns();
    });
  }

  private _end({ entry }: ActiveRun, outcome: RunOutcome): void {
    entry.endedAt = this._deps.clock.now();
    entry.outcome = outcome;
    const { task, run } = entry;
    this._running.delete(`${task} ${run}`);
    this._lastRuns.set(task, Math.max(run, this._lastRuns.get(task) ?? 0));
    this._ends.add(entry, outcome);
  }
}
