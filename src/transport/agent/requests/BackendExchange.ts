/**
 * HTTP exchange between the agent and a backend server for one request. The slot of the backend
 * server stays in use until its response is complete, even if the entry has disconnected meanwhile.
 */
import type { IncomingHttpHeaders, ServerResponse } from "node:http";
import type { LocalServer } from "../../../coordination/requests/LocalServer.ts";
import { RequestHeaders } from "../../../protocol/RequestHeaders.ts";
import { getResponseHeaders } from "../../http/forwardHeaders.ts";
import { sendRefusal } from "../../http/sendRefusal.ts";
import { getRequestErrorCode } from "../../http/requestErrorCode.ts";
import { RelayHandler, type RelayFailure } from "../../http/RelayHandler.ts";

const MIN_SERVER_ERROR_STATUS = 500;
const STATUS_NO_CONTENT = 204;
const STATUS_NOT_MODIFIED = 304;

/** Response headers that only the agent may set; those of the backend server are dropped. */
const DROPPED_HEADERS: ReadonlySet<string> = new Set<string>([
  RequestHeaders.verdict,
  RequestHeaders.refusal,
  RequestHeaders.load,
  RequestHeaders.requestId,
]);

/**
 * How an exchange ended: the request was not sent, the response is complete, or the connection
 * failed after the request was sent, so that the backend server may still be working on it.
 */
export type ExchangeEnd = "unsent" | "finished" | "detached";

/** Dependencies of an exchange. */
export interface BackendExchangeDependencies {
  readonly res: ServerResponse;
  readonly request: string;
  readonly method: string;
  readonly server: LocalServer;
  readonly arrivedAt: number;
  readonly now: () => number;
  readonly onDone: (end: ExchangeEnd) => void;
}

/** Exchange for one admitted request. */
export class BackendExchange extends RelayHandler {
  private readonly _deps: BackendExchangeDependencies;

  /**
   * Creates the exchange.
   * @param deps - Dependencies of the exchange.
   */
  constructor(deps: BackendExchangeDependencies) {
    super();
    this._deps = deps;
    deps.res.on("close", () => {
      this.discard();
    });
  }

  protected override onHead(
    status: number,
    headers: IncomingHttpHeaders,
  ): ServerResponse | undefined {
    const { res, server, arrivedAt, now } = this._deps;
    server.recordResponse(now() - arrivedAt, status >= MIN_SERVER_ERROR_STATUS);
    if (res.destroyed) {
      return undefined;
    }
    if (!this._isDelimited(status, headers)) {
      this._refuseUndelimited();
      return undefined;
    }
    res.writeHead(status, {
      ...getResponseHeaders(headers, DROPPED_HEADERS),
      ...this._getAgentHeaders(),
    });
    return res;
  }

  protected override onEnd(): void {
    this._deps.onDone("finished");
  }

  protected override onFailure(failure: RelayFailure): void {
    const { res, server, arrivedAt, now } = this._deps;
    const fault = getRequestErrorCode(failure.reason);
    if (!failure.headReceived && fault === undefined) {
      server.recordResponse(now() - arrivedAt, true);
    }
    const code = failure.mayHaveBeenSent ? "upstream-failed" : "no-server";
    sendRefusal(
      res,
      {
        code: fault ?? code,
        verdict: failure.mayHaveBeenSent ? "may-have-run" : "not-run",
        detail: `backend server ${server.announcement.id}: ${failure.reason.message}`,
      },
      this._getRequestIdHeader(),
    );
    this._deps.onDone(failure.mayHaveBeenSent ? "detached" : "unsent");
  }

  /** Returns whether the end of the response can be distinguished from a dropped connection. */
  private _isDelimited(status: number, headers: IncomingHttpHeaders): boolean {
    return (
      this._deps.method === "HEAD" ||
      status === STATUS_NO_CONTENT ||
      status === STATUS_NOT_MODIFIED ||
      headers["content-length"] !== undefined ||
      headers["transfer-encoding"] !== undefined
    );
  }

  private _refuseUndelimited(): void {
    sendRefusal(
      this._deps.res,
      {
        code: "upstream-truncated",
        verdict: "ran",
        detail: `backend server ${this._deps.server.announcement.id} sent a response without content-length or transfer-encoding`,
      },
      this._getRequestIdHeader(),
    );
  }

  private _getRequestIdHeader(): Readonly<Record<string, string>> {
    return { [RequestHeaders.requestId]: this._deps.request };
  }

  private _getAgentHeaders(): Readonly<Record<string, string>> {
    const { queue, announcement } = this._deps.server;
    return {
      ...this._getRequestIdHeader(),
      [RequestHeaders.verdict]: "ran",
      [RequestHeaders.server]: announcement.id,
      [RequestHeaders.load]: `${queue.inUse + queue.externalSlots - 1},${queue.queued}`,
    };
  }
}
