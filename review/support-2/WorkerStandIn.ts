/**
 * Stand-in for one life of the users' worker: runs under a lease on its own clock, fencing numbers,
 * lists of runs and of ends, and heartbeats to the agent on its machine.
 */
import type { z } from "zod";
import { request } from "undici";
import {
  createReply,
  JsonServer,
  type JsonReply,
  type JsonRequest,
} from "../../standins/support/JsonServer.ts";
import {
  getLateMs,
  HoldBody,
  RunBody,
  StartBody,
  type Start,
  type WorkedRun,
  type WorkerOptions,
} from "./workerCalls.ts";

const MAX_LEASE_MS = 10_000;
const MAX_LISTED_ENDS = 500;
const HEARTBEAT_MS = 1_100;
const CHECK_MS = 10;
const STOP_MS = 100;
const FULL_PERCENT = 100;
/** Bound `gang_timeout_ms`. */
const GANG_TIMEOUT_MS = 3_000;
const HEX = 16;
const CHECKPOINT_TIME_DIGITS = 8;
/** Time after its start from which a task that lasts is at work, in milliseconds. */
const STARTUP_MS = 100;

/** One life of a worker. */
export class WorkerStandIn {
  /** Status with which an unhealthy worker refuses starts; undefined for a healthy one. */
  refusesStartsWith: 429 | 503 | undefined;
  /** Each start of this many gets no answer and is carried out late; 0 for none. */
  lateEvery = 0;
  /** Next life at the address; one with the same id carries out late orders after a crash. */
  next: WorkerStandIn | undefined;
  /** Whether all that it runs fails. */
  failsRuns = false;
  private readonly _options: WorkerOptions;
  private readonly _born = Date.now();
  private readonly _bornAt = performance.now();
  private readonly _server: JsonServer;
  private readonly _running = new Map<string, WorkedRun>();
  private readonly _stopsAt = new Map<string, number>();
  private readonly _lastRuns = new Map<string, number>();
  private _ends: readonly (readonly [number, string, number, string, string])[] = [];
  private readonly _endedRuns = new Map<number, WorkedRun>();
  private _endCount = 0;
  private _fence = 0;
  private _leaseUntilMs = 0;
  private _sequence = 0;
  private _startCount = 0;
  private _usedCpu = 0;
  private _isDown = false;
  private _checks: NodeJS.Timeout | undefined;
  private _heartbeats: NodeJS.Timeout | undefined;

  /**
   * Creates a worker that does not listen yet.
   * @param options - Its options.
   */
  constructor(options: WorkerOptions) {
    this._options = options;
    this._server = new JsonServer(options.address, (req) => this._serve(req));
  }

  /** Starts listening and sends heartbeats. */
  async start(): Promise<void> {
    await this._server.start();
    const beat = (): void => {
      this._sendHeartbeat().catch(() => undefined);
    };
    beat();
    this._heartbeats = setInterval(beat, HEARTBEAT_MS);
    this._checks = setInterval(() => {
      this._endDueRuns();
    }, CHECK_MS);
  }

  /** Crashes: all that runs is gone, and no call gets a response. */
  async crash(): Promise<void> {
    this._isDown = true;
    clearInterval(this._checks);
    clearInterval(this._heartbeats);
    this._running.forEach((run) => {
      run.endedAt = performance.now();
      run.how = "crash of the worker";
      this._options.gangs.leave(run.start.task, run.start.run);
    });
    this._running.clear();
    await this._server.stop();
  }

  /** Its id. */
  get id(): string {
    return this._options.id;
  }

  private get _clockMs(): number {
    return Math.floor(performance.now() - this._bornAt);
  }

  private async _sendHeartbeat(): Promise<void> {
    const { id, service, zone, labels, cpu, address, control } = this._options;
    this._sequence += 1;
    const { body } = await request(`http://${control}/v1/instances/${id}`, {
      method: "PUT",
      headers: { "content-type": "application/json" },
      body: JSON.stringify({
        ...{ service, address, zone, version: "v1", slots: 8, state: "ready" },
        ...{ cold_remaining_ms: 0, capacity: { cpu, mem_mb: 128_000, gpu: 0 }, labels },
        ...{ clock_ms: this._clockMs, seq_no: this._sequence, born: this._born },
      }),
    });
    await body.dump();
  }

