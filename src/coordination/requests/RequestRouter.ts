/**
 * Routing of requests at the entry: which backend server to try, whether to retry, and what to
 * reply. A request is retried only if it has not run or is idempotent, and only within its
 * deadline and the retry budget. A service whose servers are all saturated is not retried. Ejection
 * is ignored when more than half of a service's servers are ejected.
 */
import type { Clock } from "../../protocol/platform/Clock.ts";
import type { RandomSource } from "../../protocol/platform/RandomSource.ts";
import type { Refusal, RefusalCode } from "../../protocol/Refusal.ts";
import type { Verdict } from "../../protocol/Verdict.ts";
import { RetryBudget } from "./RetryBudget.ts";
import type { ServerPicker } from "./pickers/ServerPicker.ts";
import type { ServerState } from "./ServerState.ts";
import type { ServerTable } from "./ServerTable.ts";

/** Maximum number of attempts per request. */
const MAX_ATTEMPTS = 4;
/** Number of attempts refused as overloaded after which the service counts as saturated. */
const MAX_OVERLOAD_REFUSALS = 2;
const RETRY_AFTER_SECONDS = 1;
/** Share of ejected servers of a service above which ejection is ignored. */
const MAX_EJECTED_SHARE = 0.5;
/** Maximum number of servers considered per decision; larger services are sampled at random. */
const SAMPLE_SIZE = 24;
/** Load per slot from which a server in the entry's own zone is no longer preferred. */
const ZONE_SPILL_LOAD = 1;

/** A request as the router sees it. */
export interface RoutedRequest {
  readonly service: string;
  readonly idempotent: boolean;
  /** End of the caller's time budget, in monotonic milliseconds. */
  readonly deadline: number;
}

/** How one attempt ended. */
export interface AttemptOutcome {
  readonly verdict: Verdict;
  readonly code: RefusalCode;
  readonly detail: string;
  readonly retryAfterSeconds?: number;
}

/** State of one request across its attempts. */
export interface RequestProgress {
  attempts: number;
  overloads: number;
  readonly tried: Set<ServerState>;
  /** Combined verdict of all attempts so far. */
  verdict: Verdict;
}

/** Next step for a request: send it to a server, or reply to the caller with a refusal. */
export type RouteStep =
  | { readonly kind: "send"; readonly server: ServerState }
  | { readonly kind: "answer"; readonly refusal: Refusal };

/** Routes the requests of one entry. */
export class RequestRouter {
  private readonly _clock: Clock;
  private readonly _table: ServerTable;
  private readonly _picker: ServerPicker;
  private readonly _random: RandomSource;
  private readonly _zone: string;
  private readonly _retryPercent: number;
  private readonly _budgets = new Map<string, RetryBudget>();

  /**
   * Creates the router.
   * @param deps - Dependencies and settings.
   */
  constructor(deps: {
    readonly clock: Clock;
    readonly table: ServerTable;
    readonly picker: ServerPicker;
    readonly random: RandomSource;
    readonly zone: string;
    readonly retryPercent: number;
  }) {
    this._clock = deps.clock;
    this._table = deps.table;
    this._picker = deps.picker;
    this._random = deps.random;
    this._zone = deps.zone;
    this._retryPercent = deps.retryPercent;
  }

  /** Creates the state of a request before its first attempt. */
  static createProgress(): RequestProgress {
    return { attempts: 0, overloads: 0, tried: new Set(), verdict: "not-run" };
  }

  /**
   * Routes the first attempt.
   * @param req - The request.
   * @param progress - State of the request; updated.
   */
  routeFirst(req: RoutedRequest, progress: RequestProgress): RouteStep {
    this._getBudget(req.service).recordRequest();
    return this._routeAttempt(req, progress);
  }

