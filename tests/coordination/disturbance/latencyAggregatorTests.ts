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

test("LatencyWindow reports once enough requests are gathered", (t) => {
  const windows = new LatencyAggregator();
  const half = MIN_REPORT_REQUESTS / 2;
  t.is(windows.add(window(half, 10_000), 1000), undefined);
  t.deepEqual(windows.add(window(half, 30_000), 2000), {
    service: "desk",
    measuredAt: 2000,
    latencyMs: 20,
    utilisation: 0.5,
  });
  t.is(windows.add(window(half, 10_000), 3000), undefined);
});

test("LatencyWindow drops requests that are too old", (t) => {
  const windows = new LatencyAggregator();
  t.is(windows.add(window(MIN_REPORT_REQUESTS - 1, 10_000), 0), undefined);
  t.is(windows.add(window(1, 50_000), 60_000), undefined);
  t.is(windows.add(window(MIN_REPORT_REQUESTS, 50_000), 61_000)?.latencyMs, 50);
});

test("LatencyWindow leaves the first reports of each service out where it is told to", (t) => {
  const windows = new LatencyAggregator(2);
  const latencies = [90_000, 50_000, 10_000].map(
    (p99Us, number) => windows.add(window(MIN_REPORT_REQUESTS, p99Us), number * 1000)?.latencyMs,
  );
  t.deepEqual(latencies, [undefined, undefined, 10]);
});
