/**
 * Stand-in for a worker of the platform: runs tasks under one lease on its own clock, lists what
 * runs and what has ended, and announces itself to the agent of its machine.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { CaseRecord } from "./CaseRecord.ts";
import { WorkerLife, type TaskNeeds, type WorkerReply } from "./WorkerLife.ts";
import { sendJson } from "./sendJson.ts";

/** Time between two heartbeats, in milliseconds. */
export const HEARTBEAT_MS = 1_100;

/** What a worker is constructed with. */
export interface WorkerOptions {
  readonly name: string;
  /** Address of its calls. */
  readonly address: string;
  /** Address of the agent for its heartbeats. */
  readonly announcements: string;
  readonly service: string;
  readonly zone: string;
  readonly rack: string;
  readonly cpu: number;
  readonly memMb: number;
  readonly getNeeds: (task: string) => TaskNeeds;
  readonly record: CaseRecord;
}

let lives = 0;

/** One worker and its lives. */
export class WorkerStandin {
  readonly options: WorkerOptions;
  private _life: WorkerLife | undefined;
  private _server: Server | undefined;
  private _heartbeat: NodeJS.Timeout | undefined;
  private _sequence = 0;

  /**
   * Creates a worker; it is down until `start` is called.
   * @param options - What it is constructed with.
   */
  constructor(options: WorkerOptions) {
    this.options = options;
  }

  /** The present life; undefined while the worker is down. */
  get life(): WorkerLife | undefined {
    return this._life;
  }

  /** Starts a new life: nothing of a former one is known. */
  async start(): Promise<void> {
    lives += 1;
    const { address, record, name } = this.options;
    const id = `i-${(0x5f_3a91c2 + 7_919 * lives).toString(16)}`;
    const life = new WorkerLife({ ...this.options, id });
    this._life = life;
    this._sequence = 0;
    const server = createServer((req, res) => void serve(life, req, res));
    this._server = server;
    const [host, port] = address.split(":");
    await new Promise<void>((resolve) => server.listen(Number(port), host, resolve));
    record.add(name, `is up as ${id}`);
    await this._sendHeartbeat(life);
  }

  /** Crashes: all that runs ends at once, and nothing answers. */
  crash(): void {
    const { record, name } = this.options;
    record.add(name, "crashes");
    this._stop();
  }

  /** Ends at the end of a case. */
  end(): void {
    this._stop();
  }

  private _stop(): void {
    clearTimeout(this._heartbeat);
    this._life?.end();
    this._life = undefined;
    this._server?.close();
    this._server?.closeAllConnections();
    this._server = undefined;
  }

  private async _sendHeartbeat(life: WorkerLife): Promise<void> {
    if (life !== this._life) {
      return;
    }
    this._sequence += 1;
    const { address, announcements, service, zone, rack, cpu, memMb } = this.options;
    const body = {
      ...{ service, address, zone, version: "v1", slots: 8, state: "ready" },
      ...{ cold_remaining_ms: 0, capacity: { cpu, mem_mb: memMb, gpu: 0 }, labels: ["a", rack] },
      ...{ clock_ms: life.clockMs, seq_no: this._sequence, born: life.born },
    };
    const sent = sendJson("PUT", announcements, `/v1/instances/${life.id}`, body);
    this._heartbeat = setTimeout(() => void this._sendHeartbeat(life), HEARTBEAT_MS);
    await sent;
  }
}

async function serve(life: WorkerLife, req: IncomingMessage, res: ServerResponse): Promise<void> {
  const text = Buffer.concat((await req.toArray()) as Buffer[]).toString();
  const instance = String(req.headers["expect-instance"] ?? life.id);
  const reply: WorkerReply =
    instance === life.id
      ? await life.handle(req.url ?? "", JSON.parse(text) as Record<string, unknown>)
      : { status: 421, body: {} };
  const { id, born, clockMs } = life;
  res.writeHead(reply.status, { "content-type": "application/json" });
  res.end(JSON.stringify({ id, born, clock_ms: clockMs, ...reply.body }));
}
