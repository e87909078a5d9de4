/**
 * The backend server stand-in: serves requests with random service times, announces itself to the
 * agent of its VM and records every request in a journal.
 */
import { createHash } from "node:crypto";
import { once } from "node:events";
import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { pipeline } from "node:stream/promises";
import type { z } from "zod";
import type { Clock } from "../../src/protocol/platform/Clock.ts";
import { RequestHeaders } from "../../src/protocol/RequestHeaders.ts";
import type { ServerAnnouncement } from "../../src/protocol/ServerAnnouncement.ts";
import { SeededRandom } from "../../tests/support/SeededRandom.ts";
import { parseAddress } from "../support/address.ts";
import { Journal } from "../support/Journal.ts";
import { createReply, JsonServer } from "../support/JsonServer.ts";
import type { JsonReply, JsonRequest } from "../support/JsonServer.ts";
import { Announcer } from "./Announcer.ts";
import { BackendFaultsChange, NO_BACKEND_FAULTS } from "./BackendFaults.ts";
import type { BackendFaults } from "./BackendFaults.ts";
import type { BackendEvent, RequestOutcome } from "./BackendJournal.ts";
import { Disturbance } from "./Disturbance.ts";
import { ServiceTimes } from "./ServiceTimes.ts";
import { createPatternStream } from "./streams.ts";

/** Base against which the relative URLs of requests are parsed. */
const BASE_URL = "http://backend";

/** Options of the backend server. */
export interface BackendOptions {
  readonly listen: string;
  readonly control: string;
  /** Local address of the agent. */
  readonly agent: string;
  /** Address of the worker whose tasks slow the server down. */
  readonly worker: string;
  readonly service: string;
  readonly id: string;
  readonly slots: number;
  readonly connections: number;
  readonly processorsMilli: number;
  readonly memoryBytes: number;
  /** Distribution of the service times, in the format of ServiceTimes. */
  readonly serviceTimes: string;
  readonly seed: number;
  /** Minimum time between the announcement of the shutdown and the exit, in milliseconds. */
  readonly drainMs: number;
  /** Path of the journal file; undefined for none. */
  readonly journal: string | undefined;
}

interface ServedRequest {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly url: URL;
  readonly requestId: string;
  readonly attempt: string;
}

/** Highest numbers of concurrent requests and connections so far. */
interface Peaks {
  readonly slots: number;
  readonly connections: number;
}

/** Backend server stand-in. */
export class BackendProcess {
  private readonly _clock: Clock;
  private readonly _options: BackendOptions;
  private readonly _journal: Journal<BackendEvent>;
  private readonly _server: Server;
  private readonly _control: JsonServer;
  private readonly _announcer: Announcer;
  private readonly _disturbance: Disturbance;
  private readonly _serviceTimes: ServiceTimes;
  private _faults = NO_BACKEND_FAULTS;
  private _inUse = 0;
  private _connections = 0;
  private _peaks: Peaks = { slots: 0, connections: 0 };
  private _isDraining = false;
  private _onIdle: () => void = () => undefined;

  /**
   * Creates a server that does not listen yet.
   * @param clock - Clock of service times and of the journal.
   * @param options - Options of the server.
   */
  constructor(clock: Clock, options: BackendOptions) {
    this._clock = clock;
    this._options = options;
    this._journal = new Journal(options.journal);
    this._announcer = new Announcer(clock, options.agent, () => this._createAnnouncement());
    this._disturbance = new Disturbance(clock, options.worker);
    this._serviceTimes = new ServiceTimes(options.serviceTimes, new SeededRandom(options.seed));
    this._control = new JsonServer(options.control, (req) => this._handleControl(req));
    this._server = createServer((req, res) => {
      void this._serve(req, res);
    });
    this._server.maxConnections = options.connections;
    this._server.on("connection", (socket) => {
      this._countConnections(1);
      socket.on("close", () => {
        this._countConnections(-1);
      });
    });
    this._server.on("drop", () => {
      this._peaks = { ...this._peaks, connections: options.connections + 1 };
    });
  }

  /** Starts listening and announces the server. */
  async start(): Promise<void> {
    this._server.listen(parseAddress(this._options.listen));
    await once(this._server, "listening");
    await this._control.start();
    this._announcer.start();
  }

  /** Announces the shutdown, waits for the requests in flight and stops listening. */
  async shutDown(): Promise<void> {
    this._isDraining = true;
    this._record({ event: "draining" });
    this._announcer.start();
    await this._clock.sleep(this._options.drainMs);
    while (this._inUse > 0) {
      await new Promise<void>((resolve) => {
        this._onIdle = resolve;
      });
    }
    await this.stop();
  }

  /** Stops listening and closes all connections. */
  async stop(): Promise<void> {
    this._announcer.stop();
    this._disturbance.stop();
    this._server.close();
    this._server.closeAllConnections();
    await this._control.stop();
    this._record({ event: "exit" });
  }

  private _createAnnouncement(): ServerAnnouncement {
    const { service, id, listen, slots, connections, processorsMilli, memoryBytes } = this._options;
    return {
      service,
      id,
      address: listen,
      slots,
      connections,
      inUse: this._inUse,
      draining: this._isDraining,
      processorsMilli,
      memoryBytes,
    };
  }

