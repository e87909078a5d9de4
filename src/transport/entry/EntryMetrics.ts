/**
 * Metrics of an entry: counters are updated as events happen, gauges when the metrics are rendered.
 */
import type { PartitionOwner } from "../../coordination/batch/PartitionOwner.ts";
import type { ServerTable } from "../../coordination/requests/ServerTable.ts";
import type { Clock } from "../../protocol/platform/Clock.ts";
import type { RefusalCode } from "../../protocol/Refusal.ts";
import type { BatchRecord } from "../../state/batch/BatchRecord.ts";
import { countRecords } from "../../state/batch/countRecords.ts";
import type { TaskPhase } from "../../state/batch/BatchJob.ts";
import type { FleetView } from "../../state/FleetView.ts";
import type { Counters } from "../../state/metrics/Counters.ts";
import { RequestHistograms } from "../../state/metrics/RequestHistograms.ts";
import type { RequestTrace } from "../../state/RequestTraces.ts";
import { PromMetrics } from "../http/PromMetrics.ts";

const TASK_PHASES: readonly TaskPhase[] = ["waiting", "held", "completed", "failed", "cancelled"];

/** Sources of the values of the gauges. */
export interface EntryGaugeSources {
  readonly clock: Clock;
  readonly fleet: FleetView;
  readonly table: ServerTable;
  readonly getInFlight: () => number;
  readonly getConfigRevision: () => number;
  readonly getOwnedPartitions: () => readonly PartitionOwner[];
}

/** Metrics of one entry. */
export class EntryMetrics {
  private readonly _histograms: RequestHistograms;
  private readonly _metrics: PromMetrics;

  /**
   * Creates the metrics.
   * @param clock - Clock for the time windows of the histograms.
   */
  constructor(clock: Clock) {
    this._histograms = new RequestHistograms(clock);
    this._metrics = new PromMetrics(this._histograms);
  }

  /** Counters of the entry. */
  get counters(): Counters {
    return this._metrics;
  }

  /**
   * Records a request that has ended.
   * @param trace - Trace of the request.
   */
  recordRequest(trace: RequestTrace): void {
    const { tenant, requestClass, service, verdict, outcome } = trace;
    this._histograms.record({ tenant, requestClass, service }, trace.latencyMs);
    this._metrics.increment("fireflylb_requests_total", { service, verdict, code: outcome });
    if (trace.attempts.length > 1) {
      this._metrics.add("fireflylb_retries_total", trace.attempts.length - 1, { service });
    }
  }

  /**
   * Records a request that was refused before it was routed.
   * @param code - Code of the refusal.
   */
  recordRefusal(code: RefusalCode): void {
    this._metrics.increment("fireflylb_requests_refused_total", { code });
  }

  /**
   * Records a response of the operators' HTTP interface.
   * @param method - Method of the request.
   * @param path - Path of the route.
   * @param status - HTTP status of the response.
   */
  recordReply(method: string, path: string, status: number): void {
    const labels = { method, path, status: String(status) };
    this._metrics.increment("fireflylb_api_requests_total", labels);
  }

  /**
   * Counts committed records of batch work.
   * @param records - The records.
   */
  recordCommitted(records: readonly BatchRecord[]): void {
    countRecords(this._metrics, records);
  }

  /**
   * Renders all metrics in the Prometheus text format.
   * @param sources - Sources of the values of the gauges.
   */
  async render(sources: EntryGaugeSources): Promise<string> {
    this._metrics.set("fireflylb_requests_in_flight", sources.getInFlight());
    this._metrics.set("fireflylb_vms", sources.fleet.getVms().length);
    this._metrics.set("fireflylb_config_revision", sources.getConfigRevision());
    this._setServerGauges(sources);
    this._setTaskGauges(sources.getOwnedPartitions());
    return this._metrics.render();
  }

  private _setServerGauges({ clock, table }: EntryGaugeSources): void {
    table.getServices().forEach((service) => {
      const servers = table.getServers(service);
      const ejected = servers.filter((server) => !server.ejector.isAvailable(clock.now()));
      this._metrics.set("fireflylb_servers", servers.length, { service });
      this._metrics.set("fireflylb_servers_ejected", ejected.length, { service });
    });
  }

  private _setTaskGauges(owned: readonly PartitionOwner[]): void {
    this._metrics.set("fireflylb_partitions_owned", owned.length);
    const counts = new Map(TASK_PHASES.map((state) => [state, 0]));
    owned
      .flatMap((owner) => owner.ledger.getJobs())
      .forEach((job) => {
        job.tasks.forEach(({ phase }) => {
          counts.set(phase, (counts.get(phase) ?? 0) + 1);
        });
      });
    counts.forEach((count, state) => {
      this._metrics.set("fireflylb_tasks", count, { state });
    });
  }
}
