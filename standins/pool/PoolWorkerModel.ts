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
  type HoldCall,
  type RunCall,
  type RunOutcome,
  type StartCall,
  type WorkerAnnouncement,
  type WorkerCallFailure,
  type WorkerLists,
} from "../../src/protocol/platform/PoolWorker.ts";
import type { Resources } from "../../src/protocol/Resources.ts";

/** Time that a stop takes, in milliseconds. */
const STOP_MS = 200;
/** Time between two looks of a call that waits for an end, in milliseconds. */
const LOOK_MS = 20;

/** Faults of a worker; each may be changed at any time. */
export interface PoolWorkerFaults {
  /** No call gets an answer, and none is carried out. */
  silent: boolean;
  /** Number of next orders that get no answer and are carried out after this many milliseconds. */
  lateOrders: number;
  lateMs: number;
  /** Every run fails at its end. */
  failsAll: boolean;
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
  isNoted: boolean | undefined;
}

interface LiveRun {
  readonly entry: JournalRun;
  readonly endsAt: number;
  readonly resources: Resources;
  stopsAt: number | undefined;
}

/** What a task needs and how long it works; the model is told by the test. */
export interface TaskNeed {
  readonly resources: Resources;
  /** Time of work in milliseconds; undefined for work without end. */
  readonly workMs: number | undefined;
}

/** What a worker model needs. */
export interface PoolWorkerModelParts {
  readonly clock: Clock;
  readonly id: string;
  readonly bornAtMs: number;
  readonly pool: string;
  readonly rack: string;
  readonly capacity: Resources;
  /** Rate of the worker's own clock. */
  readonly clockRate: number;
  readonly getNeed: (task: string) => TaskNeed;
  /** Receives all that really runs. */
  readonly journal: JournalRun[];
}

/** Worker stand-in of one incarnation. */
export class PoolWorkerModel extends PoolWorker {
  readonly faults: PoolWorkerFaults = {
    silent: false,
    lateOrders: 0,
    lateMs: 3_000,
    failsAll: false,
  };
  private readonly _parts: PoolWorkerModelParts;
  private readonly _bornAt: number;
  private readonly _running = new Map<string, LiveRun>();
  private readonly _lastRuns = new Map<string, number>();
  private _ended: EndedRun[] = [];
  private readonly _ends: { readonly number: number; readonly entry: JournalRun }[] = [];
  private _endCount = 0;
  private _fencingToken = 0;
  private _leaseUntilMs = 0;
  private _sequence = 0;
  private _isDraining = false;
  private _isDead = false;

  /**
   * Creates a worker that runs nothing.
   * @param parts - What it needs.
   */
  constructor(parts: PoolWorkerModelParts) {
    super();
    this._parts = parts;
    this._bornAt = parts.clock.now();
    this._look();
  }

