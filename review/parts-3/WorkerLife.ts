/**
 * One life of a worker: its runs under one lease, its ends, and the calls that it answers.
 */
import type { GangTable } from "./GangTable.ts";
import type { JsonReply } from "./jsonHttp.ts";
import type { CaseRecord } from "./CaseRecord.ts";
import {
  createCheckpoint,
  getSavedMs,
  readWork,
  type RunOutcome,
  type WorkerEnd,
  type WorkerOrder,
  type WorkerRun,
} from "./runs.ts";

const TICK_MS = 20;
const HOLD_MAX_MS = 10_000;
const GANG_TIMEOUT_MS = 3_000;
const CHECKPOINT_INTERVAL_MS = 2_000;
const RESTORE_MS = 100;
const STOP_MS = 200;
/** Work after which a worker that fails all that it starts ends a run, in milliseconds. */
const FAILS_AFTER_MS = 100;
const MAX_LISTED_ENDS = 500;
const FULL_PERCENT = 100;
/** By how much tasks that fill a whole worker raise the tail latency of those that serve. */
const DISTURBANCE = 4;

interface StartBody {
  readonly task: string;
  readonly run: number;
  readonly spec: string;
  readonly deadline_ms: number;
  readonly fencing_token?: number;
  readonly last_checkpoint?: string;
}

interface HoldBody {
  readonly fencing_token?: number;
  readonly last_seen: number;
  readonly deadline_ms?: number;
  readonly wait_ms?: number;
}

/** Options of a life. */
export interface WorkerLifeOptions {
  readonly id: string;
  readonly cpu: number;
  readonly memMb: number;
  readonly record: CaseRecord;
  readonly gangs: GangTable;
  /** Returns whether the worker fails all that it starts now. */
  readonly isFailing: () => boolean;
  /** Gets the load of the tasks that serve, as a multiple of their usual one. */
  readonly getLoad: () => number;
}

/** One life of a worker. */
export class WorkerLife {
  readonly id: string;
  readonly born = Date.now();
  /** All ends of this life, acknowledged or not. */
  readonly ends: WorkerEnd[] = [];
  /** All runs that it has begun, and all stops of runs that were at work, by the monotonic clock. */
  readonly starts: WorkerOrder[] = [];
  readonly stops: WorkerOrder[] = [];
  private readonly _options: WorkerLifeOptions;
  private readonly _startedAt = performance.now();
  private readonly _runs = new Map<string, WorkerRun>();
  private readonly _lastRuns = new Map<string, number>();
  private readonly _timer: NodeJS.Timeout;
  private _fence = 0;
  private _leaseUntilMs = 0;
  private _lastSeen = 0;
  private _sequence = 0;

  /**
   * Begins a life.
   * @param options - Its options.
   */
  constructor(options: WorkerLifeOptions) {
    this._options = options;
    this.id = options.id;
    this._timer = setInterval(() => {
      this._tick();
    }, TICK_MS);
  }

  /** Its clock, in milliseconds since it began. */
  get clockMs(): number {
    return Math.floor(performance.now() - this._startedAt);
  }

  /** Runs that are there. */
  get runs(): readonly WorkerRun[] {
    return [...this._runs.values()];
  }

  /** Returns the number of the next heartbeat. */
  nextSequence(): number {
    this._sequence += 1;
    return this._sequence;
  }

  /** Ends the life; its runs are gone with it. */
  end(): void {
    clearInterval(this._timer);
    this._runs.forEach(({ task, run }) => {
      this._options.gangs.remove(task, run);
      this._options.record.add(`run ${task} ${run} is gone with worker ${this.id}`);
    });
    this._runs.clear();
  }

