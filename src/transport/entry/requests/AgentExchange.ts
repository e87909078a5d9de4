/**
 * One attempt of a request: the exchange between the entry and one agent. An answer is passed on only
 * where it carries the identity of its request; a refusal of the agent is read and handed back.
 */
import type { IncomingHttpHeaders, ServerResponse } from "node:http";
import { parseRefusalCode, type RefusalCode } from "../../../protocol/Refusal.ts";
import { getHeader } from "../../../protocol/RequestHead.ts";
import { RequestHeaders } from "../../../protocol/RequestHeaders.ts";
import { parseVerdict, type Verdict } from "../../../protocol/Verdict.ts";
import { getResponseHeaders } from "../../http/forwardHeaders.ts";
import { RelayHandler, type RelayFailure } from "../../http/RelayHandler.ts";

/** Headers of an agent's answer that the caller does not get. */
const DROPPED_HEADERS: ReadonlySet<string> = new Set<string>([RequestHeaders.load]);

/** Load that an agent reports with an answer. */
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

/** Follows one exchange; exactly one of the last three methods is called, after the first. */
export interface AgentExchangeListener {
  /** The head of an answer has arrived; the answer is being passed on. */
  onResponse(status: number, load: PiggybackedLoad | undefined): void;
  /** The whole answer has been passed on. */
  onComplete(): void;
  /** The agent refused. */
  onRefusal(refusal: AgentRefusal): void;
  /** The exchange broke off, or the answer was not the request's own. */
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
   * @param res - Answer to the caller.
   * @param requestId - Id of the request.
   * @param listener - Follows the exchange.
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
      this.abort(new Error("the answer belongs to another request"));
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
