/**
 * Stand-in for the users' worker: their protocol over the worker model, and its heartbeats. The model
 * can be replaced by that of the next incarnation at the same address.
 */
import { z } from "zod";
import { request } from "undici";
import type {
  WorkerAnnouncement,
  WorkerCallFailure,
} from "../../src/protocol/platform/PoolWorker.ts";
import type { PoolWorkerModel } from "../pool/PoolWorkerModel.ts";
import {
  createReply,
  JsonServer,
  type JsonReply,
  type JsonRequest,
} from "../support/JsonServer.ts";

const MB = 1_048_576;
const REASONS: Partial<Record<WorkerCallFailure["kind"], string>> = {
  fenced: "fence",
  "old-run": "old",
  late: "late",
  "no-room": "room",
};

const RunBody = z.object({ task: z.string(), run: z.number(), fencing_token: z.number() });
const StartBody = RunBody.extend({
  spec: z.string(),
  deadline_ms: z.number().int(),
  last_checkpoint: z.string().default(""),
});
const HoldBody = z.object({
  fencing_token: z.number(),
  last_seen: z.number(),
  deadline_ms: z.number().int().optional(),
  wait_ms: z.number().int().default(0),
});

/** Worker with the users' protocol. */
export class WorkerServer {
  private readonly _address: string;
  private _model: PoolWorkerModel;
  private readonly _server: JsonServer;

  /**
   * Creates a worker that does not listen yet.
   * @param address - Address to listen on, as "host:port".
   * @param model - State of the worker.
   */
  constructor(address: string, model: PoolWorkerModel) {
    this._address = address;
    this._model = model;
    this._server = new JsonServer(address, (req) => this._serve(req));
  }

  /** Starts listening. */
  async start(): Promise<void> {
    await this._server.start();
  }

  /** Stops listening and closes all connections. */
  async stop(): Promise<void> {
    await this._server.stop();
  }

  /** State of the incarnation that responds at the address. */
  get model(): PoolWorkerModel {
    return this._model;
  }

  set model(model: PoolWorkerModel) {
    this._model = model;
  }

  /**
   * Sends a heartbeat.
   * @param target - Address of the agent.
   * @param announcement - What it says; by default, the next announcement of the worker.
   * @returns HTTP status of the response.
   */
  async sendHeartbeat(
    target: string,
    announcement: WorkerAnnouncement = this._model.announce(),
  ): Promise<number> {
    const { id, startedAtMs, pool, zone, draining, capacity, labels, sequence } = announcement;
    const { statusCode, body } = await request(`http://${target}/v1/instances/${id}`, {
      method: "PUT",
      body: JSON.stringify({
        service: pool,
        address: this._address,
        zone,
        version: "v1",
        slots: 8,
        state: draining ? "draining" : "ready",
        cold_remaining_ms: 0,
        capacity: { cpu: capacity.processorsMilli, mem_mb: capacity.memoryBytes / MB, gpu: 0 },
        labels,
        seq_no: sequence,
        born: startedAtMs,
      }),
    });
    await body.dump();
    return statusCode;
  }

  private async _serve(req: JsonRequest): Promise<JsonReply> {
    const worker = this._model.id;
    const expected = req.headers["expect-instance"];
    if (expected !== undefined && expected !== worker) {
      return createReply({}, 421);
    }
    switch (req.path) {
      case "/v1/run-start":
        return this._start(worker, StartBody.parse(req.body));
      case "/v1/run-stop": {
        const { task, run, fencing_token: fencingToken } = RunBody.parse(req.body);
        const stopped = await this._model.stop({ worker, task, run, fencingToken });
        return stopped.match(createDoneReply, createRefusal);
      }
      case "/v1/pace": {
        const { task, run, fencing_token: fencingToken } = RunBody.parse(req.body);
        const paced = await this._model.pace({ worker, task, run, fencingToken });
        return paced.match(createDoneReply, createRefusal);
      }
      case "/v1/hold":
        return this._hold(worker, HoldBody.parse(req.body));
      default:
        return createReply({}, 404);
    }
  }

  private async _start(worker: string, body: z.infer<typeof StartBody>): Promise<JsonReply> {
    const started = await this._model.start({
      worker,
      fencingToken: body.fencing_token,
      task: body.task,
      run: body.run,
      payload: body.spec,
      checkpoint: body.last_checkpoint,
      leaseUntilMs: body.deadline_ms,
      ticket: "",
    });
    return started.match(createDoneReply, createRefusal);
  }

  private async _hold(worker: string, body: z.infer<typeof HoldBody>): Promise<JsonReply> {
    const lists = await this._model.sync({
      worker,
      fencingToken: body.fencing_token,
      leaseUntilMs: body.deadline_ms,
      ackedEnd: body.last_seen,
      waitMs: body.wait_ms,
    });
    return lists.match(
      ({ clockMs, startedAtMs, running, ended }) =>
        createReply({
          clock_ms: clockMs,
          born: startedAtMs,
          running: running.map((run) => [
            ...[run.task, run.run, run.checkpoint, run.percent, run.measure],
          ]),
          ended: ended.map((end) => [
            ...[end.number, end.task, end.run, end.outcome, end.checkpoint],
          ]),
        }),
      createRefusal,
    );
  }
}

function createDoneReply(): JsonReply {
  return createReply({ clock_ms: 0 });
}

function createRefusal({ kind }: WorkerCallFailure): JsonReply {
  return kind === "unknown" ? { kind: "hang" } : createReply({ reason: REASONS[kind] ?? "" }, 409);
}