  /** Gives the next announcement. */
  announce(): WorkerAnnouncement {
    this._sequence += 1;
    const { id, bornAtMs, pool, rack, capacity } = this._parts;
    return {
      ...{ id, bornAtMs, pool, rack, capacity },
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
      entry.endedAt = this._parts.clock.now();
    });
    this._running.clear();
  }

  override hold(call: HoldCall): ResultAsync<WorkerLists, WorkerCallFailure> {
    return new ResultAsync(this._hold(call));
  }

  override start(call: StartCall): ResultAsync<void, WorkerCallFailure> {
    return this._order(() => this._start(call));
  }

  override stop(call: RunCall): ResultAsync<void, WorkerCallFailure> {
    return this._order(() => this._stop(call));
  }

  override pace(call: RunCall): ResultAsync<void, WorkerCallFailure> {
    return this._order(() => this._fence(call.fencingToken));
  }

  private get _clockMs(): number {
    return Math.floor((this._parts.clock.now() - this._bornAt) * this._parts.clockRate);
  }

  private async _hold(call: HoldCall): Promise<Result<WorkerLists, WorkerCallFailure>> {
    if (await this._isSilent(call.worker)) {
      return err({ kind: "unknown", detail: "no answer" });
    }
    const fenced = this._fence(call.fencingToken);
    if (fenced.isErr()) {
      return err(fenced.error);
    }
    this._extend(call.leaseUntilMs);
    this._ended = this._ended.filter(({ number }) => number > call.ackedEnd);
    this._noteEnds((number) => number <= call.ackedEnd, true);
    const until = this._parts.clock.now() + call.waitMs;
    while (this._ended.length === 0 && this._parts.clock.now() < until && !this._isDead) {
      await this._parts.clock.sleep(LOOK_MS);
    }
    if (await this._isSilent(call.worker)) {
      return err({ kind: "unknown", detail: "no answer" });
    }
    return ok({
      clockMs: this._clockMs,
      bornAtMs: this._parts.bornAtMs,
      running: [...this._running.values()].map(({ entry, endsAt }) => ({
        task: entry.task,
        run: entry.run,
        checkpoint: "",
        percent: this._getPercent(entry.startedAt, endsAt),
        measure: 0,
      })),
      ended: [...this._ended],
    });
  }

  private _getPercent(startedAt: number, endsAt: number): number {
    if (endsAt === Number.POSITIVE_INFINITY) {
      return 100;
    }
    const share = (this._parts.clock.now() - startedAt) / (endsAt - startedAt);
    return Math.floor(100 * Math.min(1, share));
  }

  private _order(
    carryOut: () => Result<void, WorkerCallFailure>,
  ): ResultAsync<void, WorkerCallFailure> {
    const { clock } = this._parts;
    const lost = { kind: "unknown", detail: "no answer" } as const;
    if (this._isDead || this.faults.silent) {
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
    this._extend(call.leaseUntilMs);
    if (run <= (this._lastRuns.get(task) ?? 0)) {
      return err({ kind: "old-run", detail: "" });
    }
    const { resources, workMs } = this._parts.getNeed(task);
    if (!this._hasRoom(resources)) {
      return err({ kind: "no-room", detail: "" });
    }
    const startedAt = this._parts.clock.now();
    const worker = `${this._parts.id}@${this._parts.bornAtMs}`;
    const entry = {
      worker,
      task,
      run,
      startedAt,
      endedAt: undefined,
      outcome: undefined,
      isNoted: undefined,
    };
    this._parts.journal.push(entry);
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
        live.stopsAt ??= this._parts.clock.now() + STOP_MS;
      }
    });
  }

  private _hasRoom(wanted: Resources): boolean {
    const used = [...this._running.values()].reduce(
      (sum, { resources }) => sum + resources.processorsMilli,
      0,
    );
    return used + wanted.processorsMilli <= this._parts.capacity.processorsMilli;
  }

  private _fence(fencingToken: number): Result<void, WorkerCallFailure> {
    if (fencingToken < this._fencingToken) {
      return err({ kind: "fenced", detail: "" });
    }
    this._fencingToken = fencingToken;
    return ok();
  }

  private _extend(leaseUntilMs: number | undefined): void {
    this._leaseUntilMs = Math.max(this._leaseUntilMs, leaseUntilMs ?? 0);
  }

  private async _isSilent(worker: string): Promise<boolean> {
    await this._parts.clock.sleep(1);
    const isSilent = this._isDead || this.faults.silent || worker !== this._parts.id;
    if (isSilent) {
      await this._parts.clock.sleep(100);
    }
    return isSilent;
  }

  /** Ends what is due, again and again. */
  private _look(): void {
    if (this._isDead) {
      return;
    }
    const now = this._parts.clock.now();
    const hasLapsed = this._clockMs >= this._leaseUntilMs;
    if (hasLapsed) {
      this._noteEnds(() => true, false);
    }
    [...this._running.values()].forEach((live) => {
      if (live.endsAt <= now) {
        this._end(live, this.faults.failsAll ? "failed" : "done");
      } else if (hasLapsed) {
        this._end(live, "lapsed");
      } else if (live.stopsAt !== undefined && live.stopsAt <= now) {
        this._end(live, "stopped");
      }
    });
    this._parts.clock.after(LOOK_MS, () => {
      this._look();
    });
  }

  private _noteEnds(isMeant: (number: number) => boolean, isNoted: boolean): void {
    this._ends
      .filter(({ number }) => isMeant(number))
      .forEach(({ entry }) => {
        entry.isNoted ??= isNoted;
      });
  }

  private _end({ entry }: LiveRun, outcome: RunOutcome): void {
    entry.endedAt = this._parts.clock.now();
    entry.outcome = outcome;
    const { task, run } = entry;
    this._running.delete(task);
    this._lastRuns.set(task, Math.max(run, this._lastRuns.get(task) ?? 0));
    this._endCount += 1;
    this._ends.push({ number: this._endCount, entry });
    this._ended.push({ number: this._endCount, task, run, outcome, checkpoint: "" });
  }
}
