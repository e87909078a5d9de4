/**
 * Counters and gauges in memory, for benchmarks and status pages.
 */
import { Counters } from "./Counters.ts";
import type { LabelArguments, MetricName } from "./metricDefinitions.ts";

/** Stores the value of each metric by its labels. */
export class MemoryCounters extends Counters {
  private readonly _values = new Map<string, number>();

  override add<N extends MetricName>(name: N, amount: number, ...labels: LabelArguments<N>): void {
    this._values.set(toKey(name, labels), this.get(name, ...labels) + amount);
  }

  override set<N extends MetricName>(name: N, value: number, ...labels: LabelArguments<N>): void {
    this._values.set(toKey(name, labels), value);
  }

  /**
   * Gets the value of a metric; 0 where it was never set or incremented.
   * @param name - Name of the metric.
   * @param labels - Label values, where the metric has labels.
   */
  get<N extends MetricName>(name: N, ...labels: LabelArguments<N>): number {
    return this._values.get(toKey(name, labels)) ?? 0;
  }
}

function toKey(name: MetricName, labels: readonly object[]): string {
  const ordered = Object.entries(labels[0] ?? {}).toSorted(([a], [b]) => (a < b ? -1 : 1));
  return JSON.stringify([name, ordered]);
}
