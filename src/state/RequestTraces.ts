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

/** Most requests remembered. */
const MAX_TRACES = 10_000;

/** Bounded record of requests, newest kept. */
export class RequestTraces {
  private readonly _traces = new Map<string, RequestTrace>();

  /**
   * Adds a request that has ended.
   * @param trace - The request.
   */
  add(trace: RequestTrace): void {
    if (this._traces.size >= MAX_TRACES) {
      const [oldest] = this._traces.keys();
      this._traces.delete(oldest ?? "");
    }
    this._traces.set(trace.request, trace);
  }

  /**
   * Gives a request by its id.
   * @param request - Id of the request.
   */
  getTrace(request: string): RequestTrace | undefined {
    return this._traces.get(request);
  }
}
