/**
 * Counters and gauges as the parts of the system see them, free of any metrics library.
 */
import type { MetricName } from "./metricDefinitions.ts";

/** Values of a metric's labels. */
export type MetricLabels = Readonly<Record<string, string>>;

/** Receives counts and measured levels. */
export abstract class Counters {
  /**
   * Adds to a counter.
   * @param name - Name of the counter.
   * @param labels - Values of its labels.
   * @param amount - What to add; 1 by default.
   */
  abstract add(name: MetricName, labels?: MetricLabels, amount?: number): void;

  /**
   * Sets a gauge.
   * @param name - Name of the gauge.
   * @param value - Its value now.
   * @param labels - Values of its labels.
   */
  abstract set(name: MetricName, value: number, labels?: MetricLabels): void;
}
