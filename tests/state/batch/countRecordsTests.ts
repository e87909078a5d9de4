/**
 * Tests of the metrics of committed batch records.
 */
import test from "ava";
import { countRecords } from "../../../src/state/batch/countRecords.ts";
import { MemoryCounters } from "../../../src/state/metrics/MemoryCounters.ts";

test("countRecords counts starts, ends by outcome and cancelled jobs", (t) => {
  const counters = new MemoryCounters();
  const end = { type: "end", task: "1-a/0", attempt: 1, checkpoint: "", reason: "" } as const;
  countRecords(counters, [
    { type: "start", task: "1-a/0", attempt: 1, agent: "vm-1" },
    { ...end, outcome: "released" },
    { ...end, attempt: 2, outcome: "completed" },
    { type: "cancel", jobs: ["1-b", "1-c"] },
  ]);
  countRecords(counters, []);
  t.is(counters.get("fireflylb_log_commits_total"), 2);
  t.is(counters.get("fireflylb_log_records_total"), 4);
  t.is(counters.get("fireflylb_task_starts_total"), 1);
  t.is(counters.get("fireflylb_task_ends_total", { outcome: "released" }), 1);
  t.is(counters.get("fireflylb_task_ends_total", { outcome: "completed" }), 1);
  t.is(counters.get("fireflylb_jobs_total", { event: "cancelled" }), 2);
});
