/**
 * Creates the latency histograms of the benchmarks.
 */
import { build, type Histogram } from "hdr-histogram-js";

const HIGHEST_VALUE_US = 60_000_000;

/** Creates a histogram of latencies in microseconds. */
export function createHistogram(): Histogram {
  return build({ highestTrackableValue: HIGHEST_VALUE_US, numberOfSignificantValueDigits: 3 });
}
