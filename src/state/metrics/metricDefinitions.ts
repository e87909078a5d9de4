/**
 * All counters and gauges of the system: their names in the Prometheus text form, their labels and
 * what they mean to an operator.
 */

/** What one metric states. */
export interface MetricDefinition<L extends readonly string[] = readonly string[]> {
  readonly kind: "counter" | "gauge";
  readonly labels: L;
  readonly help: string;
}

function counter<const L extends readonly string[]>(labels: L, help: string): MetricDefinition<L> {
  return { kind: "counter", labels, help };
}

function gauge<const L extends readonly string[]>(labels: L, help: string): MetricDefinition<L> {
  return { kind: "gauge", labels, help };
}

/** Definitions by name. */
export const METRICS = {
  fireflylb_requests_total: counter(
    ["service", "verdict", "code"],
    "Requests by outcome; the code is that of the refusal, or what else became of the request.",
  ),
  fireflylb_requests_refused_total: counter(
    ["code"],
    "Requests refused before they were routed, by code.",
  ),
  fireflylb_requests_in_flight: gauge([], "Requests in flight."),
  fireflylb_requests_queued: gauge(["service"], "Requests that wait for a slot."),
  fireflylb_retries_total: counter(["service"], "Attempts after the first."),
  fireflylb_servers: gauge(["service"], "Backend servers known."),
  fireflylb_servers_ejected: gauge(["service"], "Backend servers that get no requests for now."),
  fireflylb_vms: gauge([], "VMs known."),
  fireflylb_store_calls_total: counter(["operation", "outcome"], "Calls of the platform's store."),
  fireflylb_config_revision: gauge([], "Revision of the configuration in force here."),
  fireflylb_config_changes_total: counter(["outcome"], "Changes asked for by operators."),
  fireflylb_partitions_owned: gauge([], "Partitions owned here."),
  fireflylb_log_commits_total: counter(["outcome"], "Commits to the logs of partitions."),
  fireflylb_log_records_total: counter([], "Records committed to the logs of partitions."),
  fireflylb_jobs_total: counter(["outcome"], "Jobs by outcome: submitted, completed, failed."),
  fireflylb_tasks: gauge(["state"], "Tasks of the partitions owned here, by state."),
  fireflylb_task_starts_total: counter(["outcome"], "Starts of tasks by outcome."),
  fireflylb_evictions_total: counter(["reason"], "Evictions of tasks by reason."),
  fireflylb_heartbeats_total: counter(["outcome"], "Heartbeats sent."),
} as const satisfies Readonly<Record<string, MetricDefinition>>;

export type MetricName = keyof typeof METRICS;

/** Values of all labels of a metric. */
export type MetricLabels<N extends MetricName = MetricName> = Readonly<
  Record<(typeof METRICS)[N]["labels"][number], string>
>;

/** Arguments that give the labels of a metric; none where it has no labels. */
export type LabelArguments<N extends MetricName> = (typeof METRICS)[N]["labels"] extends readonly []
  ? readonly []
  : readonly [labels: MetricLabels<N>];

/** Gives the definition of a metric. */
export function getMetricDefinition(name: MetricName): MetricDefinition {
  return METRICS[name];
}
