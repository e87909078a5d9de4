/**
 * Counters and gauges as the parts of the system see them, free of any metrics library.
 */
import type { LabelArguments, MetricName } from "./metricDefinitions.ts";

/** Receives counts and measured levels. */
export abstract class Counters {
  /**
   * Adds 1 to a counter.
   * @param name - Name of the counter.
   * @param labels - Values of its labels, where it has any.
   */
  increment<N extends MetricName>(name: N, ...labels: LabelArguments<N>): void {
    this.add(name, 1, ...labels);
  }

  /**
   * Adds to a counter.
   * @param name - Name of the counter.
   * @param amount - What to add.
   * @param labels - Values of its labels, where it has any.
   */
  abstract add<N extends MetricName>(name: N, amount: number, ...labels: LabelArguments<N>): void;

  /**
   * Sets a gauge.
   * @param name - Name of the gauge.
   * @param value - Its value now.
   * @param labels - Values of its labels, where it has any.
   */
  abstract set<N extends MetricName>(name: N, value: number, ...labels: LabelArguments<N>): void;
}
