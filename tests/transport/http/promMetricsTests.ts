/**
 * Tests of metrics in the Prometheus text format.
 */
import test from "ava";
import { RequestHistograms } from "../../../src/state/metrics/RequestHistograms.ts";
import { PromMetrics } from "../../../src/transport/http/PromMetrics.ts";
import { SystemClock } from "../../../src/transport/platform/SystemClock.ts";

test("PromMetrics renders counters, gauges and quantiles with their labels", async (t) => {
  const histograms = new RequestHistograms(new SystemClock());
  const metrics = new PromMetrics(histograms);
  metrics.add("fireflylb_retries_total", 2, { service: "rota" });
  metrics.set("fireflylb_config_revision", 7);
  histograms.record({ tenant: "a", requestClass: "urgent", service: "rota" }, 100);
  await metrics.render();
  const text = await metrics.render();
  t.regex(text, /fireflylb_retries_total\{service="rota"\} 2\n/);
  t.regex(text, /fireflylb_config_revision 7\n/);
  const series = 'tenant="a",class="urgent",service="rota"';
  t.regex(text, new RegExp(`latency_seconds{${series},quantile="0\\.99"} 0\\.1`));
  t.regex(text, new RegExp(`latency_requests_total{${series}} 1\n`));
  t.regex(text, /process_resident_memory_bytes \d+/);
});

test("PromMetrics limits the series of a metric and records the rest as other", async (t) => {
  const metrics = new PromMetrics(new RequestHistograms(new SystemClock()), 2);
  ["a", "b", "c", "d", "a"].forEach((service) => {
    metrics.increment("fireflylb_retries_total", { service });
  });
  const text = await metrics.render();
  t.regex(text, /retries_total\{service="a"\} 2\n.*service="b"\} 1\n.*service="other"\} 2\n/);
  t.notRegex(text, /service="[cd]"/);
});
