/**
 * One caller's request on its way: it carries out what the router decides, attempt by attempt, and
 * gives the caller exactly one final answer, at the latest when the budget ends.
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
import { getStatus, type Refusal } from "../../../protocol/Refusal.ts";
import { RequestHeaders } from "../../../protocol/RequestHeaders.ts";
import type { Verdict } from "../../../protocol/Verdict.ts";
import type { AttemptTrace, RequestTrace } from "../../../state/RequestTraces.ts";
import { answerRefusal } from "../../http/refusalAnswer.ts";
import type { RelayFailure } from "../../http/RelayHandler.ts";
import { getDispatchBody, type RequestBody } from "../../http/requestBody.ts";
import { getRequestFault } from "../../http/requestFault.ts";
import type { AgentConnections } from "./AgentConnections.ts";
import { AgentExchange, type AgentRefusal, type PiggybackedLoad } from "./AgentExchange.ts";
import type { CallerRequest } from "./CallerRequest.ts";
import type { OpenAttempt, RequestSettler } from "./RequestSettler.ts";

const FIRST_SERVER_ERROR_STATUS = 500;
const BODY_TIMEOUT_MS = 30_000;
/** Refusals that say nothing about the health of the backend server. */
const NEUTRAL_CODES: ReadonlySet<string> = new Set([
  "overloaded",
  "draining",
  "duplicate-request",
  "deadline-exceeded",
  "wrong-incarnation",
  "body-too-large",
]);

/** What all requests of an entry share. */
export interface RequestRunParts {
  readonly clock: Clock;
  readonly router: RequestRouter;
  readonly connections: AgentConnections;
  readonly settler: RequestSettler;
  /** Identity of this process. */
  readonly sender: string;
  readonly onEnd: (trace: RequestTrace) => void;
}

/** One request as it arrived. */
export interface ArrivedRequest {
  readonly id: string;
  readonly caller: CallerRequest;
  readonly path: string;
  readonly headers: readonly string[];
  readonly body: RequestBody;
  readonly arrivedAt: number;
  readonly res: ServerResponse;
}

/** A request on its way. */
export class RequestRun {
  private readonly _parts: RequestRunParts;
  private readonly _req: ArrivedRequest;
  private readonly _routed: RoutedRequest;
  private readonly _progress: RequestProgress = RequestRouter.createProgress();
  private readonly _attempts: AttemptTrace[] = [];
  private _deadlineTimer: Timer | undefined;
  private _exchange: AgentExchange | undefined;
  private _status = 0;
  private _ended = false;

  /**
   * Creates the run; it does nothing yet.
   * @param parts - What all requests of the entry share.
   * @param req - The request.
   */
  constructor(parts: RequestRunParts, req: ArrivedRequest) {
    this._parts = parts;
    this._req = req;
    this._routed = {
      service: req.caller.service,
      idempotent: req.caller.idempotent,
      deadline: req.arrivedAt + req.caller.timeoutMs,
    };
  }

  /** Sends the first attempt. */
  start(): void {
    this._deadlineTimer = this._parts.clock.after(this._getBudgetMs(), () => {
      this._onDeadline();
    });
    this._req.res.on("close", () => {
      this._onCallerGone();
    });
    this._follow(this._parts.router.routeFirst(this._routed, this._progress));
  }

  private _follow(step: RouteStep): void {
    if (step.kind === "answer") {
      this._answer(step.refusal);
      return;
    }
    this._send(step.server);
  }