  /**
   * Answers a call.
   * @param path - Its path.
   * @param body - Its body.
   */
  async serve(path: string, body: unknown): Promise<JsonReply> {
    const { fencing_token: fence = 0 } = body as { readonly fencing_token?: number };
    if (fence < this._fence) {
      return this._refuse("fence");
    }
    this._fence = fence;
    switch (path) {
      case "/v1/run-start":
        return this._start(body as StartBody);
      case "/v1/run-stop":
        return this._stop(body as StartBody);
      case "/v1/hold":
        return await this._hold(body as HoldBody);
      case "/v1/pace": {
        const { task, run, percent } = body as StartBody & { readonly percent: number };
        const active = this._runs.get(`${task} ${run}`);
        if (active !== undefined) {
          this._options.record.add(
            `run ${task} ${run} on worker ${this.id} is paced at ${percent}`,
          );
          active.pacePercent = percent;
        }
        return this._answer();
      }
      default:
        return { status: 404, body: {} };
    }
  }

  private _start(body: StartBody): JsonReply {
    const { task, run, spec, last_checkpoint: checkpoint = "" } = body;
    if (body.deadline_ms <= this.clockMs) {
      return this._refuse("late");
    }
    this._extendLease(body.deadline_ms);
    if (this._runs.has(`${task} ${run}`)) {
      return this._answer();
    }
    if (run <= (this._lastRuns.get(task) ?? 0)) {
      return this._refuse("old");
    }
    const work = readWork(spec, task);
    if (!this._hasRoom(work.isFilling === true ? 0 : work.cpu, work.memMb)) {
      return this._refuse("room");
    }
    const startedAt = performance.now();
    this._runs.set(`${task} ${run}`, {
      ...{ task, run, work, startedAt, checkpoint, saved: checkpoint },
      ...{ workedMs: getSavedMs(checkpoint), hasBegun: false, stopsAt: undefined },
      ...{ pacePercent: FULL_PERCENT, isFailing: this._options.isFailing() },
    });
    this.starts.push({ task, run, at: startedAt });
    if (work.gangSize !== undefined) {
      this._options.gangs.add(task, run, checkpoint);
    }
    this._options.record.add(
      `run ${task} ${run} starts on worker ${this.id} with checkpoint "${checkpoint}"`,
    );
    return this._answer();
  }

  private _hasRoom(cpu: number, memMb: number): boolean {
    const counted = this.runs.map(({ work }) => work);
    const usedCpu = counted.reduce((sum, w) => sum + (w.isFilling === true ? 0 : w.cpu), 0);
    const usedMemMb = counted.reduce((sum, w) => sum + w.memMb, 0);
    return usedCpu + cpu <= this._options.cpu && usedMemMb + memMb <= this._options.memMb;
  }

  private _stop({ task, run }: StartBody): JsonReply {
    const active = this._runs.get(`${task} ${run}`);
    if (active === undefined) {
      this._lastRuns.set(task, Math.max(run, this._lastRuns.get(task) ?? 0));
    } else if (active.stopsAt === undefined) {
      this._options.record.add(`run ${task} ${run} on worker ${this.id} is told to stop`);
      active.stopsAt = performance.now() + STOP_MS;
      if (active.hasBegun) {
        this.stops.push({ task, run, at: performance.now() });
      }
    }
    return this._answer();
  }

  private async _hold(body: HoldBody): Promise<JsonReply> {
    this._lastSeen = Math.max(this._lastSeen, body.last_seen);
    this._extendLease(body.deadline_ms ?? 0);
    const until = performance.now() + (body.wait_ms ?? 0);
    while (this._listedEnds.length === 0 && performance.now() < until) {
      await new Promise((resolve) => {
        setTimeout(resolve, TICK_MS);
      });
    }
    const running = this.runs.map((run) => [
      ...[run.task, run.run, run.saved, getPercent(run), this._getFigure(run)],
    ]);
    const ended = this._listedEnds.map(({ number, task, run, how, saved }) => {
      return [number, task, run, how, saved];
    });
    return this._answer({ running, ended });
  }

  private get _listedEnds(): readonly WorkerEnd[] {
    return this.ends.filter(({ number }) => number > this._lastSeen).slice(0, MAX_LISTED_ENDS);
  }

  private _extendLease(untilMs: number): void {
    const bounded = Math.min(untilMs, this.clockMs + HOLD_MAX_MS);
    this._leaseUntilMs = Math.max(this._leaseUntilMs, bounded);
  }

