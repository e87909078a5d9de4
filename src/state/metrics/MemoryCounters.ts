/**
 * Counters and gauges in memory, for benches and for status pages.
 */
import { Counters, type MetricLabels } from "./Counters.ts";
import type { MetricName } from "./metricDefinitions.ts";

/** Keeps each metric's value by its labels. */
export class MemoryCounters extends Counters {
  private readonly _values = new Map<string, number>();

  override add(name: MetricName, labels: MetricLabels = {}, amount = 1): void {
    this._values.set(toKey(name, labels), this.get(name, labels) + amount);
  }

  override set(name: MetricName, value: number, labels: MetricLabels = {}): void {
    this._values.set(toKey(name, labels), value);
  }

  /**
   * Gives the value of a metric; 0 where it was never counted.
   * @param name - Name of the metric.
   * @param labels - Values of its labels.
   */
  get(name: MetricName, labels: MetricLabels = {}): number {
    return this._values.get(toKey(name, labels)) ?? 0;
  }
}

function toKey(name: MetricName, labels: MetricLabels): string {
  const ordered = Object.entries(labels).toSorted(([a], [b]) => (a < b ? -1 : 1));
  return JSON.stringify([name, ordered]);
}
