/**
 * Accepts requests from entries over HTTP and forwards the admitted ones to a backend server.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { ResultAsync } from "neverthrow";
import { Pool } from "undici";
import type { AgentAdmission } from "../../../coordination/requests/AgentAdmission.ts";
import type { LocalServer } from "../../../coordination/requests/LocalServer.ts";
import type { ListenError } from "../../../protocol/errors/errors.ts";
import type { Clock } from "../../../protocol/platform/Clock.ts";
import type { Log } from "../../../protocol/platform/Log.ts";
import type { Refusal } from "../../../protocol/Refusal.ts";
import { parseRequestHead, type RequestHead } from "../../../protocol/RequestHead.ts";
import { RequestHeaders } from "../../../protocol/RequestHeaders.ts";
import { createListener } from "../../http/createListener.ts";
import { getForwardHeaders } from "../../http/forwardHeaders.ts";
import { listen } from "../../http/listen.ts";
import { refuseUnhandled } from "../../http/refuseUnhandled.ts";
import { sendRefusal } from "../../http/sendRefusal.ts";
import { getDispatchBody, receiveBody, type RequestBody } from "../../http/requestBody.ts";
import { BackendExchange } from "./BackendExchange.ts";

/** Headers between entry and agent that are not forwarded to the backend server. */
const DROPPED_HEADERS: ReadonlySet<string> = new Set<string>([
  RequestHeaders.attempt,
  RequestHeaders.budgetMs,
  RequestHeaders.incarnation,
  RequestHeaders.sender,
  RequestHeaders.sentAt,
]);
/** Time after a request's deadline that the agent still waits for the head of the response. */
const RESPONSE_GRACE_MS = 5_000;
/** Maximum pause within the body of a response. */
const BODY_TIMEOUT_MS = 30_000;
const KEEP_ALIVE_MS = 65_000;

/** HTTP server for the requests that entries send to one agent. */
export class AgentRequestServer {
  private readonly _admission: AgentAdmission;
  private readonly _clock: Clock;
  private readonly _maxBodyBytes: number;
  private readonly _isReady: () => boolean;
  private readonly _onFinished: (head: RequestHead, latencyMs: number) => void;
  private readonly _pools = new Map<string, Pool>();
  private readonly _server: Server;

  /**
   * Creates the server; it does not listen yet.
   * @param deps - Dependencies of the server.
   */
  constructor(deps: {
    readonly admission: AgentAdmission;
    readonly clock: Clock;
    readonly maxBodyBytes: number;
    readonly isReady: () => boolean;
    readonly log: Log;
    /** Called when a backend server has sent its whole response. */
    readonly onFinished: (head: RequestHead, latencyMs: number) => void;
  }) {
    this._admission = deps.admission;
    this._clock = deps.clock;
    this._maxBodyBytes = deps.maxBodyBytes;
    this._isReady = deps.isReady;
    this._onFinished = deps.onFinished;
    const options = { keepAliveTimeout: KEEP_ALIVE_MS, noDelay: true };
    const handle = this._handle.bind(this);
    this._server = createServer(options, createListener(handle, deps.log, refuseUnhandled));
  }

  /**
   * Starts listening.
   * @param address - Address as host:port.
   */
  listen(address: string): ResultAsync<string, ListenError> {
    return listen(this._server, "[agent] listen", address);
  }

  /** Stops listening and waits until the requests in flight have ended. */
  async close(): Promise<void> {
    await new Promise<void>((resolve) => {
      this._server.close(() => {
        resolve();
      });
      this._server.closeIdleConnections();
    });
  }

  private async _handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const arrivedAt = this._clock.now();
    const head = parseRequestHead(req.headers);
    if (head === undefined) {
      this._refuse(req, res, "", {
        code: "bad-request",
        verdict: "not-run",
        detail: "a header that entries set is missing or malformed",
      });
      return;
    }
    if (!this._isReady()) {
      this._refuse(req, res, head.request, {
        code: "agent-not-ready",
        verdict: "not-run",
        detail: "the agent does not know yet what its VM runs",
        retryAfterSeconds: 1,
      });
      return;
    }
    const decision = this._admission.handleArrival(head);
    if (decision.kind === "refused") {
      this._refuse(req, res, head.request, decision.refusal);
      return;
    }
    await this._readBodyAndOffer({ req, res, head, arrivedAt }, decision);
  }

  private async _readBodyAndOffer(
    incoming: IncomingRequest,
    openRequest: { readonly key: string; readonly deadline: number },
  ): Promise<void> {
    const { req, res, head } = incoming;
    res.on("close", () => {
      this._admission.abandon(openRequest.key);
    });
    const body = await receiveBody(req, this._maxBodyBytes);
    if (typeof body === "string") {
      this._admission.abandon(openRequest.key);
      this._refuse(req, res, head.request, {
        code: body,
        verdict: "not-run",
        detail: "the request body was not accepted",
      });
      return;
    }
    if (res.destroyed) {
      return;
    }
    this._admission.enqueue(head, openRequest, {
      admit: (server) => {
        this._forward(incoming, openRequest, server, body);
      },
      refuse: (refusal) => {
        this._refuse(req, res, head.request, refusal);
      },
    });
  }

  private _forward(
    incoming: IncomingRequest,
    openRequest: { readonly key: string; readonly deadline: number },
    server: LocalServer,
    body: RequestBody,
  ): void {
    const { req, res, head, arrivedAt } = incoming;
    const method = req.method ?? "GET";
    const exchange = new BackendExchange({
      res,
      request: head.request,
      method,
      server,
      arrivedAt,
      now: () => this._clock.now(),
      onDone: (end) => {
        this._admission.recordEnd(server, openRequest.key, end);
        if (end === "finished") {
          this._onFinished(head, this._clock.now() - arrivedAt);
        }
      },
    });
    this._getPool(server).dispatch(
      {
        path: req.url ?? "/",
        method,
        headers: getForwardHeaders(req.rawHeaders, DROPPED_HEADERS),
        body: getDispatchBody(body),
        headersTimeout: Math.ceil(openRequest.deadline - this._clock.now() + RESPONSE_GRACE_MS),
        bodyTimeout: BODY_TIMEOUT_MS,
      },
      exchange,
    );
  }

  private _getPool(server: LocalServer): Pool {
    const { address, connections } = server.announcement;
    const existing = this._pools.get(address);
    if (existing !== undefined) {
      return existing;
    }
    const pool = new Pool(`http://${address}`, { connections, pipelining: 1 });
    this._pools.set(address, pool);
    return pool;
  }

  private _refuse(
    req: IncomingMessage,
    res: ServerResponse,
    request: string,
    refusal: Refusal,
  ): void {
    req.resume();
    sendRefusal(res, refusal, { [RequestHeaders.requestId]: request });
  }
}

interface IncomingRequest {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly head: RequestHead;
  readonly arrivedAt: number;
}
