/**
 * Adapter for a worker that is called over HTTP with JSON bodies.
 */
import { err, ok } from "neverthrow";
import type { Result, ResultAsync } from "neverthrow";
import { z } from "zod";
import { Worker } from "../../protocol/platform/Worker.ts";
import type {
  WorkerFailure,
  WorkerLease,
  WorkerReport,
  WorkerStart,
  WorkerTask,
} from "../../protocol/platform/Worker.ts";
import { JsonClient } from "../http/JsonClient.ts";
import type { JsonResponse, JsonFailure } from "../http/JsonClient.ts";

const ResourcesReply = z.object({
  processorsMilli: z.number(),
  memoryBytes: z.number(),
  accelerators: z.number(),
});
const TaskReply = z.object({
  task: z.string(),
  attempt: z.number(),
  partition: z.number(),
  epoch: z.number(),
  ownerAddress: z.string(),
  phase: z.enum(["running", "stopped", "completed", "failed"]),
  resources: ResourcesReply,
  used: ResourcesReply,
  checkpoint: z.string(),
  progress: z.number(),
  throttlePercent: z.number(),
  reason: z.string(),
  leaseLeftMs: z.number(),
  kind: z.string(),
  tenant: z.string(),
});
const ReportReply = z.object({
  vm: z.string(),
  clockMs: z.number(),
  capacity: ResourcesReply,
  used: ResourcesReply,
  heatLevel: z.number().optional(),
  tasks: z.array(TaskReply),
});
const CheckpointReply = z.object({ checkpoint: z.string() });
const StopReply = z.object({ task: TaskReply.nullable() });
const EmptyReply = z.object({});
const ErrorReply = z.object({ error: z.string() });

/** Address of a worker and how long it may be silent. */
export interface HttpWorkerOptions {
  /** Address as "host:port". */
  readonly address: string;
  /** Longest time without a byte of a response, in milliseconds. */
  readonly timeoutMs: number;
}

interface WorkerCall<T> {
  readonly method: "GET" | "POST";
  readonly path: string;
  readonly body: unknown;
  readonly reply: z.ZodType<T>;
}

/** Client of a worker over HTTP. */
export class HttpWorker extends Worker {
  private readonly _client: JsonClient;
  private readonly _timeoutMs: number;

  /**
   * Creates the adapter; it connects with the first call.
   * @param options - Address of the worker and how long it may be silent.
   */
  constructor(options: HttpWorkerOptions) {
    super();
    this._timeoutMs = options.timeoutMs;
    this._client = new JsonClient(options.address, options.timeoutMs);
  }

  /** Closes all connections; calls in progress fail. */
  async close(): Promise<void> {
    await this._client.close();
  }

  override report(): ResultAsync<WorkerReport, WorkerFailure> {
    const call = {
      method: "GET",
      path: "/v1/report",
      body: undefined,
      reply: ReportReply,
    } as const;
    return this._call(call).map((report) => ({ ...report, heatLevel: report.heatLevel }));
  }

  override start(start: WorkerStart): ResultAsync<void, WorkerFailure> {
    return this._post("/v1/start", start, EmptyReply).map(() => undefined);
  }

  override renew(
    task: string,
    attempt: number,
    lease: WorkerLease,
  ): ResultAsync<void, WorkerFailure> {
    return this._post("/v1/renew", { task, attempt, lease }, EmptyReply).map(() => undefined);
  }

  override checkpoint(task: string, attempt: number): ResultAsync<string, WorkerFailure> {
    return this._post("/v1/checkpoint", { task, attempt }, CheckpointReply).map(
      (reply) => reply.checkpoint,
    );
  }

  override throttle(
    task: string,
    attempt: number,
    percent: number,
  ): ResultAsync<void, WorkerFailure> {
    return this._post("/v1/throttle", { task, attempt, percent }, EmptyReply).map(() => undefined);
  }

  override stop(task: string, attempt: number): ResultAsync<WorkerTask | undefined, WorkerFailure> {
    return this._post("/v1/stop", { task, attempt }, StopReply).map(
      (reply) => reply.task ?? undefined,
    );
  }

  override forget(task: string, attempt: number): ResultAsync<void, WorkerFailure> {
    return this._post("/v1/forget", { task, attempt }, EmptyReply).map(() => undefined);
  }

  private _post<T>(
    path: string,
    body: unknown,
    reply: z.ZodType<T>,
  ): ResultAsync<T, WorkerFailure> {
    return this._call({ method: "POST", path, body, reply });
  }

  private _call<T>(call: WorkerCall<T>): ResultAsync<T, WorkerFailure> {
    const { method, path, body } = call;
    return this._client
      .call({ method, path, body, timeoutMs: this._timeoutMs })
      .mapErr(toFailure)
      .andThen((response) => parseResponse(response, call));
  }
}

function parseResponse<T>(response: JsonResponse, call: WorkerCall<T>): Result<T, WorkerFailure> {
  const { status, body } = response;
  if (status !== 200) {
    return err(toRefusal(status, ErrorReply.safeParse(body).data?.error));
  }
  const reply = call.reply.safeParse(body);
  if (!reply.success) {
    return err(failure("unavailable", true, "the response of the worker has an unexpected format"));
  }
  return ok(reply.data);
}

function toRefusal(status: number, reason: string | undefined): WorkerFailure {
  const detail = reason ?? `the worker responded with status ${status}`;
  switch (status) {
    case 404:
      return failure("unknown-task", false, detail);
    case 400:
    case 409:
      return failure("refused", false, detail);
    default:
      return failure("unavailable", true, detail);
  }
}

function toFailure(cause: JsonFailure): WorkerFailure {
  return failure("unavailable", cause.mayHaveArrived, cause.detail);
}

function failure(
  kind: WorkerFailure["kind"],
  mayHaveActed: boolean,
  detail: string,
): WorkerFailure {
  return { kind, mayHaveActed, detail };
}
