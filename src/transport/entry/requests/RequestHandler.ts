/**
 * Handles one caller's request: sends the attempts that the router decides on and sends the caller
 * exactly one final response, at the latest at the request's deadline.
 */
import type { ServerResponse } from "node:http";
import {
  RequestRouter,
  type AttemptOutcome,
  type RequestProgress,
  type RoutedRequest,
  type RouteStep,
} from "../../../coordination/requests/RequestRouter.ts";
import type { ServerState } from "../../../coordination/requests/ServerState.ts";
import type { Clock, Timer } from "../../../protocol/platform/Clock.ts";
import { getHttpStatus, type Refusal } from "../../../protocol/Refusal.ts";
import { RequestHeaders } from "../../../protocol/RequestHeaders.ts";
import type { Verdict } from "../../../protocol/Verdict.ts";
import type { AttemptTrace, RequestTrace } from "../../../state/RequestTraces.ts";
import { sendRefusal } from "../../http/sendRefusal.ts";
import type { RelayFailure } from "../../http/RelayHandler.ts";
import { getDispatchBody, type RequestBody } from "../../http/requestBody.ts";
import { getRequestErrorCode } from "../../http/requestErrorCode.ts";
import type { AgentConnections } from "./AgentConnections.ts";
import { AgentExchange, type AgentRefusal, type PiggybackedLoad } from "./AgentExchange.ts";
import type { CallerRequest } from "./CallerRequest.ts";
import type { OpenAttempt, RequestSettler } from "./RequestSettler.ts";

const MIN_SERVER_ERROR_STATUS = 500;
const BODY_TIMEOUT_MS = 30_000;
/** Codes of refusals that say nothing about the health of the backend server. */
const INCONCLUSIVE_CODES: ReadonlySet<string> = new Set([
  "overloaded",
  "draining",
  "duplicate-request",
  "deadline-exceeded",
  "wrong-incarnation",
  "body-too-large",
]);

/** Dependencies of `RequestHandler`, shared by all requests of an entry. */
export interface RequestHandlerDependencies {
  readonly clock: Clock;
  readonly router: RequestRouter;
  readonly connections: AgentConnections;
  readonly settler: RequestSettler;
  /** Identifies this entry process to agents. */
  readonly sender: string;
  readonly onEnd: (trace: RequestTrace) => void;
}

/** A request as received from the caller. */
export interface ReceivedRequest {
  readonly id: string;
  readonly caller: CallerRequest;
  readonly path: string;
  readonly headers: readonly string[];
  readonly body: RequestBody;
  readonly arrivedAt: number;
  readonly res: ServerResponse;
}

/** Handler of one request. */
export class RequestHandler {
  private readonly _deps: RequestHandlerDependencies;
  private readonly _req: ReceivedRequest;
  private readonly _routed: RoutedRequest;
  private readonly _progress: RequestProgress = RequestRouter.createProgress();
  private readonly _attempts: AttemptTrace[] = [];
  private _deadlineTimer: Timer | undefined;
  private _exchange: AgentExchange | undefined;
  private _status = 0;
  private _isEnded = false;

  /**
   * Creates the handler without sending anything.
   * @param deps - Dependencies of the handler.
   * @param req - The request.
   */
  constructor(deps: RequestHandlerDependencies, req: ReceivedRequest) {
    this._deps = deps;
    this._req = req;
    this._routed = {
      service: req.caller.service,
      idempotent: req.caller.idempotent,
      deadline: req.arrivedAt + req.caller.timeoutMs,
    };
  }

  /** Sends the first attempt. */
  start(): void {
    const { clock } = this._deps;
    this._deadlineTimer = clock.after(this._routed.deadline - clock.now(), () => {
      this._onDeadline();
    });
    this._req.res.on("close", () => {
      this._onCallerDisconnected();
    });
    this._executeStep(this._deps.router.routeFirst(this._routed, this._progress));
  }

  private _executeStep(step: RouteStep): void {
    if (step.kind === "answer") {
      this._sendRefusal(step.refusal);
      return;
    }
    this._sendAttempt(step.server);
  }

  private _sendAttempt(server: ServerState): void {
    const sentAt = this._deps.clock.now();
    const open = {
      request: this._req.id,
      attempt: this._progress.attempts,
      controlAddress: server.controlAddress,
      incarnation: server.incarnation,
      sentAt,
      deadline: this._routed.deadline,
    };
    const exchange = new AgentExchange(this._req.res, this._req.id, {
      onResponse: (status, load) => {
        this._onResponse(server, sentAt, status, load);
      },
      onComplete: () => {
        server.recordEnd();
        this._finish("answered", "ran");
      },
      onRefusal: (refusal) => {
        this._onRefusal(server, sentAt, refusal);
      },
      onFailure: (failure) => {
        void this._onFailure(server, open, failure);
      },
    });
    this._exchange = exchange;
    server.recordSent();
    this._deps.connections.getPool(server.requestAddress).dispatch(
      {
        path: this._req.path,
        method: this._req.caller.method,
        headers: [...this._req.headers, ...this._getAttemptHeaders(server, sentAt)],
        body: getDispatchBody(this._req.body),
        headersTimeout: 0,
        bodyTimeout: BODY_TIMEOUT_MS,
      },
      exchange,
    );
  }

  private _onResponse(
    server: ServerState,
    sentAt: number,
    status: number,
    load: PiggybackedLoad | undefined,
  ): void {
    const now = this._deps.clock.now();
    this._deadlineTimer?.cancel();
    this._status = status;
    this._addTrace(server, sentAt, String(status), "ran");
    server.recordLatency(now - sentAt);
    if (load !== undefined) {
      server.updateLoad(load.slotsInUse + 1, load.queued);
    }
    if (status >= MIN_SERVER_ERROR_STATUS) {
      server.ejector.recordFailure(now);
      return;
    }
    server.ejector.recordSuccess(now);
  }

