/**
 * The entry's decisions on requests: which backend server to try, whether to try again, and what to
 * tell the caller. It keeps to these rules: a request is repeated only where it has not run or is
 * idempotent, within its deadline and the retry budget; a service whose servers are all saturated is
 * not tried again; the last servers of a service are never ejected.
 */
import type { Clock } from "../../protocol/platform/Clock.ts";
import type { RandomSource } from "../../protocol/platform/RandomSource.ts";
import type { Refusal, RefusalCode } from "../../protocol/Refusal.ts";
import type { Verdict } from "../../protocol/Verdict.ts";
import { RetryBudget } from "./RetryBudget.ts";
import type { ServerPicker } from "./pickers/ServerPicker.ts";
import type { ServerState } from "./ServerState.ts";
import type { ServerTable } from "./ServerTable.ts";

/** Most attempts of one request. */
const MAX_ATTEMPTS = 4;
/** Most refusals for want of a slot before the service counts as saturated. */
const MAX_OVERLOAD_REFUSALS = 2;
const RETRY_AFTER_SECONDS = 1;
/** Share of a service's servers that may be ejected at once. */
const MAX_EJECTED_SHARE = 0.5;
/** Most servers that are looked at for one decision; a larger service is sampled at random. */
const SAMPLE_SIZE = 24;
/** Load in units of slots above which a server of the own zone is left for another zone. */
const ZONE_SPILL_LOAD = 1;

/** A request as the router sees it. */
export interface RoutedRequest {
  readonly service: string;
  readonly idempotent: boolean;
  /** When the caller's budget ends, in monotonic milliseconds. */
  readonly deadline: number;
}

/** How one attempt ended. */
export interface AttemptOutcome {
  readonly verdict: Verdict;
  readonly code: RefusalCode;
  readonly detail: string;
  readonly retryAfterSeconds?: number;
}

/** Progress of one request over its attempts. */
export interface RequestProgress {
  attempts: number;
  overloads: number;
  readonly tried: Set<ServerState>;
  /** Verdict over all attempts so far. */
  verdict: Verdict;
}

/** What to do next with a request. */
export type RouteStep =
  | { readonly kind: "send"; readonly server: ServerState }
  | { readonly kind: "answer"; readonly refusal: Refusal };

/** Decides on the requests of one entry. */
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
   * @param deps - What it decides with.
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

  /** Gives the progress of a request before its first attempt. */
  static createProgress(): RequestProgress {
    return { attempts: 0, overloads: 0, tried: new Set(), verdict: "not-run" };
  }

  /**
   * Decides on the first attempt.
   * @param req - The request.
   * @param progress - Its progress; updated.
   */
  routeFirst(req: RoutedRequest, progress: RequestProgress): RouteStep {
    this._getBudget(req.service).recordRequest();
    return this._routeAttempt(req, progress);
  }

  /**
   * Decides what follows an attempt that gave no answer to pass on.
   * @param req - The request.
   * @param progress - Its progress; updated.
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
    const safe = outcome.verdict === "not-run" || req.idempotent;
    return (
      safe &&
      outcome.code !== "deadline-exceeded" &&
      progress.attempts < MAX_ATTEMPTS &&
      progress.overloads < MAX_OVERLOAD_REFUSALS &&
      this._clock.now() < req.deadline &&
      (RequestRouter._isExemptFromBudget(outcome) || this._getBudget(req.service).tryConsume())
    );
  }

  /** An attempt that reached no backend server and met no load there costs nothing to repeat. */
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
      Array.from({ length: SAMPLE_SIZE }, () => this._random.below(servers.length)),
    );
    return [...indexes].map((index) => servers[index]).filter((server) => server !== undefined);
  }

  private _getCandidates(
    servers: readonly ServerState[],
    tried: ReadonlySet<ServerState>,
  ): readonly ServerState[] {
    const now = this._clock.now();
    const open = servers.filter((server) => !server.draining);
    const available = open.filter((server) => server.ejector.isAvailable(now));
    const enough = available.length >= open.length * (1 - MAX_EJECTED_SHARE);
    const allowed = (enough ? available : open).filter((server) => !tried.has(server));
    return this._preferOwnZone(allowed);
  }

  private _preferOwnZone(servers: readonly ServerState[]): readonly ServerState[] {
    const near = servers.filter(
      (server) => server.zone === this._zone && server.load < server.slots * ZONE_SPILL_LOAD,
    );
    return near.length >= 2 ? near : servers;
  }

  private _createNoServerRefusal(service: string, verdict: Verdict): Refusal {
    return {
      code: "no-server",
      verdict,
      detail: `no backend server of ${service} takes requests`,
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
