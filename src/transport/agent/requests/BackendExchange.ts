/**
 * One exchange between the agent and its backend server. The slot is held until the server has
 * answered in full, also when the entry has gone away in the meantime.
 */
import type { IncomingHttpHeaders, ServerResponse } from "node:http";
import type { LocalServer } from "../../../coordination/requests/LocalServer.ts";
import { RequestHeaders } from "../../../protocol/RequestHeaders.ts";
import { getAnswerHeaders } from "../../http/forwardHeaders.ts";
import { answerRefusal } from "../../http/refusalAnswer.ts";
import { getRequestFault } from "../../http/requestFault.ts";
import { RelayHandler, type RelayFailure } from "../../http/RelayHandler.ts";

const FIRST_SERVER_ERROR_STATUS = 500;
const STATUS_NO_CONTENT = 204;
const STATUS_NOT_MODIFIED = 304;

/** Headers of a backend server's answer that only the agent may set. */
const DROPPED: ReadonlySet<string> = new Set<string>([
  RequestHeaders.verdict,
  RequestHeaders.refusal,
  RequestHeaders.load,
  RequestHeaders.requestId,
]);

/** How an exchange ended, for the admission. */
export type ExchangeEnd = "unsent" | "finished" | "detached";

/** What an exchange needs. */
export interface BackendExchangeParts {
  readonly res: ServerResponse;
  readonly request: string;
  readonly method: string;
  readonly server: LocalServer;
  readonly arrivedAt: number;
  readonly now: () => number;
  readonly onDone: (end: ExchangeEnd) => void;
}

/** Exchange of one admitted request. */
export class BackendExchange extends RelayHandler {
  private readonly _parts: BackendExchangeParts;

  /**
   * Creates the exchange.
   * @param parts - What it needs.
   */
  constructor(parts: BackendExchangeParts) {
    super();
    this._parts = parts;
    parts.res.on("close", () => {
      this.discard();
    });
  }

  protected override onHead(
    status: number,
    headers: IncomingHttpHeaders,
  ): ServerResponse | undefined {
    const { res, server, arrivedAt, now } = this._parts;
    server.noteAnswer(now() - arrivedAt, status >= FIRST_SERVER_ERROR_STATUS);
    if (res.destroyed) {
      return undefined;
    }
    if (!this._isDelimited(status, headers)) {
      this._refuseUndelimited();
      return undefined;
    }
    res.writeHead(status, { ...getAnswerHeaders(headers, DROPPED), ...this._getOwnHeaders() });
    return res;
  }

  protected override onEnd(): void {
    this._parts.onDone("finished");
  }

  protected override onFailure(failure: RelayFailure): void {
    const { res, server, arrivedAt, now } = this._parts;
    const fault = getRequestFault(failure.reason);
    if (!failure.headSeen && fault === undefined) {
      server.noteAnswer(now() - arrivedAt, true);
    }
    const code = failure.sent ? "upstream-failed" : "no-server";
    answerRefusal(
      res,
      {
        code: fault ?? code,
        verdict: failure.sent ? "may-have-run" : "not-run",
        detail: `backend server ${server.announcement.id}: ${failure.reason.message}`,
      },
      this._getEcho(),
    );
    this._parts.onDone(failure.sent ? "detached" : "unsent");
  }

  /** Tells whether the end of the answer can be told from a cut connection. */
  private _isDelimited(status: number, headers: IncomingHttpHeaders): boolean {
    return (
      this._parts.method === "HEAD" ||
      status === STATUS_NO_CONTENT ||
      status === STATUS_NOT_MODIFIED ||
      headers["content-length"] !== undefined ||
      headers["transfer-encoding"] !== undefined
    );
  }

  private _refuseUndelimited(): void {
    answerRefusal(
      this._parts.res,
      {
        code: "upstream-truncated",
        verdict: "ran",
        detail: `backend server ${this._parts.server.announcement.id} did not delimit its answer`,
      },
      this._getEcho(),
    );
  }

  private _getEcho(): Readonly<Record<string, string>> {
    return { [RequestHeaders.requestId]: this._parts.request };
  }

  private _getOwnHeaders(): Readonly<Record<string, string>> {
    const { queue, announcement } = this._parts.server;
    return {
      ...this._getEcho(),
      [RequestHeaders.verdict]: "ran",
      [RequestHeaders.server]: announcement.id,
      [RequestHeaders.load]: `${queue.inUse + queue.foreign - 1},${queue.queued}`,
    };
  }
}