  /**
   * Decides on the next step after an attempt without a response to forward.
   * @param req - The request.
   * @param progress - State of the request; updated.
   * @param outcome - How the attempt ended.
   */
  routeNext(req: RoutedRequest, progress: RequestProgress, outcome: AttemptOutcome): RouteStep {
    progress.verdict = RequestRouter._mergeVerdicts(progress.verdict, outcome.verdict);
    progress.overloads += outcome.code === "overloaded" ? 1 : 0;
    if (!this._mayRetry(req, progress, outcome)) {
      return { kind: "answer", refusal: { ...outcome, verdict: progress.verdict } };
    }
    const step = this._routeAttempt(req, progress);
    return step.kind === "send"
      ? step
      : { kind: "answer", refusal: { ...outcome, verdict: progress.verdict } };
  }

  private _mayRetry(
    req: RoutedRequest,
    progress: RequestProgress,
    outcome: AttemptOutcome,
  ): boolean {
    const isSafe = outcome.verdict === "not-run" || req.idempotent;
    return (
      isSafe &&
      outcome.code !== "deadline-exceeded" &&
      progress.attempts < MAX_ATTEMPTS &&
      progress.overloads < MAX_OVERLOAD_REFUSALS &&
      this._clock.now() < req.deadline &&
      (RequestRouter._isExemptFromBudget(outcome) || this._getBudget(req.service).tryConsume())
    );
  }

  /**
   * Retries after an attempt that neither ran nor was refused as overloaded add no load, so they do
   * not consume the budget.
   */
  private static _isExemptFromBudget(outcome: AttemptOutcome): boolean {
    return outcome.verdict === "not-run" && outcome.code !== "overloaded";
  }

  private _routeAttempt(req: RoutedRequest, progress: RequestProgress): RouteStep {
    const servers = this._sample(this._table.getServers(req.service));
    const candidates = this._getCandidates(servers, progress.tried);
    const server = candidates.length === 0 ? undefined : this._picker.pick(candidates);
    if (server === undefined) {
      return {
        kind: "answer",
        refusal: this._createNoServerRefusal(req.service, progress.verdict),
      };
    }
    progress.attempts += 1;
    progress.tried.add(server);
    return { kind: "send", server };
  }

  private _sample(servers: readonly ServerState[]): readonly ServerState[] {
    if (servers.length <= SAMPLE_SIZE) {
      return servers;
    }
    const indexes = new Set(
      Array.from({ length: SAMPLE_SIZE }, () => this._random.nextInt(servers.length)),
    );
    return [...indexes].map((index) => servers[index]).filter((server) => server !== undefined);
  }

  private _getCandidates(
    servers: readonly ServerState[],
    tried: ReadonlySet<ServerState>,
  ): readonly ServerState[] {
    const now = this._clock.now();
    const accepting = servers.filter((server) => !server.draining);
    const available = accepting.filter((server) => server.ejector.isAvailable(now));
    const isEnough = available.length >= accepting.length * (1 - MAX_EJECTED_SHARE);
    const allowed = (isEnough ? available : accepting).filter((server) => !tried.has(server));
    return this._preferOwnZone(allowed);
  }

  private _preferOwnZone(servers: readonly ServerState[]): readonly ServerState[] {
    const local = servers.filter(
      (server) => server.zone === this._zone && server.load < server.slots * ZONE_SPILL_LOAD,
    );
    return local.length >= 2 ? local : servers;
  }

  private _createNoServerRefusal(service: string, verdict: Verdict): Refusal {
    return {
      code: "no-server",
      verdict,
      detail: `no backend server of service ${service} accepts requests`,
      retryAfterSeconds: RETRY_AFTER_SECONDS,
    };
  }

  private _getBudget(service: string): RetryBudget {
    const known = this._budgets.get(service);
    if (known !== undefined) {
      return known;
    }
    const added = new RetryBudget(this._retryPercent);
    this._budgets.set(service, added);
    return added;
  }

  private static _mergeVerdicts(a: Verdict, b: Verdict): Verdict {
    if (a === "ran" || b === "ran") {
      return "ran";
    }
    return a === "may-have-run" || b === "may-have-run" ? "may-have-run" : "not-run";
  }
}
