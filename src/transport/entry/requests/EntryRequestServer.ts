/**
 * Accepts requests from callers over HTTP and starts a handler for each.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { ResultAsync } from "neverthrow";
import type { ListenError } from "../../../protocol/errors/errors.ts";
import type { Log } from "../../../protocol/platform/Log.ts";
import type { Refusal, RefusalCode } from "../../../protocol/Refusal.ts";
import { RequestHeaders } from "../../../protocol/RequestHeaders.ts";
import { handleClientErrors } from "../../http/clientErrors.ts";
import { createListener } from "../../http/createListener.ts";
import { getForwardHeaders } from "../../http/forwardHeaders.ts";
import { listen } from "../../http/listen.ts";
import { refuseUnhandled } from "../../http/refuseUnhandled.ts";
import { sendRefusal } from "../../http/sendRefusal.ts";
import { receiveBody } from "../../http/requestBody.ts";
import { readCallerRequest } from "./CallerRequest.ts";
import { RequestHandler, type RequestHandlerDependencies } from "./RequestHandler.ts";

/** Headers that only the system may set; those sent by a caller are dropped. */
const RESERVED_HEADERS: ReadonlySet<string> = new Set<string>(Object.values(RequestHeaders));
const KEEP_ALIVE_MS = 65_000;
const ID_RADIX = 36;

/** Dependencies of `EntryRequestServer`. */
export interface EntryRequestServerDependencies extends RequestHandlerDependencies {
  readonly limits: {
    readonly defaultTimeoutMs: number;
    readonly maxTimeoutMs: number;
    readonly maxBodyBytes: number;
    readonly maxHeaderBytes: number;
    readonly maxInFlight: number;
  };
  /** Returns whether this entry has a configuration. */
  readonly hasConfig: () => boolean;
  readonly isKnownService: (service: string) => boolean;
  readonly log: Log;
  /** Called for each request that is refused before it is routed. */
  readonly onRefusal: (code: RefusalCode) => void;
}

/** HTTP server for the requests of callers. */
export class EntryRequestServer {
  private readonly _deps: EntryRequestServerDependencies;
  private readonly _server: Server;
  private _nextId = 0;
  private _inFlight = 0;
  private _isDraining = false;

  /**
   * Creates the server without listening.
   * @param deps - Dependencies of the server.
   */
  constructor(deps: EntryRequestServerDependencies) {
    this._deps = deps;
    const options = {
      maxHeaderSize: deps.limits.maxHeaderBytes,
      keepAliveTimeout: KEEP_ALIVE_MS,
      noDelay: true,
    };
    const handle = this._handle.bind(this);
    this._server = createServer(options, createListener(handle, deps.log, refuseUnhandled));
    handleClientErrors(this._server, deps.onRefusal);
  }

  /** Number of requests in flight. */
  get inFlight(): number {
    return this._inFlight;
  }

  /**
   * Starts to listen.
   * @param address - Address as host:port.
   */
  listen(address: string): ResultAsync<string, ListenError> {
    return listen(this._server, "[entry] listen", address);
  }

  /** Closes each caller's connection after its next response, so that callers reconnect elsewhere. */
  drain(): void {
    this._isDraining = true;
  }

  /** Stops listening and resolves once the requests in flight have ended. */
  async close(): Promise<void> {
    await new Promise<void>((resolve) => {
      this._server.close(() => {
        resolve();
      });
      this._server.closeIdleConnections();
    });
  }

  private async _handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const arrivedAt = this._deps.clock.now();
    const id = this._createId();
    if (this._isDraining) {
      res.setHeader("connection", "close");
    }
    const { limits, clock } = this._deps;
    const caller = readCallerRequest(req, {
      defaultMs: limits.defaultTimeoutMs,
      maxMs: limits.maxTimeoutMs,
    });
    if (caller.isErr()) {
      this._refuse(req, res, id, caller.error);
      return;
    }
    const refusal = this._getRefusal(caller.value.service);
    if (refusal !== undefined) {
      this._refuse(req, res, id, refusal);
      return;
    }
    this._inFlight += 1;
    res.on("close", () => {
      this._inFlight -= 1;
    });
    const body = await receiveBody(req, limits.maxBodyBytes);
    if (typeof body === "string") {
      this._refuse(req, res, id, {
        code: body,
        verdict: "not-run",
        detail:
          body === "body-too-large"
            ? `the body exceeds ${limits.maxBodyBytes} bytes`
            : "the body is incomplete",
      });
      return;
    }
    const deadlinePassed = clock.now() - arrivedAt >= caller.value.timeoutMs;
    if (deadlinePassed || res.destroyed) {
      this._refuse(req, res, id, {
        code: "deadline-exceeded",
        verdict: "not-run",
        detail: "the time budget ended before the body was received",
      });
      return;
    }
    new RequestHandler(this._deps, {
      id,
      caller: caller.value,
      path: req.url ?? "/",
      headers: getForwardHeaders(req.rawHeaders, RESERVED_HEADERS),
      body,
      arrivedAt,
      res,
    }).start();
  }

  private _getRefusal(service: string): Refusal | undefined {
    const { hasConfig, isKnownService, limits } = this._deps;
    if (!hasConfig()) {
      return {
        code: "no-configuration",
        verdict: "not-run",
        detail: "this entry has no configuration yet",
        retryAfterSeconds: 1,
      };
    }
    if (!isKnownService(service)) {
      return {
        code: "unknown-service",
        verdict: "not-run",
        detail: `service ${service} is not assigned to a profile and no backend server offers it`,
      };
    }
    if (this._inFlight >= limits.maxInFlight) {
      return {
        code: "overloaded",
        verdict: "not-run",
        detail: `${limits.maxInFlight} requests are in flight at this entry`,
        retryAfterSeconds: 1,
      };
    }
    return undefined;
  }

  private _refuse(req: IncomingMessage, res: ServerResponse, id: string, refusal: Refusal): void {
    req.resume();
    this._deps.onRefusal(refusal.code);
    sendRefusal(res, refusal, { [RequestHeaders.requestId]: id });
  }

  private _createId(): string {
    this._nextId += 1;
    return `${this._deps.sender}-${this._nextId.toString(ID_RADIX)}`;
  }
}