  private _tick(): void {
    const now = performance.now();
    const hasLapsed = this.clockMs >= this._leaseUntilMs;
    this.runs.forEach((run) => {
      this._advance(run, now);
      const outcome = this._findOutcome(run, now, hasLapsed);
      if (outcome !== undefined) {
        this._end(run, outcome);
      }
    });
  }

  private _advance(active: WorkerRun, now: number): void {
    const { task, run, work } = active;
    if (now - active.startedAt < (active.checkpoint === "" ? 0 : RESTORE_MS)) {
      return;
    }
    if (!active.hasBegun) {
      const { gangSize } = work;
      active.hasBegun =
        gangSize === undefined || this._options.gangs.isComplete(task, run, gangSize);
      return;
    }
    active.workedMs += (TICK_MS * active.pacePercent) / FULL_PERCENT;
    const savedMs = getSavedMs(active.saved);
    if (work.isCheckpointing === true && active.workedMs - savedMs >= CHECKPOINT_INTERVAL_MS) {
      active.saved = createCheckpoint(task, savedMs + CHECKPOINT_INTERVAL_MS);
    }
  }

  private _findOutcome(active: WorkerRun, now: number, hasLapsed: boolean): RunOutcome | undefined {
    const { task, run, work, hasBegun } = active;
    const { gangSize } = work;
    if (hasLapsed) {
      return "lapsed";
    }
    if (active.stopsAt !== undefined && now >= active.stopsAt) {
      return "stopped";
    }
    const failsAfterMs = active.isFailing ? FAILS_AFTER_MS : work.failsAfterMs;
    if (failsAfterMs !== undefined && active.workedMs >= failsAfterMs) {
      return "failed";
    }
    if (work.workMs !== undefined && active.workedMs >= work.workMs) {
      return "done";
    }
    if (gangSize === undefined) {
      return undefined;
    }
    if (!hasBegun) {
      return now - active.startedAt >= GANG_TIMEOUT_MS ? "alone" : undefined;
    }
    return this._options.gangs.isComplete(task, run, gangSize) ? undefined : "broken";
  }

  private _end({ task, run, work, saved, workedMs, hasBegun }: WorkerRun, how: RunOutcome): void {
    this._runs.delete(`${task} ${run}`);
    this._lastRuns.set(task, Math.max(run, this._lastRuns.get(task) ?? 0));
    if (how !== "done") {
      this._options.gangs.remove(task, run);
    }
    const savesNow = how === "stopped" && work.isCheckpointing === true && hasBegun;
    const last = savesNow ? createCheckpoint(task, workedMs) : saved;
    this.ends.push({ number: this.ends.length + 1, task, run, how, saved: last });
    this._options.record.add(`run ${task} ${run} ends on worker ${this.id}: ${how}`);
  }

  /** Returns the rough figure for the last half second: tail latency, or processors in use. */
  private _getFigure({ work, pacePercent, hasBegun }: WorkerRun): number {
    const { tailMs, cpu } = work;
    if (tailMs !== undefined) {
      const disturbance = 1 + DISTURBANCE * this._fillingShare;
      return Math.round(tailMs * this._options.getLoad() * disturbance);
    }
    return hasBegun ? Math.round((cpu * pacePercent) / FULL_PERCENT) : 0;
  }

  /** Share of the worker's processors that tasks which fill use. */
  private get _fillingShare(): number {
    const used = this.runs
      .filter(({ work, hasBegun }) => work.isFilling === true && hasBegun)
      .reduce((sum, { work, pacePercent }) => sum + (work.cpu * pacePercent) / FULL_PERCENT, 0);
    return used / this._options.cpu;
  }

  private _answer(body: object = {}): JsonReply {
    return { status: 200, body: { clock_ms: this.clockMs, born: this.born, ...body } };
  }

  private _refuse(reason: string): JsonReply {
    return { status: 409, body: { clock_ms: this.clockMs, reason } };
  }
}

function getPercent({ work, workedMs, hasBegun }: WorkerRun): number {
  if (work.workMs === undefined) {
    return hasBegun ? FULL_PERCENT : 0;
  }
  return Math.min(FULL_PERCENT, Math.floor((FULL_PERCENT * workedMs) / work.workMs));
}
