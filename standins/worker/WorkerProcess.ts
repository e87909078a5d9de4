/**
 * The worker stand-in as a process: serves the model as JSON over HTTP, with faults of its
 * responses. Worker calls are below /v1; the journal and the switches are below /control.
 */
import { z } from "zod";
import type { Result } from "neverthrow";
import type { Clock } from "../../src/protocol/platform/Clock.ts";
import { createReply, JsonServer } from "../support/JsonServer.ts";
import type { JsonReply, JsonRequest } from "../support/JsonServer.ts";
import { Journal } from "../support/Journal.ts";
import { WorkerModel } from "./WorkerModel.ts";
import type { ModelRefusal, WorkerModelOptions } from "./WorkerModel.ts";
import type { WorkerEvent } from "./WorkerJournal.ts";

const Count = z.number().int().min(0);
const TaskCall = z.object({ task: z.string(), attempt: z.number() });
const Lease = z.object({ untilMs: z.number(), maxDurationMs: z.number() });
const RenewCall = TaskCall.extend({ lease: Lease });
const ThrottleCall = TaskCall.extend({ percent: z.number() });
const StartCall = TaskCall.extend({
  partition: z.number(),
  epoch: z.number(),
  ownerAddress: z.string(),
  resources: z.object({
    processorsMilli: z.number(),
    memoryBytes: z.number(),
    accelerators: z.number(),
  }),
  command: z.string(),
  checkpoint: z.string(),
  lease: Lease,
  kind: z.string(),
  tenant: z.string(),
});

/** Change of the conditions and faults; omitted fields keep their value. */
const Switches = z
  .object({
    /** Heat level to report; null for none. */
    heatLevel: Count.nullable(),
    failEverything: z.boolean(),
    refuseStarts: z.boolean(),
    otherProcessorsMilli: Count,
    /** "reset" closes connections of calls, "hang" sends no response; the calls have no effect. */
    outage: z.enum(["none", "reset", "hang"]),
    /** Delay before a call takes effect, in milliseconds. */
    delayMs: Count,
    /** Number of further calls that take effect and get no response. */
    lostAnswers: Count,
  })
  .partial()
  .strict();

/** Options of the worker process. */
export interface WorkerProcessOptions extends WorkerModelOptions {
  readonly listen: string;
  /** Path of the journal file; undefined for none. */
  readonly journal: string | undefined;
}

/** Worker stand-in that serves JSON over HTTP. */
export class WorkerProcess {
  private readonly _clock: Clock;
  private readonly _journal: Journal<WorkerEvent>;
  private readonly _model: WorkerModel;
  private readonly _server: JsonServer;
  private _outage: "none" | "reset" | "hang" = "none";
  private _delayMs = 0;
  private _lostAnswers = 0;

  /**
   * Creates a worker that does not listen yet.
   * @param clock - Clock of steps and leases.
   * @param options - Options of the worker process.
   */
  constructor(clock: Clock, options: WorkerProcessOptions) {
    this._clock = clock;
    this._journal = new Journal(options.journal);
    this._model = new WorkerModel(clock, options, this._journal);
    this._server = new JsonServer(options.listen, (req) => this._serve(req));
  }

  /** Starts listening. */
  async start(): Promise<void> {
    await this._server.start();
  }

  /** Stops listening and all tasks without recording their ends, as when the VM fails. */
  async stop(): Promise<void> {
    this._model.close();
    await this._server.stop();
  }

  private async _serve(req: JsonRequest): Promise<JsonReply> {
    if (req.path.startsWith("/control/")) {
      return this._control(req);
    }
    if (this._outage !== "none") {
      return { kind: this._outage === "hang" ? "hang" : "cut" };
    }
    if (this._delayMs > 0) {
      await this._clock.sleep(this._delayMs);
    }
    const reply = this._call(req);
    if (this._lostAnswers === 0) {
      return reply;
    }
    this._lostAnswers -= 1;
    return { kind: "cut" };
  }

  private _call(req: JsonRequest): JsonReply {
    switch (`${req.method} ${req.path}`) {
      case "GET /v1/report":
        return createReply(this._model.report());
      case "POST /v1/start":
        return toReply(this._model.start(StartCall.parse(req.body)));
      case "POST /v1/renew": {
        const { task, attempt, lease } = RenewCall.parse(req.body);
        return toReply(this._model.renew(task, attempt, lease));
      }
      case "POST /v1/checkpoint": {
        const { task, attempt } = TaskCall.parse(req.body);
        return toReply(this._model.checkpoint(task, attempt).map((checkpoint) => ({ checkpoint })));
      }
      case "POST /v1/throttle": {
        const { task, attempt, percent } = ThrottleCall.parse(req.body);
        return toReply(this._model.throttle(task, attempt, percent));
      }
      case "POST /v1/stop": {
        const { task, attempt } = TaskCall.parse(req.body);
        return createReply({ task: this._model.stop(task, attempt) ?? null });
      }
      case "POST /v1/forget": {
        const { task, attempt } = TaskCall.parse(req.body);
        return toReply(this._model.forget(task, attempt));
      }
      default:
        return createReply({ error: "unknown-operation" }, 400);
    }
  }

  private _control(req: JsonRequest): JsonReply {
    switch (`${req.method} ${req.path}`) {
      case "GET /control/health":
        return createReply({ ready: true });
      case "GET /control/journal":
        return createReply(this._journal.entries);
      case "PUT /control/switches":
        this._switch(Switches.parse(req.body));
        return createReply({});
      default:
        return createReply({ error: "unknown-operation" }, 404);
    }
  }

  private _switch(change: z.infer<typeof Switches>): void {
    const { conditions } = this._model;
    if (change.heatLevel !== undefined) {
      conditions.heatLevel = change.heatLevel ?? undefined;
    }
    conditions.failEverything = change.failEverything ?? conditions.failEverything;
    conditions.refuseStarts = change.refuseStarts ?? conditions.refuseStarts;
    conditions.otherProcessorsMilli =
      change.otherProcessorsMilli ?? conditions.otherProcessorsMilli;
    this._outage = change.outage ?? this._outage;
    this._delayMs = change.delayMs ?? this._delayMs;
    this._lostAnswers = change.lostAnswers ?? this._lostAnswers;
  }
}

function toReply(result: Result<unknown, ModelRefusal>): JsonReply {
  return result.match(
    (value) => createReply(value ?? {}),
    (refusal) => createReply({ error: refusal.detail }, refusal.kind === "refused" ? 409 : 404),
  );
}
