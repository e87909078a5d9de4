/**
 * Counters, gauges and latency histograms of a process in the Prometheus text form.
 */
import { Counter, Gauge, Registry, collectDefaultMetrics } from "prom-client";
import { Counters, type MetricLabels } from "../../state/metrics/Counters.ts";
import { getMetricDefinition, type MetricName } from "../../state/metrics/metricDefinitions.ts";
import type { RequestHistograms, SeriesSummary } from "../../state/metrics/RequestHistograms.ts";

const PERCENT = 100;
const MS_PER_SECOND = 1000;
const SERIES_LABELS = ["tenant", "class", "service"] as const;

/** Metrics of one process. */
export class PromMetrics extends Counters {
  private readonly _registry = new Registry();
  private readonly _counters = new Map<MetricName, Counter>();
  private readonly _gauges = new Map<MetricName, Gauge>();
  private readonly _histograms: RequestHistograms;
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
   */
  constructor(histograms: RequestHistograms) {
    super();
    this._histograms = histograms;
    collectDefaultMetrics({ register: this._registry });
  }

  override add(name: MetricName, labels: MetricLabels = {}, amount = 1): void {
    this._getCounter(name).inc(labels, amount);
  }

  override set(name: MetricName, value: number, labels: MetricLabels = {}): void {
    this._getGauge(name).set(labels, value);
  }

  /** Gives all metrics as text. */
  async render(): Promise<string> {
    this._refreshHistograms();
    return this._registry.metrics();
  }

  private _getCounter(name: MetricName): Counter {
    const known = this._counters.get(name);
    if (known !== undefined) {
      return known;
    }
    const { help, labels } = getMetricDefinition(name);
    const counter = new Counter({
      name,
      help,
      labelNames: [...labels],
      registers: [this._registry],
    });
    this._counters.set(name, counter);
    return counter;
  }

  private _getGauge(name: MetricName): Gauge {
    const known = this._gauges.get(name);
    if (known !== undefined) {
      return known;
    }
    const { help, labels } = getMetricDefinition(name);
    const gauge = new Gauge({ name, help, labelNames: [...labels], registers: [this._registry] });
    this._gauges.set(name, gauge);
    return gauge;
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
      const quantile = String(percentile / PERCENT);
      this._latency.set({ ...labels, quantile }, valueMs / MS_PER_SECOND);
    });
    this._requests.inc(labels, series.count);
    this._seconds.inc(labels, series.sumMs / MS_PER_SECOND);
  }
}
