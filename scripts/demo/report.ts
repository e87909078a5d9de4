/**
 * Formats the demo's statistics on its requests.
 */
import { build } from "hdr-histogram-js";
import type { CallOutcome } from "../../standins/callers/CallerLoad.ts";

const US_PER_MS = 1_000;
const PERCENTILES = [50, 95, 99];

/**
 * Formats one line for each request class with its count and latencies.
 * @param outcomes - Outcomes of the requests.
 */
export function formatLatencies(outcomes: readonly CallOutcome[]): readonly string[] {
  const classes = [...new Set(outcomes.map((outcome) => outcome.kind.requestClass))].sort();
  return classes.map((requestClass) => {
    const latencies = outcomes
      .filter((outcome) => outcome.kind.requestClass === requestClass && outcome.status === 200)
      .map((outcome) => outcome.latencyMs);
    const columns = PERCENTILES.map((percentile) => {
      const latencyMs = getPercentile(latencies, percentile).toFixed(1);
      return `p${percentile} ${latencyMs.padStart(6)} ms`;
    });
    return `  ${requestClass.padEnd(11)}${String(latencies.length).padStart(6)}  ${columns.join("  ")}`;
  });
}

/**
 * Formats one line for each kind of outcome with its count.
 * @param outcomes - Outcomes of the requests.
 */
export function formatVerdicts(outcomes: readonly CallOutcome[]): readonly string[] {
  const counts = new Map<string, number>();
  outcomes.forEach(({ status, verdict, refusal }) => {
    const outcome =
      status === undefined ? "no response" : `status ${status}, verdict ${verdict ?? "none"}`;
    const key = refusal === undefined ? outcome : `${outcome}, ${refusal}`;
    counts.set(key, (counts.get(key) ?? 0) + 1);
  });
  return [...counts].map(([key, count]) => `  ${String(count).padStart(6)}  ${key}`);
}

function getPercentile(latenciesMs: readonly number[], percentile: number): number {
  const histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: 600_000 * US_PER_MS,
    numberOfSignificantValueDigits: 3,
  });
  latenciesMs.forEach((latencyMs) => {
    histogram.recordValue(Math.max(1, Math.round(latencyMs * US_PER_MS)));
  });
  return histogram.getValueAtPercentile(percentile) / US_PER_MS;
}
