/**
 * Tests of the Prometheus text form.
 */
import test from "ava";
import { RequestHistograms } from "../../../src/state/metrics/RequestHistograms.ts";
import { PromMetrics } from "../../../src/transport/http/PromMetrics.ts";
import { SystemClock } from "../../../src/transport/platform/SystemClock.ts";

test("PromMetrics renders counters, gauges and quantiles with their labels", async (t) => {
  const histograms = new RequestHistograms(new SystemClock());
  const metrics = new PromMetrics(histograms);
  metrics.add("fireflylb_retries_total", { service: "rota" }, 2);
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
