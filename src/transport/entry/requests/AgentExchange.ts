/**
 * One attempt of a request: the exchange between the entry and one agent. A response is forwarded
 * only if it has the id of its request. A refusal of the agent is reported to the listener instead of
 * the caller.
 */
import type { IncomingHttpHeaders, ServerResponse } from "node:http";
import { parseRefusalCode, type RefusalCode } from "../../../protocol/Refusal.ts";
import { getHeader } from "../../../protocol/RequestHead.ts";
import { RequestHeaders } from "../../../protocol/RequestHeaders.ts";
import { parseVerdict, type Verdict } from "../../../protocol/Verdict.ts";
import { getResponseHeaders } from "../../http/forwardHeaders.ts";
import { RelayHandler, type RelayFailure } from "../../http/RelayHandler.ts";

/** Headers of an agent's response that are not forwarded to the caller. */
const DROPPED_HEADERS: ReadonlySet<string> = new Set<string>([RequestHeaders.load]);

/** Load that an agent reports with a response. */
export interface PiggybackedLoad {
  readonly slotsInUse: number;
  readonly queued: number;
}

/** A refusal as an agent sends it. */
export interface AgentRefusal {
  readonly code: RefusalCode;
  readonly verdict: Verdict;
  readonly retryAfterSeconds: number | undefined;
}

/** Listener of one exchange; exactly one of the last three methods is called, after the first. */
export interface AgentExchangeListener {
  /** The head of a response has arrived; the response is being forwarded. */
  onResponse(status: number, load: PiggybackedLoad | undefined): void;
  /** The whole response has been forwarded. */
  onComplete(): void;
  /** The agent refused. */
  onRefusal(refusal: AgentRefusal): void;
  /** The exchange failed, or the response belonged to another request. */
  onFailure(failure: RelayFailure): void;
}

/** Exchange of one attempt. */
export class AgentExchange extends RelayHandler {
  private readonly _res: ServerResponse;
  private readonly _requestId: string;
  private readonly _listener: AgentExchangeListener;
  private _refusal: AgentRefusal | undefined;

  /**
   * Creates the exchange.
   * @param res - Response to the caller.
   * @param requestId - Id of the request.
   * @param listener - Listener of the exchange.
   */
  constructor(res: ServerResponse, requestId: string, listener: AgentExchangeListener) {
    super();
    this._res = res;
    this._requestId = requestId;
    this._listener = listener;
  }

  protected override onHead(
    status: number,
    headers: IncomingHttpHeaders,
  ): ServerResponse | undefined {
    if (getHeader(headers, RequestHeaders.requestId) !== this._requestId) {
      this.abort(new Error("the response belongs to another request"));
      return undefined;
    }
    const code = parseRefusalCode(getHeader(headers, RequestHeaders.refusal));
    if (code !== undefined) {
      this._refusal = {
        code,
        verdict: parseVerdict(getHeader(headers, RequestHeaders.verdict)) ?? "may-have-run",
        retryAfterSeconds: getSeconds(getHeader(headers, "retry-after")),
      };
      return undefined;
    }
    if (this._res.destroyed) {
      return undefined;
    }
    this._listener.onResponse(status, getLoad(getHeader(headers, RequestHeaders.load)));
    this._res.writeHead(status, getResponseHeaders(headers, DROPPED_HEADERS));
    return this._res;
  }

  protected override onEnd(): void {
    if (this._refusal !== undefined) {
      this._listener.onRefusal(this._refusal);
      return;
    }
    this._listener.onComplete();
  }

  protected override onFailure(failure: RelayFailure): void {
    if (this._refusal !== undefined) {
      this._listener.onRefusal(this._refusal);
      return;
    }
    this._listener.onFailure(failure);
  }
}

function getSeconds(text: string | undefined): number | undefined {
  const seconds = Number(text);
  return Number.isFinite(seconds) ? seconds : undefined;
}

function getLoad(text: string | undefined): PiggybackedLoad | undefined {
  const [slotsInUse, queued] = (text ?? "").split(",").map(Number);
  return slotsInUse !== undefined && queued !== undefined && Number.isFinite(slotsInUse + queued)
    ? { slotsInUse, queued }
    : undefined;
}
