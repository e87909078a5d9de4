/**
 * The last requests of one entry with what was decided for them, for `explain request`.
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

/** Requests in each of the two halves of the record. */
const TRACES_PER_GENERATION = 5_000;

/** Bounded record of requests, newest kept. */
export class RequestTraces {
  private _current = new Map<string, RequestTrace>();
  private _previous = new Map<string, RequestTrace>();

  /**
   * Adds a request that has ended; the older half is dropped when the newer one is full.
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
   * Gives a request by its id.
   * @param request - Id of the request.
   */
  getTrace(request: string): RequestTrace | undefined {
    return this._current.get(request) ?? this._previous.get(request);
  }
}
