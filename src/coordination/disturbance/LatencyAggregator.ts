/**
 * Aggregates the report windows of a service until they hold enough requests for a meaningful
 * percentile.
 */
import type { LatencyReport } from "./DisturbanceEstimator.ts";

/** Report window of one backend server. */
export interface ServerWindow {
  readonly service: string;
  readonly slots: number;
  readonly slotsInUse: number;
  readonly p99Us: number;
  readonly requests: number;
}

/** Minimum number of requests in a report. */
export const MIN_REPORT_REQUESTS = 100;
const MAX_WINDOW_MS = 10_000;
const US_PER_MS = 1000;

interface OpenWindow {
  readonly openedAt: number;
  readonly requests: number;
  /** Sum of the 99th percentiles, weighted by requests. */
  readonly weightedMs: number;
  /** Sum of the utilisations, weighted by requests. */
  readonly weightedUtilisation: number;
}

/** Aggregated report windows of the services on one VM. */
export class LatencyAggregator {
  private readonly _open = new Map<string, OpenWindow>();
  private readonly _reportCounts = new Map<string, number>();
  private readonly _warmUpReports: number;

  /**
   * Creates an aggregator without requests.
   * @param warmUpReports - Number of initial reports of each service that are discarded, since the
   * first requests of a server are slower than usual.
   */
  constructor(warmUpReports = 0) {
    this._warmUpReports = warmUpReports;
  }

  /**
   * Adds a report window.
   * @param window - The window.
   * @param now - End of the window, in milliseconds.
   * @returns A latency report once enough requests have been aggregated.
   */
  add(window: ServerWindow, now: number): LatencyReport | undefined {
    const { service, requests } = window;
    const known = this._open.get(service);
    const isStale = known !== undefined && now - known.openedAt > MAX_WINDOW_MS;
    const open =
      known === undefined || isStale
        ? { openedAt: now, requests: 0, weightedMs: 0, weightedUtilisation: 0 }
        : known;
    const utilisation = window.slots === 0 ? 0 : Math.min(1, window.slotsInUse / window.slots);
    const sum = {
      openedAt: open.openedAt,
      requests: open.requests + requests,
      weightedMs: open.weightedMs + (window.p99Us / US_PER_MS) * requests,
      weightedUtilisation: open.weightedUtilisation + utilisation * requests,
    };
    if (sum.requests < MIN_REPORT_REQUESTS) {
      this._open.set(service, sum);
      return undefined;
    }
    this._open.delete(service);
    const reportCount = (this._reportCounts.get(service) ?? 0) + 1;
    this._reportCounts.set(service, reportCount);
    if (reportCount <= this._warmUpReports) {
      return undefined;
    }
    return {
      service,
      measuredAt: now,
      latencyMs: sum.weightedMs / sum.requests,
      utilisation: sum.weightedUtilisation / sum.requests,
    };
  }
}