  private _serve(req: JsonRequest): Promise<JsonReply> | JsonReply {
    const expected = req.headers["expect-instance"];
    if (expected !== undefined && expected !== this._options.id) {
      return createReply({ clock_ms: this._clockMs }, 421);
    }
    switch (req.path) {
      case "/v1/run-start":
        return this._startOrDelay(StartBody.parse(req.body));
      case "/v1/run-stop":
        return this._stop(RunBody.parse(req.body));
      case "/v1/pace":
        return this._acceptFence(RunBody.parse(req.body).fencing_token)
          ? this._reply()
          : this._refuse("fence");
      case "/v1/hold":
        return this._hold(HoldBody.parse(req.body));
      default:
        return createReply({}, 404);
    }
  }

  private _reply(body: object = {}): JsonReply {
    return createReply({ clock_ms: this._clockMs, born: this._born, ...body });
  }

  private _refuse(reason: string): JsonReply {
    return createReply({ clock_ms: this._clockMs, reason }, 409);
  }

  private _acceptFence(fence: number): boolean {
    this._fence = Math.max(this._fence, fence);
    return fence === this._fence;
  }

  private _extendLease(untilMs: number): void {
    const until = Math.min(untilMs, this._clockMs + MAX_LEASE_MS);
    this._leaseUntilMs = Math.max(this._leaseUntilMs, until);
  }

  /** Carries a start out, now or late and without an answer. */
  private _startOrDelay(start: Start): JsonReply {
    this._startCount += 1;
    if (this.lateEvery === 0 || this._startCount % this.lateEvery !== 0) {
      return this._start(start);
    }
    setTimeout(() => this._findLife()?._start(start), getLateMs(this._startCount));
    return { kind: "hang" };
  }

  /** Returns the life that is there now under this id; undefined if there is none. */
  private _findLife(): WorkerStandIn | undefined {
    if (!this._isDown) {
      return this;
    }
    return this.next?.id === this.id ? this.next._findLife() : undefined;
  }

  private _start(start: Start): JsonReply {
    const { task, run } = start;
    if (this.refusesStartsWith !== undefined) {
      return createReply({ clock_ms: this._clockMs }, this.refusesStartsWith);
    }
    if (!this._acceptFence(start.fencing_token)) {
      return this._refuse("fence");
    }
    if (start.deadline_ms <= this._clockMs) {
      return this._refuse("late");
    }
    this._extendLease(start.deadline_ms);
    if (this._running.has(`${task} ${run}`)) {
      return this._reply();
    }
    if (run <= (this._lastRuns.get(task) ?? 0)) {
      return this._refuse("old");
    }
    if (this._usedCpu + this._options.getLoad(task).cpu > this._options.cpu) {
      return this._refuse("room");
    }
    const { id: worker, journal } = this._options;
    const startedAt = performance.now();
    const worked: WorkedRun = {
      worker,
      start,
      startedAt,
      endedAt: undefined,
      how: "",
      isNoted: false,
    };
    journal.push(worked);
    this._usedCpu += this._options.getLoad(task).cpu;
    this._running.set(`${task} ${run}`, worked);
    const { gangSize } = this._options.getLoad(task);
    if (gangSize !== undefined) {
      this._options.gangs.enter(task, run, gangSize);
    }
    return this._reply();
  }

  private _stop({ task, run, fencing_token: fence }: z.infer<typeof RunBody>): JsonReply {
    if (!this._acceptFence(fence)) {
      return this._refuse("fence");
    }
    const key = `${task} ${run}`;
    if (this._running.has(key)) {
      this._stopsAt.set(key, this._stopsAt.get(key) ?? performance.now() + STOP_MS);
    } else {
      this._lastRuns.set(task, Math.max(run, this._lastRuns.get(task) ?? 0));
    }
    return this._reply();
  }

  private async _hold(call: z.infer<typeof HoldBody>): Promise<JsonReply> {
    if (!this._acceptFence(call.fencing_token)) {
      return this._refuse("fence");
    }
    this._extendLease(call.deadline_ms ?? 0);
    this._noteEnds(call.last_seen);
    const until = performance.now() + call.wait_ms;
    while (this._ends.length === 0 && performance.now() < until && !this._isDown) {
      await new Promise((resolve) => setTimeout(resolve, CHECK_MS));
    }
    return this._isDown
      ? { kind: "cut" }
      : this._reply({
          running: [...this._running.values()].map((run) => this._list(run)),
          ended: this._ends.slice(0, MAX_LISTED_ENDS),
        });
  }

