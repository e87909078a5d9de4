/**
 * Stand-in for a worker at one address: one life after the other, each with its own id, clock, fence
 * numbers, lease and ends, and the heartbeats to the agent of its machine.
 */
import type { GangTable } from "./GangTable.ts";
import { callJson, JsonServer, type JsonReply, type JsonRequest } from "./jsonHttp.ts";
import type { CaseRecord } from "./CaseRecord.ts";
import { WorkerLife } from "./WorkerLife.ts";

const HEARTBEAT_MS = 1_100;
const CPU = 32_000;
const MEM_MB = 128_000;
const RETRY_MS = 200;

/** Options of a worker. */
export interface WorkerOptions {
  readonly name: string;
  readonly service: string;
  readonly address: string;
  /** Address of its agent for heartbeats. */
  readonly announcements: string;
  readonly zone: string;
  readonly rack: string;
  readonly record: CaseRecord;
  readonly gangs: GangTable;
}

/** Worker with its lives. */
export class WorkerStandIn {
  readonly rack: string;
  /** Whether it rejects all starts as an unhealthy worker does; it does nothing then. */
  isUnhealthy = false;
  /** Whether it fails all that it starts. */
  isFailing = false;
  /** Load of the tasks that serve, as a multiple of their usual one. */
  load = 1;
  private readonly _options: WorkerOptions;
  private readonly _server: JsonServer;
  private _life: WorkerLife | undefined;
  private _lives = 0;
  private _timer: NodeJS.Timeout | undefined;

  /**
   * Creates a worker that does not run yet.
   * @param options - Its options.
   */
  constructor(options: WorkerOptions) {
    this._options = options;
    this.rack = options.rack;
    this._server = new JsonServer(options.address, (req) => this._serve(req));
  }

  /** The present life; undefined while it is down. */
  get life(): WorkerLife | undefined {
    return this._life;
  }

  /** Name of the worker. */
  get name(): string {
    return this._options.name;
  }

  /** Begins a life. */
  async start(): Promise<void> {
    this._lives += 1;
    const { name, record, gangs } = this._options;
    const id = `${name}-${this._lives}`;
    this._life = new WorkerLife({
      ...{ id, cpu: CPU, memMb: MEM_MB, record, gangs },
      isFailing: () => this.isFailing,
      getLoad: () => this.load,
    });
    record.add(`worker ${id} starts`);
    await this._server.listen();
    this._beat();
  }

  /** Ends the present life without a word: all of its runs and connections end with it. */
  async crash(): Promise<void> {
    const life = this._life;
    if (life === undefined) {
      return;
    }
    this._options.record.add(`worker ${life.id} crashes`);
    this._life = undefined;
    clearTimeout(this._timer);
    life.end();
    await this._server.crash();
  }

  /** Ends the worker for good. */
  async end(): Promise<void> {
    clearTimeout(this._timer);
    this._life?.end();
    this._life = undefined;
    await this._server.crash();
  }

  private _beat(): void {
    const life = this._life;
    if (life === undefined) {
      return;
    }
    void this._announce(life).then((status) => {
      if (life === this._life) {
        this._timer = setTimeout(
          () => {
            this._beat();
          },
          status === 200 ? HEARTBEAT_MS : RETRY_MS,
        );
      }
    });
  }

  private async _announce(life: WorkerLife): Promise<number> {
    const { service, address, announcements, zone, rack } = this._options;
    const { status } = await callJson(announcements, {
      ...{ method: "PUT", path: `/v1/instances/${life.id}`, timeoutMs: 1_000 },
      body: {
        ...{ service, address, zone, version: "v1", slots: 8, state: "ready" },
        ...{ cold_remaining_ms: 0, capacity: { cpu: CPU, mem_mb: MEM_MB, gpu: 0 } },
        ...{ labels: ["a", rack], clock_ms: life.clockMs, seq_no: life.nextSequence() },
        born: life.born,
      },
    });
    return status;
  }

  private async _serve({ method, path, headers, body }: JsonRequest): Promise<JsonReply> {
    const life = this._life;
    if (life === undefined || method !== "POST") {
      return { status: 404, body: {} };
    }
    const expected = headers["expect-instance"];
    if (expected !== undefined && expected !== life.id) {
      return { status: 421, body: {} };
    }
    if (path === "/v1/run-start" && this.isUnhealthy) {
      const { task = "", run = 0 } = body as { readonly task?: string; readonly run?: number };
      this._options.record.add(`worker ${life.id} rejects the start of ${task} run ${run}: 503`);
      return { status: 503, body: { clock_ms: life.clockMs } };
    }
    return await life.serve(path, body);
  }
}