  private async _serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const run: ServedRequest = {
      req,
      res,
      url: URL.parse(req.url ?? "/", BASE_URL) ?? new URL(BASE_URL),
      requestId: getHeader(req, RequestHeaders.requestId),
      attempt: getHeader(req, RequestHeaders.attempt),
    };
    this._beginRequest(run);
    const outcome = await this._respond(run).catch((): RequestOutcome => "cut");
    this._endRequest(run, outcome);
  }

  private _beginRequest(run: ServedRequest): void {
    this._inUse += 1;
    this._peaks = { ...this._peaks, slots: Math.max(this._peaks.slots, this._inUse) };
    this._record({
      event: "request-start",
      requestId: run.requestId,
      attempt: run.attempt,
      method: run.req.method ?? "",
      path: run.req.url ?? "",
      inUse: this._inUse,
      draining: this._isDraining,
    });
  }

  private _endRequest(run: ServedRequest, outcome: RequestOutcome): void {
    this._inUse -= 1;
    this._record({
      event: "request-end",
      requestId: run.requestId,
      attempt: run.attempt,
      outcome,
      delivered: run.res.writableFinished,
    });
    if (this._inUse === 0) {
      this._onIdle();
    }
  }

  private async _respond(run: ServedRequest): Promise<RequestOutcome> {
    if (this._faults.failFast) {
      run.req.resume();
      run.res.writeHead(500, { "content-type": "text/plain" }).end("failed");
      return "failed";
    }
    if (run.url.pathname === "/echo") {
      await this._simulateWork();
      run.res.writeHead(200, { "content-type": "application/octet-stream" });
      await pipeline(run.req, run.res);
      return "answered";
    }
    const digest = createHash("sha256");
    let bodyBytes = 0;
    for await (const chunk of run.req as AsyncIterable<Buffer>) {
      digest.update(chunk);
      bodyBytes += chunk.length;
    }
    return this._respondToBody(run, bodyBytes, digest.digest("hex"));
  }

  private async _respondToBody(
    run: ServedRequest,
    bodyBytes: number,
    bodySha256: string,
  ): Promise<RequestOutcome> {
    await this._simulateWork();
    if (this._faults.hang) {
      await once(run.res, "close");
      return "hung";
    }
    if (this._faults.cutAnswers) {
      run.res.destroy();
      return "cut";
    }
    if (run.url.pathname === "/stream") {
      return this._stream(run);
    }
    const { service, id } = this._options;
    const { method = "", url: path = "" } = run.req;
    const { requestId, attempt } = run;
    return this._send(
      run.res,
      JSON.stringify({ service, id, method, path, bodyBytes, bodySha256, requestId, attempt }),
    );
  }

  private async _stream(run: ServedRequest): Promise<RequestOutcome> {
    const bytes = Number(run.url.searchParams.get("bytes") ?? 0);
    const head = { "content-type": "application/octet-stream" };
    const chunked = run.url.searchParams.has("chunked");
    run.res.writeHead(200, chunked ? head : { ...head, "content-length": bytes });
    if (!this._faults.truncate) {
      await pipeline(createPatternStream(bytes), run.res);
      return "answered";
    }
    await pipeline(createPatternStream(Math.floor(bytes / 2)), run.res, { end: false });
    return this._truncate(run.res);
  }

  private async _send(res: ServerResponse, body: string): Promise<RequestOutcome> {
    const head = { "content-type": "application/json", "content-length": Buffer.byteLength(body) };
    res.writeHead(200, head);
    if (this._faults.truncate) {
      res.write(body.slice(0, body.length / 2));
      return this._truncate(res);
    }
    await new Promise<void>((resolve) => {
      res.once("close", resolve);
      res.end(body, resolve);
    });
    return "answered";
  }

  private async _truncate(res: ServerResponse): Promise<RequestOutcome> {
    await new Promise<void>((resolve) =>
      res.write("", () => {
        resolve();
      }),
    );
    res.destroy();
    return "truncated";
  }

  private async _simulateWork(): Promise<void> {
    const factor = this._faults.slowFactor * this._disturbance.factor;
    const workMs = this._serviceTimes.draw() * factor;
    if (workMs > 0) {
      await this._clock.sleep(workMs);
    }
  }

  private _countConnections(change: number): void {
    this._connections += change;
    const connections = Math.max(this._peaks.connections, this._connections);
    this._peaks = { ...this._peaks, connections };
  }

  private _handleControl(req: JsonRequest): JsonReply {
    switch (`${req.method} ${req.path}`) {
      case "GET /health":
        return createReply({ ready: true });
      case "GET /journal":
        return createReply(this._journal.entries);
      case "GET /peaks":
        return createReply(this._peaks);
      case "PUT /faults":
        return createReply(this._setFaults(BackendFaultsChange.parse(req.body)));
      default:
        return createReply({ error: "unknown-operation" }, 404);
    }
  }

  private _setFaults(change: z.infer<typeof BackendFaultsChange>): BackendFaults {
    this._faults = { ...this._faults, ...change };
    this._announcer.setSilent(this._faults.silent);
    if (change.disturbance !== undefined) {
      this._disturbance.setKinds(change.disturbance);
    }
    return this._faults;
  }

  private _record(entry: EventFields): void {
    this._journal.add({ ...entry, at: this._clock.now(), server: this._options.id });
  }
}

type WithoutOrigin<T> = T extends unknown ? Omit<T, "at" | "server"> : never;
type EventFields = WithoutOrigin<BackendEvent>;

function getHeader(req: IncomingMessage, name: string): string {
  const value = req.headers[name];
  return typeof value === "string" ? value : "";
}
