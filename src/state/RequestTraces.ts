/**
 * The latest requests of one entry with their attempts and outcomes, for `explain request`.
 */
import type { Verdict } from "../protocol/Verdict.ts";

/** One attempt of a request. */
export interface AttemptTrace {
  readonly server: string;
  readonly agent: string;
  readonly outcome: string;
  readonly verdict: Verdict;
  readonly latencyMs: number;
}

/** A request with its attempts. */
export interface RequestTrace {
  readonly request: string;
  readonly service: string;
  readonly tenant: string;
  readonly requestClass: string;
  readonly attempts: readonly AttemptTrace[];
  readonly outcome: string;
  readonly verdict: Verdict;
  readonly status: number;
  readonly latencyMs: number;
}

/** Number of requests in each of the two generations; the older one is dropped as a whole. */
const TRACES_PER_GENERATION = 5_000;

/** Bounded collection of the newest requests. */
export class RequestTraces {
  private _current = new Map<string, RequestTrace>();
  private _previous = new Map<string, RequestTrace>();

  /**
   * Adds a request that has ended; a full current generation replaces the previous one.
   * @param trace - The request.
   */
  add(trace: RequestTrace): void {
    if (this._current.size >= TRACES_PER_GENERATION) {
      this._previous = this._current;
      this._current = new Map();
    }
    this._current.set(trace.request, trace);
  }

  /**
   * Gets a request by its id.
   * @param request - Id of the request.
   */
  getTrace(request: string): RequestTrace | undefined {
    return this._current.get(request) ?? this._previous.get(request);
  }
}
