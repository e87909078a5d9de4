/**
 * Latency histograms for each tenant, class and service. Percentiles cover the current and the
 * previous window; counts and sums are cumulative. The number of series is bounded: requests
 * beyond the bound are recorded in one series named "other", and series without records in both
 * windows are dropped.
 */
import { build, type Histogram } from "hdr-histogram-js";
import type { Clock } from "../../protocol/platform/Clock.ts";

const MICROSECONDS_PER_MS = 1000;
const MAX_LATENCY_US = 3_600_000_000;
const DEFAULT_WINDOW_MS = 60_000;
const DEFAULT_MAX_SERIES = 512;
const OTHER = "other";

/** Key of a series. */
export interface SeriesKey {
  readonly tenant: string;
  readonly requestClass: string;
  readonly service: string;
}

/** Summary of one series. */
export interface SeriesSummary extends SeriesKey {
  /** Number of requests since the series was created. */
  readonly count: number;
  /** Sum of their latencies, in milliseconds. */
  readonly sumMs: number;
  /** Latency by percentile over the current and the previous window, in milliseconds. */
  readonly percentilesMs: ReadonlyMap<number, number>;
}

interface Series {
  readonly key: SeriesKey;
  count: number;
  sumMs: number;
  current: Histogram;
  previous: Histogram;
}

/** Percentiles that are reported. */
export const REPORTED_PERCENTILES: readonly number[] = [50, 90, 99, 99.9];

/** Latency histograms of one process. */
export class RequestHistograms {
  private readonly _series = new Map<string, Series>();
  private readonly _clock: Clock;
  private readonly _windowMs: number;
  private readonly _maxSeries: number;
  private _windowEndsAt: number;

  /**
   * Creates the histograms.
   * @param clock - Clock that determines the windows.
   * @param options - Length of a window and maximum number of series, not counting "other".
   */
  constructor(
    clock: Clock,
    options: { readonly windowMs?: number; readonly maxSeries?: number } = {},
  ) {
    this._clock = clock;
    this._windowMs = options.windowMs ?? DEFAULT_WINDOW_MS;
    this._maxSeries = options.maxSeries ?? DEFAULT_MAX_SERIES;
    this._windowEndsAt = clock.now() + this._windowMs;
  }

  /**
   * Records the latency of a request.
   * @param key - Tenant, class and service of the request.
   * @param latencyMs - Its latency in milliseconds.
   */
  record(key: SeriesKey, latencyMs: number): void {
    this._advance();
    const series = this._getSeries(key);
    const latencyUs = Math.round(latencyMs * MICROSECONDS_PER_MS);
    series.current.recordValue(Math.min(Math.max(latencyUs, 0), MAX_LATENCY_US));
    series.count += 1;
    series.sumMs += latencyMs;
  }

  /** Gets the summaries of all series. */
  getSummaries(): readonly SeriesSummary[] {
    this._advance();
    return [...this._series.values()].map((series) => summarize(series));
  }

  private _getSeries(key: SeriesKey): Series {
    const id = toId(key);
    const known = this._series.get(id);
    if (known !== undefined) {
      return known;
    }
    if (this._series.size < this._maxSeries) {
      return this._addSeries(id, key);
    }
    const other = { tenant: OTHER, requestClass: OTHER, service: OTHER };
    return this._series.get(toId(other)) ?? this._addSeries(toId(other), other);
  }

  private _addSeries(id: string, key: SeriesKey): Series {
    const histograms = { current: createHistogram(), previous: createHistogram() };
    const series: Series = { key, count: 0, sumMs: 0, ...histograms };
    this._series.set(id, series);
    return series;
  }

  private _advance(): void {
    const now = this._clock.now();
    if (now < this._windowEndsAt) {
      return;
    }
    const windows = Math.floor((now - this._windowEndsAt) / this._windowMs) + 1;
    this._windowEndsAt += windows * this._windowMs;
    this._rotate();
    if (windows > 1) {
      this._rotate();
    }
  }

  private _rotate(): void {
    this._series.forEach((series, id) => {
      const freed = series.previous;
      series.previous = series.current;
      freed.reset();
      series.current = freed;
      if (series.previous.totalCount === 0) {
        this._series.delete(id);
      }
    });
  }
}

function createHistogram(): Histogram {
  return build({ numberOfSignificantValueDigits: 2, bitBucketSize: 32, autoResize: true });
}

function toId(key: SeriesKey): string {
  return `${key.tenant}\n${key.requestClass}\n${key.service}`;
}

function summarize(series: Series): SeriesSummary {
  const merged = createHistogram();
  merged.add(series.previous);
  merged.add(series.current);
  const percentiles = REPORTED_PERCENTILES.map((percentile): [number, number] => [
    percentile,
    merged.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS,
  ]);
  return {
    ...series.key,
    count: series.count,
    sumMs: series.sumMs,
    percentilesMs: new Map(percentiles),
  };
}