  /** Gets for how long a run has worked, with the work before its checkpoint, in milliseconds. */
  private _getWorkedMs({ start, startedAt }: WorkedRun): number {
    const { task, run, last_checkpoint: checkpoint } = start;
    const resumedMs =
      checkpoint === "" ? 0 : Number.parseInt(checkpoint.slice(0, CHECKPOINT_TIME_DIGITS), HEX);
    const { gangSize } = this._options.getLoad(task);
    const workedMs =
      gangSize === undefined
        ? performance.now() - startedAt
        : (this._options.gangs.getWorkedMs(task, run) ?? 0);
    return resumedMs + workedMs;
  }

  /** Gets the checkpoint of a run: the time of work that it holds, and digits of the job. */
  private _getCheckpoint(run: WorkedRun): string {
    const { checkpointMs } = this._options.getLoad(run.start.task);
    if (checkpointMs === undefined) {
      return "";
    }
    const savedMs = Math.floor(this._getWorkedMs(run) / checkpointMs) * checkpointMs;
    const time = savedMs.toString(HEX).padStart(CHECKPOINT_TIME_DIGITS, "0");
    return savedMs === 0 ? "" : time + run.start.task.slice(4, 4 + CHECKPOINT_TIME_DIGITS);
  }

  private _noteEnds(lastSeen: number): void {
    this._ends
      .filter(([number]) => number <= lastSeen)
      .forEach(([number]) => {
        const run = this._endedRuns.get(number);
        if (run !== undefined) {
          run.isNoted = true;
        }
      });
    this._ends = this._ends.filter(([number]) => number > lastSeen);
  }

  private _list(run: WorkedRun): readonly unknown[] {
    const { start, startedAt } = run;
    const { cpu, workMs } = this._options.getLoad(start.task);
    const lasting = performance.now() - startedAt >= STARTUP_MS ? FULL_PERCENT : 0;
    const percent =
      workMs === undefined
        ? lasting
        : Math.min(FULL_PERCENT, Math.floor((FULL_PERCENT * this._getWorkedMs(run)) / workMs));
    return [start.task, start.run, this._getCheckpoint(run), percent, cpu];
  }

  private _endDueRuns(): void {
    const hasLapsed = this._clockMs >= this._leaseUntilMs;
    [...this._running].forEach(([key, run]) => {
      const how = hasLapsed ? "lapsed" : this._findEnd(key, run);
      if (how !== undefined) {
        this._end(key, run, how);
      }
    });
  }

  private _findEnd(key: string, run: WorkedRun): string | undefined {
    const { task, run: number } = run.start;
    const { workMs = Number.POSITIVE_INFINITY, gangSize } = this._options.getLoad(task);
    const now = performance.now();
    if (this._getWorkedMs(run) >= workMs) {
      return this.failsRuns ? "failed" : "done";
    }
    if (now >= (this._stopsAt.get(key) ?? Number.POSITIVE_INFINITY)) {
      return "stopped";
    }
    if (gangSize === undefined) {
      return undefined;
    }
    const { gangs } = this._options;
    if (gangs.getWorkedMs(task, number) === undefined) {
      return now - run.startedAt >= GANG_TIMEOUT_MS ? "alone" : undefined;
    }
    return gangs.isBroken(task, number) ? "broken" : undefined;
  }

  private _end(key: string, run: WorkedRun, how: string): void {
    const { task, run: number } = run.start;
    const checkpoint = this._getCheckpoint(run);
    if (how !== "done") {
      this._options.gangs.leave(task, number);
    }
    run.endedAt = performance.now();
    run.how = how;
    this._running.delete(key);
    this._usedCpu -= this._options.getLoad(task).cpu;
    this._stopsAt.delete(key);
    this._lastRuns.set(task, Math.max(number, this._lastRuns.get(task) ?? 0));
    this._endCount += 1;
    this._endedRuns.set(this._endCount, run);
    this._ends = [...this._ends, [this._endCount, task, number, how, checkpoint]];
  }
}
