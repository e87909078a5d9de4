/**
 * Tests of the request latency histograms.
 */
import test from "ava";
import { Clock, type Timer } from "../../../src/protocol/platform/Clock.ts";
import { RequestHistograms } from "../../../src/state/metrics/RequestHistograms.ts";

class ManualClock extends Clock {
  time = 0;

  override now(): number {
    return this.time;
  }

  override after(): Timer {
    throw new Error("ManualClock does not implement timers.");
  }
}

const SERIES_KEY = { tenant: "a", requestClass: "urgent", service: "rota" };

test("RequestHistograms computes percentiles for each tenant, class and service", (t) => {
  const histograms = new RequestHistograms(new ManualClock());
  Array.from({ length: 100 }, (_, i) => i + 1).forEach((ms) => {
    histograms.record(SERIES_KEY, ms);
  });
  histograms.record({ ...SERIES_KEY, tenant: "b" }, 500);
  const [a, b] = histograms.getSummaries();
  t.is(a?.count, 100);
  t.is(a?.sumMs, 5050);
  t.true(Math.abs((a?.percentilesMs.get(50) ?? 0) - 50) <= 0.5);
  t.true(Math.abs((a?.percentilesMs.get(99) ?? 0) - 99) <= 1);
  t.is(b?.tenant, "b");
});

test("RequestHistograms limits the number of series and records the rest as other", (t) => {
  const histograms = new RequestHistograms(new ManualClock(), { maxSeries: 2 });
  ["a", "b", "c", "d", "a"].forEach((tenant) => {
    histograms.record({ ...SERIES_KEY, tenant }, 1);
  });
  const counts = histograms.getSummaries().map(({ tenant, count }) => [tenant, count]);
  t.deepEqual(counts, [
    ["a", 2],
    ["b", 1],
    ["other", 2],
  ]);
});

test("RequestHistograms discards latencies after two windows and drops idle series", (t) => {
  const clock = new ManualClock();
  const histograms = new RequestHistograms(clock, { windowMs: 10 });
  histograms.record(SERIES_KEY, 1000);
  clock.time = 10;
  histograms.record(SERIES_KEY, 1);
  t.true((histograms.getSummaries()[0]?.percentilesMs.get(99) ?? 0) > 900);
  clock.time = 20;
  const [series] = histograms.getSummaries();
  t.is(series?.count, 2);
  t.true((series?.percentilesMs.get(99) ?? 0) < 2);
  clock.time = 95;
  t.deepEqual(histograms.getSummaries(), []);
});