  private _send(server: ServerState): void {
    const sentAt = this._parts.clock.now();
    const open = {
      request: this._req.id,
      attempt: this._progress.attempts,
      controlAddress: server.controlAddress,
      incarnation: server.incarnation,
      sentAt,
      deadline: this._routed.deadline,
    };
    const exchange = new AgentExchange(this._req.res, this._req.id, {
      onAnswer: (status, load) => {
        this._onAnswer(server, sentAt, status, load);
      },
      onComplete: () => {
        server.recordEnd();
        this._end("answered", "ran");
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
    this._parts.connections.getPool(server.requestAddress).dispatch(
      {
        path: this._req.path,
        method: this._req.caller.method,
        headers: [...this._req.headers, ...this._getOwnHeaders(server, sentAt)],
        body: getDispatchBody(this._req.body),
        headersTimeout: 0,
        bodyTimeout: BODY_TIMEOUT_MS,
      },
      exchange,
    );
  }

  private _onAnswer(
    server: ServerState,
    sentAt: number,
    status: number,
    load: PiggybackedLoad | undefined,
  ): void {
    const now = this._parts.clock.now();
    this._deadlineTimer?.cancel();
    this._status = status;
    this._note(server, sentAt, String(status), "ran");
    server.recordLatency(now - sentAt);
    if (load !== undefined) {
      server.updateLoad(load.slotsInUse + 1, load.queued);
    }
    if (status >= FIRST_SERVER_ERROR_STATUS) {
      server.ejector.recordFailure(now);
      return;
    }
    server.ejector.recordSuccess(now);
  }

  private _onRefusal(server: ServerState, sentAt: number, refusal: AgentRefusal): void {
    server.recordEnd();
    this._note(server, sentAt, refusal.code, refusal.verdict);
    if (NEUTRAL_CODES.has(refusal.code)) {
      server.ejector.recordInconclusive();
    } else {
      server.ejector.recordFailure(this._parts.clock.now());
    }
    this._continue({
      verdict: refusal.verdict,
      code: refusal.code,
      detail: `agent ${server.agent} refused`,
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
    if (this._ended) {
      this._noteLateFailure(server, open);
      return;
    }
    const fault = getRequestFault(failure.reason);
    if (fault === undefined) {
      server.ejector.recordFailure(this._parts.clock.now());
    } else {
      server.ejector.recordInconclusive();
    }
    if (failure.headSeen && this._req.res.headersSent) {
      this._end("cut", "ran");
      this._req.res.destroy();
      return;
    }
    const verdict = await this._getVerdict(open, failure);
    this._note(server, open.sentAt, failure.reason.message, verdict);
    const refusal = { verdict, code: fault ?? "upstream-failed", detail: failure.reason.message };
    if (fault === undefined) {
      this._continue(refusal);
    } else {
      this._answer(refusal);
    }
  }

  /** A server that let a budget pass counts as failing; a caller that went away says nothing. */
  private _noteLateFailure(server: ServerState, open: OpenAttempt): void {
    const now = this._parts.clock.now();
    if (now < open.deadline) {
      server.ejector.recordInconclusive();
      return;
    }
    server.recordLatency(now - open.sentAt);
    server.ejector.recordFailure(now);
  }

  /** An idempotent request is repeated without asking, so its verdict is not settled. */
  private async _getVerdict(open: OpenAttempt, failure: RelayFailure): Promise<Verdict> {
    if (!failure.sent) {
      return "not-run";
    }
    if (this._routed.idempotent) {
      return "may-have-run";
    }
    return this._parts.settler.settle(open);
  }

  private _continue(outcome: AttemptOutcome): void {
    if (this._ended) {
      return;
    }
    if (this._req.body.kind === "streamed") {
      this._answer(outcome);
      return;
    }
    this._follow(this._parts.router.routeNext(this._routed, this._progress, outcome));
  }

  private _onDeadline(): void {
    const sent = this._exchange?.sent ?? false;
    this._answer({
      code: "deadline-exceeded",
      verdict: sent || this._progress.verdict !== "not-run" ? "may-have-run" : "not-run",
      detail: `no answer within ${this._req.caller.timeoutMs} ms`,
      retryAfterSeconds: 1,
    });
    this._exchange?.abort(new Error("the budget ended"));
  }

  private _onCallerGone(): void {
    if (this._ended) {
      return;
    }
    this._end("caller-gone", this._progress.verdict);
    this._exchange?.abort(new Error("the caller has gone away"));
  }

  private _answer(refusal: Refusal): void {
    if (this._ended) {
      return;
    }
    this._status = getStatus(refusal.code);
    this._end(refusal.code, refusal.verdict);
    answerRefusal(this._req.res, refusal, { [RequestHeaders.requestId]: this._req.id });
  }

  private _end(outcome: string, verdict: Verdict): void {
    if (this._ended) {
      return;
    }
    this._ended = true;
    this._deadlineTimer?.cancel();
    const { caller, id, arrivedAt } = this._req;
    this._parts.onEnd({
      request: id,
      service: caller.service,
      tenant: caller.tenant,
      requestClass: caller.requestClass,
      attempts: this._attempts,
      outcome,
      verdict,
      status: this._status,
      latencyMs: this._parts.clock.now() - arrivedAt,
    });
  }

  private _note(server: ServerState, sentAt: number, outcome: string, verdict: Verdict): void {
    this._attempts.push({
      server: server.id,
      agent: server.agent,
      outcome,
      verdict,
      latencyMs: this._parts.clock.now() - sentAt,
    });
  }

  private _getBudgetMs(): number {
    return this._routed.deadline - this._parts.clock.now();
  }

  private _getOwnHeaders(server: ServerState, sentAt: number): readonly string[] {
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
      this._parts.sender,
      RequestHeaders.sentAt,
      String(sentAt),
    ];
  }
}