  private _onRefusal(server: ServerState, sentAt: number, refusal: AgentRefusal): void {
    server.recordEnd();
    this._addTrace(server, sentAt, refusal.code, refusal.verdict);
    if (INCONCLUSIVE_CODES.has(refusal.code)) {
      server.ejector.recordInconclusive();
    } else {
      server.ejector.recordFailure(this._deps.clock.now());
    }
    this._routeNext({
      verdict: refusal.verdict,
      code: refusal.code,
      detail: `agent ${server.agent} refused the request`,
      ...(refusal.retryAfterSeconds === undefined
        ? {}
        : { retryAfterSeconds: refusal.retryAfterSeconds }),
    });
  }

  private async _onFailure(
    server: ServerState,
    open: OpenAttempt,
    failure: RelayFailure,
  ): Promise<void> {
    server.recordEnd();
    if (this._isEnded) {
      this._recordLateFailure(server, open);
      return;
    }
    const code = getRequestErrorCode(failure.reason);
    if (code === undefined) {
      server.ejector.recordFailure(this._deps.clock.now());
    } else {
      server.ejector.recordInconclusive();
    }
    if (failure.headReceived && this._req.res.headersSent) {
      this._finish("cut", "ran");
      this._req.res.destroy();
      return;
    }
    const verdict = await this._getVerdict(open, failure);
    this._addTrace(server, open.sentAt, failure.reason.message, verdict);
    const refusal = { verdict, code: code ?? "upstream-failed", detail: failure.reason.message };
    if (code === undefined) {
      this._routeNext(refusal);
    } else {
      this._sendRefusal(refusal);
    }
  }

  /**
   * Records a failure that was reported after the request had ended: after the deadline it counts
   * against the server, before it the caller disconnected, which says nothing about the server.
   */
  private _recordLateFailure(server: ServerState, open: OpenAttempt): void {
    const now = this._deps.clock.now();
    if (now < open.deadline) {
      server.ejector.recordInconclusive();
      return;
    }
    server.recordLatency(now - open.sentAt);
    server.ejector.recordFailure(now);
  }

  /** Gets the verdict of a failed attempt; an idempotent request is retried without asking the agent. */
  private async _getVerdict(open: OpenAttempt, failure: RelayFailure): Promise<Verdict> {
    if (!failure.mayHaveBeenSent) {
      return "not-run";
    }
    if (this._routed.idempotent) {
      return "may-have-run";
    }
    return this._deps.settler.settle(open);
  }

  private _routeNext(outcome: AttemptOutcome): void {
    if (this._isEnded) {
      return;
    }
    if (this._req.body.kind === "streamed") {
      this._sendRefusal(outcome);
      return;
    }
    this._executeStep(this._deps.router.routeNext(this._routed, this._progress, outcome));
  }

  private _onDeadline(): void {
    this._sendRefusal({
      code: "deadline-exceeded",
      verdict: this._getOpenVerdict(),
      detail: `no response within ${this._req.caller.timeoutMs} ms`,
      retryAfterSeconds: 1,
    });
    this._exchange?.abort(new Error("the time budget ended"));
  }

  private _onCallerDisconnected(): void {
    if (this._isEnded) {
      return;
    }
    this._finish("caller-gone", this._getOpenVerdict());
    this._exchange?.abort(new Error("the caller closed the connection"));
  }

  /** Gets the verdict of a request that ends during an attempt. */
  private _getOpenVerdict(): Verdict {
    const mayHaveBeenSent = this._exchange?.mayHaveBeenSent ?? false;
    return mayHaveBeenSent || this._progress.verdict !== "not-run" ? "may-have-run" : "not-run";
  }

  private _sendRefusal(refusal: Refusal): void {
    if (this._isEnded) {
      return;
    }
    this._status = getHttpStatus(refusal.code);
    this._finish(refusal.code, refusal.verdict);
    sendRefusal(this._req.res, refusal, { [RequestHeaders.requestId]: this._req.id });
  }

  private _finish(outcome: string, verdict: Verdict): void {
    if (this._isEnded) {
      return;
    }
    this._isEnded = true;
    this._deadlineTimer?.cancel();
    const { caller, id, arrivedAt } = this._req;
    this._deps.onEnd({
      request: id,
      service: caller.service,
      tenant: caller.tenant,
      requestClass: caller.requestClass,
      attempts: this._attempts,
      outcome,
      verdict,
      status: this._status,
      latencyMs: this._deps.clock.now() - arrivedAt,
    });
  }

  private _addTrace(server: ServerState, sentAt: number, outcome: string, verdict: Verdict): void {
    this._attempts.push({
      server: server.id,
      agent: server.agent,
      outcome,
      verdict,
      latencyMs: this._deps.clock.now() - sentAt,
    });
  }

  private _getAttemptHeaders(server: ServerState, sentAt: number): readonly string[] {
    const { caller, id } = this._req;
    return [
      RequestHeaders.service,
      caller.service,
      RequestHeaders.tenant,
      caller.tenant,
      RequestHeaders.requestClass,
      caller.requestClass,
      RequestHeaders.requestId,
      id,
      RequestHeaders.attempt,
      String(this._progress.attempts),
      RequestHeaders.budgetMs,
      String(this._routed.deadline - sentAt),
      RequestHeaders.incarnation,
      server.incarnation,
      RequestHeaders.sender,
      this._deps.sender,
      RequestHeaders.sentAt,
      String(sentAt),
    ];
  }
}
