/**
 * One life of a worker stand-in: its runs, its lease, its fence and the ends that are not forgotten.
 */
import type { CaseRecord } from "./CaseRecord.ts";

/** Longest lease that is granted, in milliseconds (`hold_max_ms`). */
export const HOLD_MAX_MS = 6_000;
/** Time that a stop takes, in milliseconds; at most `stop_ms`. */
const STOP_TAKES_MS = 300;
const STARTUP_MS = 400;
const TICK_MS = 25;
const MAX_LISTED_ENDS = 500;

/** What a task needs and does. */
export interface TaskNeeds {
  readonly cpu: number;
  readonly memMb: number;
  /** Time of its work in milliseconds; undefined for a task that lasts. */
  readonly workMs: number | undefined;
}

/** What a life is constructed with. */
export interface LifeOptions {
  readonly id: string;
  readonly name: string;
  readonly cpu: number;
  readonly memMb: number;
  readonly getNeeds: (task: string) => TaskNeeds;
  readonly record: CaseRecord;
}

/** Reply to a call. */
export interface WorkerReply {
  readonly status: number;
  readonly body: Readonly<Record<string, unknown>>;
}

/** A run that has not ended. */
export interface Run {
  readonly task: string;
  readonly run: number;
  readonly needs: TaskNeeds;
  readonly startedAt: number;
  stopsAt: number | undefined;
}

type EndRow = readonly [number, string, number, string, string];
type Body = Readonly<Record<string, unknown>>;

/** One life of a worker. */
export class WorkerLife {
  readonly id: string;
  readonly born = Date.now();
  private readonly _options: LifeOptions;
  private readonly _startedAt = performance.now();
  private readonly _runs = new Map<string, Run>();
  private readonly _lastRuns = new Map<string, number>();
  private readonly _timer: NodeJS.Timeout;
  private _ends: readonly EndRow[] = [];
  private _endCount = 0;
  private _fence = 0;
  private _leaseUntilMs = 0;

  /**
   * Starts a life without runs.
   * @param options - What it is constructed with.
   */
  constructor(options: LifeOptions) {
    this._options = options;
    this.id = options.id;
    this._timer = setInterval(() => {
      this._tick();
    }, TICK_MS);
  }

  /** Time on the worker's clock, in milliseconds. */
  get clockMs(): number {
    return Math.floor(performance.now() - this._startedAt);
  }

  /** What runs now. */
  get runs(): readonly Run[] {
    return [...this._runs.values()];
  }

  /** Number of ends that are not forgotten. */
  get keptEnds(): number {
    return this._ends.length;
  }

  /** Ends the life with all that runs. */
  end(): void {
    clearInterval(this._timer);
    this._runs.clear();
  }

  /**
   * Handles a call.
   * @param path - Path of the call.
   * @param body - Its body.
   */
  async handle(path: string, body: Body): Promise<WorkerReply> {
    const fence = Number(body.fencing_token ?? 0);
    if (fence < this._fence) {
      return refuse("fence");
    }
    this._fence = fence;
    switch (path) {
      case "/v1/run-start":
        return this._start(body);
      case "/v1/run-stop":
        return this._stop(body);
      case "/v1/hold":
        return this._hold(body);
      default:
        return { status: path === "/v1/pace" ? 200 : 404, body: {} };
    }
  }

  private _start(body: Body): WorkerReply {
    const [task, run] = [String(body.task), Number(body.run)];
    const key = `${task} ${run}`;
    if (Number(body.deadline_ms) <= this.clockMs) {
      return refuse("late");
    }
    this._extend(body);
    if (this._runs.has(key)) {
      return { status: 200, body: {} };
    }
    if (run <= (this._lastRuns.get(task) ?? 0)) {
      return refuse("old");
    }
    const needs = this._options.getNeeds(task);
    if (!this._fits(needs)) {
      return refuse("room");
    }
    this._runs.set(key, { task, run, needs, startedAt: performance.now(), stopsAt: undefined });
    this._note(`starts ${key}`);
    return { status: 200, body: {} };
  }

  private _stop(body: Body): WorkerReply {
    const [task, run] = [String(body.task), Number(body.run)];
    const known = this._runs.get(`${task} ${run}`);
    this._note(`is told to stop ${task} ${run}`);
    if (known === undefined) {
      this._lastRuns.set(task, Math.max(run, this._lastRuns.get(task) ?? 0));
    } else {
      known.stopsAt ??= performance.now() + STOP_TAKES_MS;
    }
    return { status: 200, body: {} };
  }

  private async _hold(body: Body): Promise<WorkerReply> {
    this._extend(body);
    const lastSeen = Number(body.last_seen ?? 0);
    this._ends = this._ends.filter(([number]) => number > lastSeen);
    const until = performance.now() + Number(body.wait_ms ?? 0);
    while (this._ends.length === 0 && performance.now() < until) {
      await new Promise((resolve) => setTimeout(resolve, TICK_MS));
    }
    const now = performance.now();
    const running = this.runs.map((run) => [run.task, run.run, "", getPercent(run, now), 0]);
    return { status: 200, body: { running, ended: this._ends.slice(0, MAX_LISTED_ENDS) } };
  }

  private _extend({ deadline_ms: deadline }: Body): void {
    const latest = this.clockMs + HOLD_MAX_MS;
    this._leaseUntilMs = Math.max(this._leaseUntilMs, Math.min(latest, Number(deadline ?? 0)));
  }

  private _fits({ cpu, memMb }: TaskNeeds): boolean {
    const used = this.runs.reduce((sum, { needs }) => sum + needs.cpu, cpu);
    const usedMb = this.runs.reduce((sum, { needs }) => sum + needs.memMb, memMb);
    return used <= this._options.cpu && usedMb <= this._options.memMb;
  }

  private _tick(): void {
    const now = performance.now();
    const hasLapsed = this.clockMs >= this._leaseUntilMs;
    this._runs.forEach((run) => {
      if (run.needs.workMs !== undefined && now - run.startedAt >= run.needs.workMs) {
        this._end(run, "done");
      } else if (hasLapsed) {
        this._end(run, "lapsed");
      } else if (run.stopsAt !== undefined && now >= run.stopsAt) {
        this._end(run, "stopped");
      }
    });
  }

  private _end({ task, run }: Run, how: string): void {
    this._runs.delete(`${task} ${run}`);
    this._lastRuns.set(task, Math.max(run, this._lastRuns.get(task) ?? 0));
    this._endCount += 1;
    this._ends = [...this._ends, [this._endCount, task, run, how, ""]];
    this._note(`ends ${task} ${run} ${how}`);
  }

  private _note(text: string): void {
    this._options.record.add(this._options.name, text);
  }
}

function getPercent({ needs, startedAt }: Run, now: number): number {
  const share = (now - startedAt) / (needs.workMs ?? STARTUP_MS);
  return Math.floor(100 * Math.min(1, share));
}

function refuse(reason: string): WorkerReply {
  return { status: 409, body: { reason } };
}
