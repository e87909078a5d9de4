/**
 * All counters and gauges of the system: their Prometheus names, labels and descriptions for
 * operators.
 */

/** Kind, labels and description of a metric. */
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
    "Requests by outcome; the code is the refusal code, or the result if not refused.",
  ),
  fireflylb_requests_refused_total: counter(
    ["code"],
    "Requests refused before they were routed, by code.",
  ),
  fireflylb_requests_in_flight: gauge([], "Requests in flight."),
  fireflylb_retries_total: counter(["service"], "Attempts after the first."),
  fireflylb_servers: gauge(["service"], "Backend servers known."),
  fireflylb_servers_ejected: gauge(
    ["service"],
    "Backend servers that are temporarily ejected and get no requests.",
  ),
  fireflylb_vms: gauge([], "VMs known."),
  fireflylb_api_requests_total: counter(
    ["method", "path", "status"],
    "Requests of the operator API, including changes and jobs.",
  ),
  fireflylb_store_calls_total: counter(
    ["operation", "outcome"],
    "Calls of the platform's store; the outcome is done or the kind of failure.",
  ),
  fireflylb_config_revision: gauge([], "Revision of the configuration in force here."),
  fireflylb_partitions_owned: gauge([], "Partitions owned here."),
  fireflylb_tasks: gauge(
    ["state"],
    "Tasks by state: at an entry those of the partitions owned here, at an agent those on its VM.",
  ),
  fireflylb_log_commits_total: counter([], "Commits to the logs of the partitions owned here."),
  fireflylb_log_records_total: counter(
    [],
    "Records in the commits to the logs of the partitions owned here.",
  ),
  fireflylb_jobs_total: counter(["event"], "Jobs submitted and cancelled."),
  fireflylb_task_starts_total: counter([], "Task starts committed to the log."),
  fireflylb_task_ends_total: counter(
    ["outcome"],
    "Ends of task attempts: completed, failed, or released by eviction, loss or cancellation.",
  ),
  fireflylb_committed_processors_milli: gauge([], "Processors committed on the VM."),
  fireflylb_committed_memory_bytes: gauge([], "Memory committed on the VM."),
  fireflylb_committed_accelerators: gauge([], "Accelerators committed on the VM."),
} as const satisfies Readonly<Record<string, MetricDefinition>>;

export type MetricName = keyof typeof METRICS;

/** Label values of a metric. */
export type MetricLabels<N extends MetricName = MetricName> = Readonly<
  Record<(typeof METRICS)[N]["labels"][number], string>
>;

/** Rest arguments with the label values of a metric; none where it has no labels. */
export type LabelArguments<N extends MetricName> = (typeof METRICS)[N]["labels"] extends readonly []
  ? readonly []
  : readonly [labels: MetricLabels<N>];

/** Gets the definition of a metric. */
export function getMetricDefinition(name: MetricName): MetricDefinition {
  return METRICS[name];
}
