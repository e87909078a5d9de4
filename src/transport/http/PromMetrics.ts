/**
 * Counters, gauges and latency histograms of a process in the Prometheus text format. The number of
 * series of a metric is limited: values beyond the limit are recorded with all labels "other".
 */
import { Counter, Gauge, Registry, collectDefaultMetrics } from "prom-client";
import { Counters } from "../../state/metrics/Counters.ts";
import {
  getMetricDefinition,
  type LabelArguments,
  type MetricName,
} from "../../state/metrics/metricDefinitions.ts";
import type { RequestHistograms, SeriesSummary } from "../../state/metrics/RequestHistograms.ts";

const PERCENT = 100;
const QUANTILE_DIGITS = 6;
const MS_PER_SECOND = 1000;
const DEFAULT_MAX_SERIES = 1000;
const OTHER = "other";
const SERIES_LABELS = ["tenant", "class", "service"] as const;

type Labels = Readonly<Record<string, string>>;

/** Metrics of one process. */
export class PromMetrics extends Counters {
  private readonly _registry = new Registry();
  private readonly _counters = new Map<MetricName, Counter>();
  private readonly _gauges = new Map<MetricName, Gauge>();
  private readonly _series = new Map<MetricName, Set<string>>();
  private readonly _histograms: RequestHistograms;
  private readonly _maxSeries: number;
  private readonly _latency = new Gauge({
    name: "fireflylb_request_latency_seconds",
    help: "Latency of requests by quantile over the last one to two minutes.",
    labelNames: [...SERIES_LABELS, "quantile"],
    registers: [this._registry],
  });
  private readonly _requests = new Counter({
    name: "fireflylb_request_latency_requests_total",
    help: "Requests recorded in the latency histograms.",
    labelNames: [...SERIES_LABELS],
    registers: [this._registry],
  });
  private readonly _seconds = new Counter({
    name: "fireflylb_request_latency_seconds_total",
    help: "Sum of the latencies recorded.",
    labelNames: [...SERIES_LABELS],
    registers: [this._registry],
  });

  /**
   * Creates the metrics.
   * @param histograms - Latency histograms of the process.
   * @param maxSeries - Maximum number of series of one metric, not counting "other".
   */
  constructor(histograms: RequestHistograms, maxSeries = DEFAULT_MAX_SERIES) {
    super();
    this._histograms = histograms;
    this._maxSeries = maxSeries;
    collectDefaultMetrics({ register: this._registry, eventLoopMonitoringPrecision: 1000 });
  }

  override add<N extends MetricName>(name: N, amount: number, ...labels: LabelArguments<N>): void {
    this._getCounter(name).inc(this._limitSeries(name, labels[0] ?? {}), amount);
  }

  override set<N extends MetricName>(name: N, value: number, ...labels: LabelArguments<N>): void {
    this._getGauge(name).set(this._limitSeries(name, labels[0] ?? {}), value);
  }

  /** Renders all metrics in the Prometheus text format. */
  async render(): Promise<string> {
    this._refreshHistograms();
    return this._registry.metrics();
  }

  /** Gets the labels under which a value is recorded: "other" once the metric has too many series. */
  private _limitSeries(name: MetricName, labels: Labels): Labels {
    const known = this._series.get(name) ?? new Set<string>();
    this._series.set(name, known);
    const key = JSON.stringify(Object.values(labels));
    if (known.size < this._maxSeries) {
      known.add(key);
    }
    return known.has(key)
      ? labels
      : Object.fromEntries(Object.keys(labels).map((label) => [label, OTHER]));
  }

  private _getCounter(name: MetricName): Counter {
    const known = this._counters.get(name);
    if (known !== undefined) {
      return known;
    }
    const counter = new Counter(this._createConfig(name));
    this._counters.set(name, counter);
    return counter;
  }

  private _getGauge(name: MetricName): Gauge {
    const known = this._gauges.get(name);
    if (known !== undefined) {
      return known;
    }
    const gauge = new Gauge(this._createConfig(name));
    this._gauges.set(name, gauge);
    return gauge;
  }

  private _createConfig(name: MetricName): {
    name: string;
    help: string;
    labelNames: string[];
    registers: Registry[];
  } {
    const { help, labels } = getMetricDefinition(name);
    return { name, help, labelNames: [...labels], registers: [this._registry] };
  }

  private _refreshHistograms(): void {
    [this._latency, this._requests, this._seconds].forEach((metric) => {
      metric.reset();
    });
    this._histograms.getSummaries().forEach((series) => {
      this._writeSeries(series);
    });
  }

  private _writeSeries(series: SeriesSummary): void {
    const labels = { tenant: series.tenant, class: series.requestClass, service: series.service };
    series.percentilesMs.forEach((valueMs, percentile) => {
      const quantile = String(Number((percentile / PERCENT).toFixed(QUANTILE_DIGITS)));
      this._latency.set({ ...labels, quantile }, valueMs / MS_PER_SECOND);
    });
    this._requests.inc(labels, series.count);
    this._seconds.inc(labels, series.sumMs / MS_PER_SECOND);
  }
}
