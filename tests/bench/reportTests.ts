/**
 * Tests of the benchmark report.
 */
import test from "ava";
import { Report } from "../../bench/report/Report.ts";
import type { ResultLine } from "../../bench/ResultLine.ts";

function createLine(commit: string, name: string, value: number, percentile?: string): ResultLine {
  return {
    bench: "requests",
    title: "Requests <through> entries",
    name,
    value,
    unit: "ms",
    labels: percentile === undefined ? { picker: "p2c" } : { picker: "p2c", percentile },
    commit,
    seed: 1,
    scale: 1,
    machine: { processors: 1, processorModel: "m", memoryBytes: 1, platform: "p", node: "v24" },
    at: "2026-01-01T00:00:00.000Z",
  };
}

test("Report compares the measurements of two runs in one chart and table", async (t) => {
  const runs = ["aaa", "bbb"].map((commit, i) => [
    createLine(commit, "latency", 10 + i, "50"),
    createLine(commit, "latency", 90 + i, "99"),
    createLine(commit, "throughput", 1000 + i),
  ]);
  const html = await new Report(runs).toHtml();
  t.is(html.match(/<svg /g)?.length, 2);
  t.regex(html, /<td>picker=p2c 99<\/td><td>90<\/td><td>91<\/td>/);
  t.regex(html, /<td>picker=p2c<\/td><td>1000<\/td><td>1001<\/td>/);
  t.regex(html, /Requests &lt;through&gt; entries: latency \(ms\)/);
});

test("Report shows a measurement that only one run has", async (t) => {
  const html = await new Report([[createLine("aaa", "throughput", 5)], []]).toHtml();
  t.regex(html, /<td>picker=p2c<\/td><td>5<\/td><td><\/td>/);
});

test("Report groups many series into charts by all labels except the last", async (t) => {
  const measurements = ["a", "b", "c"].flatMap((service) =>
    ["1", "2", "3"].map((vms) => ({
      ...createLine("aaa", "throughput", 5),
      labels: { service, vms },
    })),
  );
  const html = await new Report([measurements]).toHtml();
  t.is(html.match(/<svg /g)?.length, 3);
  t.regex(html, /<h3>service=c<\/h3>/);
});
