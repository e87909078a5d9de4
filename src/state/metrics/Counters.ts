/**
 * Interface for counters and gauges, independent of the metrics library.
 */
import type { LabelArguments, MetricName } from "./metricDefinitions.ts";

/** Receives increments of counters and values of gauges. */
export abstract class Counters {
  /**
   * Adds 1 to a counter.
   * @param name - Name of the counter.
   * @param labels - Label values, where the metric has labels.
   */
  increment<N extends MetricName>(name: N, ...labels: LabelArguments<N>): void {
    this.add(name, 1, ...labels);
  }

  /**
   * Adds to a counter.
   * @param name - Name of the counter.
   * @param amount - Amount to add.
   * @param labels - Label values, where the metric has labels.
   */
  abstract add<N extends MetricName>(name: N, amount: number, ...labels: LabelArguments<N>): void;

  /**
   * Sets a gauge.
   * @param name - Name of the gauge.
   * @param value - Current value.
   * @param labels - Label values, where the metric has labels.
   */
  abstract set<N extends MetricName>(name: N, value: number, ...labels: LabelArguments<N>): void;
}
