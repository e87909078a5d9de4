/**
 * Counts committed batch records for the metrics.
 */
import type { Counters } from "../metrics/Counters.ts";
import type { BatchRecord } from "./BatchRecord.ts";

/**
 * Counts committed records.
 * @param counters - Counters to increment.
 * @param records - The records.
 */
export function countRecords(counters: Counters, records: readonly BatchRecord[]): void {
  counters.increment("fireflylb_log_commits_total");
  counters.add("fireflylb_log_records_total", records.length);
  records.forEach((record) => {
    countRecord(counters, record);
  });
}

function countRecord(counters: Counters, record: BatchRecord): void {
  switch (record.type) {
    case "submit":
      counters.increment("fireflylb_jobs_total", { event: "submitted" });
      break;
    case "cancel":
      counters.add("fireflylb_jobs_total", record.jobs.length, { event: "cancelled" });
      break;
    case "start":
      counters.increment("fireflylb_task_starts_total");
      break;
    case "end":
      counters.increment("fireflylb_task_ends_total", { outcome: record.outcome });
      break;
    default:
  }
}
