import test from "ava";
import {
  LatencyAggregator,
  MIN_REPORT_REQUESTS,
} from "../../../src/coordination/disturbance/LatencyAggregator.ts";

const window = (requests: number, p99Us: number) => ({
  service: "desk",
  slots: 8,
  slotsInUse: 4,
  p99Us,
  requests,
});

test("LatencyAggregator reports once enough requests have been aggregated", (t) => {
  const aggregator = new LatencyAggregator();
  const half = MIN_REPORT_REQUESTS / 2;
  t.is(aggregator.add(window(half, 10_000), 1000), undefined);
  t.deepEqual(aggregator.add(window(half, 30_000), 2000), {
    service: "desk",
    measuredAt: 2000,
    latencyMs: 20,
    utilisation: 0.5,
  });
  t.is(aggregator.add(window(half, 10_000), 3000), undefined);
});

test("LatencyAggregator drops requests that are too old", (t) => {
  const aggregator = new LatencyAggregator();
  t.is(aggregator.add(window(MIN_REPORT_REQUESTS - 1, 10_000), 0), undefined);
  t.is(aggregator.add(window(1, 50_000), 60_000), undefined);
  t.is(aggregator.add(window(MIN_REPORT_REQUESTS, 50_000), 61_000)?.latencyMs, 50);
});

test("LatencyAggregator discards the warm-up reports of each service", (t) => {
  const aggregator = new LatencyAggregator(2);
  const latencies = [90_000, 50_000, 10_000].map(
    (p99Us, number) => aggregator.add(window(MIN_REPORT_REQUESTS, p99Us), number * 1000)?.latencyMs,
  );
  t.deepEqual(latencies, [undefined, undefined, 10]);
});
