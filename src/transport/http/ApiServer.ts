/**
 * The operators' HTTP interface of a process: serves the routes of its components, health, metrics
 * and the log level. Every failure is a JSON object with a stable code.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { ResultAsync } from "neverthrow";
import type { ListenError } from "../../protocol/errors/errors.ts";
import type { Log } from "../../protocol/platform/Log.ts";
import { getHttpStatus, type RefusalCode } from "../../protocol/Refusal.ts";
import { RequestHeaders } from "../../protocol/RequestHeaders.ts";
import type { ApiReply, ApiRoute } from "./ApiRoute.ts";
import { handleClientErrors } from "./clientErrors.ts";
import { createProcessRoutes, type LogLevelControl } from "./processRoutes.ts";
import { createListener } from "./createListener.ts";
import { listen } from "./listen.ts";
import { readJson } from "./readJson.ts";
import { RouteTable, type RouteMatch } from "./RouteTable.ts";

const DEFAULT_MAX_BODY_BYTES = 1_048_576;
const DEFAULT_MAX_HEADER_BYTES = 16_384;
const REQUEST_TIMEOUT_MS = 30_000;
const METRICS_PATH = "/metrics";
const METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8";

/** Options of `ApiServer`. */
export interface ApiServerOptions {
  /** Setting with the address, as "[section] key". */
  readonly setting: string;
  readonly routes: readonly ApiRoute[];
  /** Returns the metrics in the Prometheus text format. */
  readonly renderMetrics: () => Promise<string>;
  /** Returns the reasons why the process is not ready; empty if it is ready. */
  readonly getUnreadyReasons: () => readonly string[];
  readonly log: Log & LogLevelControl;
  /** Called for each response of a route with its method, path pattern and status. */
  readonly onReply?: (method: string, path: string, status: number) => void;
  readonly maxBodyBytes?: number;
  readonly maxHeaderBytes?: number;
}

/** Serves routes over HTTP. */
export class ApiServer {
  private readonly _options: ApiServerOptions;
  private readonly _routes: RouteTable;
  private readonly _server: Server;
  private _isClosing = false;

  /**
   * Creates the server without listening.
   * @param options - Options of the server.
   */
  constructor(options: ApiServerOptions) {
    this._options = options;
    this._routes = new RouteTable([
      ...createProcessRoutes(options.getUnreadyReasons, options.log),
      ...options.routes,
    ]);
    const maxHeaderSize = options.maxHeaderBytes ?? DEFAULT_MAX_HEADER_BYTES;
    const limits = { maxHeaderSize, requestTimeout: REQUEST_TIMEOUT_MS };
    const serve = this._serve.bind(this);
    this._server = createServer(limits, createListener(serve, options.log));
    handleClientErrors(this._server, (code) => {
      options.log.debug("Rejected a malformed HTTP request.", { code });
    });
  }

  /**
   * Starts to listen.
   * @param address - Address as host:port; port 0 selects any free port.
   * @returns The address on which the server listens.
   */
  listen(address: string): ResultAsync<string, ListenError> {
    return listen(this._server, this._options.setting, address);
  }

  /**
   * Stops listening and resolves once the requests in flight have ended.
   * @param timeoutMs - Time after which their connections are closed, in milliseconds.
   */
  async close(timeoutMs: number): Promise<void> {
    this._isClosing = true;
    const timer = setTimeout(() => {
      this._server.closeAllConnections();
    }, timeoutMs);
    await new Promise<void>((resolve) => {
      this._server.close(() => {
        resolve();
      });
    });
    clearTimeout(timer);
  }

  private async _serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const [path = "", query = ""] = (req.url ?? "/").split("?", 2);
    if (req.method === "GET" && path === METRICS_PATH) {
      await this._serveMetrics(res);
      return;
    }
    const found = this._routes.find(req.method ?? "", path);
    if (found.isErr()) {
      const { code, detail, methods } = found.error;
      if (methods.length > 0) {
        res.setHeader("allow", methods.join(", "));
      }
      this._refuse(res, code, detail);
      return;
    }
    await this._serveRoute(found.value, { req, res, query });
  }

  private async _serveRoute(
    match: RouteMatch,
    exchange: {
      readonly req: IncomingMessage;
      readonly res: ServerResponse;
      readonly query: string;
    },
  ): Promise<void> {
    const { req, res } = exchange;
    const body = await readJson(req, this._options.maxBodyBytes ?? DEFAULT_MAX_BODY_BYTES);
    if (body.isErr()) {
      res.setHeader("connection", "close");
      this._refuse(res, body.error.code, body.error.detail);
      return;
    }
    const query = Object.fromEntries(new URLSearchParams(exchange.query));
    const { route, params } = match;
    const handle = ResultAsync.fromThrowable(
      async () => route.handle({ params, query, body: body.value }),
      toError,
    );
    const reply = await handle();
    reply.match(
      (apiReply) => {
        this._reply(res, apiReply);
      },
      (err) => {
        this._replyInternalError(res, match.route.path, err);
      },
    );
    this._options.onReply?.(match.route.method, match.route.path, res.statusCode);
  }

  private async _serveMetrics(res: ServerResponse): Promise<void> {
    const rendered = await ResultAsync.fromPromise(this._options.renderMetrics(), toError);
    rendered.match(
      (text) => {
        this._send(res, 200, text, METRICS_TYPE);
      },
      (err) => {
        this._replyInternalError(res, METRICS_PATH, err);
      },
    );
  }

  private _replyInternalError(res: ServerResponse, path: string, err: Error): void {
    this._options.log.error("A route failed; the request got an internal error.", {
      path,
      reason: err.stack ?? err.message,
    });
    this._refuse(
      res,
      "internal-error",
      "the request failed with an internal error; see the log of the process",
    );
  }

  private _reply(res: ServerResponse, reply: ApiReply): void {
    if (reply.retryAfterSeconds !== undefined) {
      res.setHeader("retry-after", String(Math.ceil(reply.retryAfterSeconds)));
    }
    this._send(res, reply.status, `${JSON.stringify(reply.body)}\n`, "application/json");
  }

  private _refuse(res: ServerResponse, code: RefusalCode, detail: string): void {
    res.setHeader(RequestHeaders.refusal, code);
    this._reply(res, { status: getHttpStatus(code), body: { code, detail } });
  }

  private _send(res: ServerResponse, status: number, body: string, type: string): void {
    if (this._isClosing) {
      res.setHeader("connection", "close");
    }
    res.writeHead(status, { "content-type": type, "content-length": Buffer.byteLength(body) });
    res.end(body);
  }
}

function toError(err: unknown): Error {
  return err instanceof Error ? err : new Error(String(err));
}
