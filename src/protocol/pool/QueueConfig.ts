/**
 * Queues that accept jobs and the pools of workers that run them, as configured.
 */

/** Configuration of a queue. */
export interface QueueConfig {
  readonly name: string;
  /** Host name in requests for the queue. */
  readonly host: string;
  /** Prefix of the paths that belong to the queue. */
  readonly pathPrefix: string;
  /** Pool of workers that runs the queue's jobs. */
  readonly pool: string;
  /** Jobs with a lower number are scheduled first; active runs are not preempted for them. */
  readonly priority: number;
  /** Number of failed runs of a task at which the job fails. */
  readonly maxAttempts: number;
  /** Factor of a job's time objective, applied to the estimated time of its critical path. */
  readonly stretch: number;
  /** Constant part of a job's time objective, in milliseconds. */
  readonly latencyTargetMs: number;
}

/** Configuration of a pool of workers. */
export interface PoolConfig {
  readonly name: string;
  /** Whether the workers refuse runs that do not fit into their free capacity. */
  readonly admissionControl: boolean;
}

/** Limits on requests. */
export interface RequestLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
}

/** One version of the configuration of queues and pools. */
export interface QueueDocument {
  /** Increases with every change. */
  readonly version: number;
  readonly queues: readonly QueueConfig[];
  readonly pools: readonly PoolConfig[];
  readonly limits: RequestLimits;
}

/**
 * Returns the endpoint of a queue, by which submitters name it: its name is the operator's, and may
 * change or pass to another queue while the endpoint stays.
 * @param queue - The queue.
 */
export function getEndpoint({ host, pathPrefix }: QueueConfig): string {
  return `${host} ${pathPrefix}`;
}

/** Finds queues by host and path. */
export class QueueTable {
  private readonly _byHost: ReadonlyMap<string, readonly QueueConfig[]>;

  /**
   * Creates a table.
   * @param queues - The queues.
   */
  constructor(queues: readonly QueueConfig[]) {
    const longestFirst = queues.toSorted((a, b) => b.pathPrefix.length - a.pathPrefix.length);
    this._byHost = Map.groupBy(longestFirst, (queue) => queue.host);
  }

  /**
   * Gets the queue with the longest prefix that matches a path.
   * @param host - Host named by the request, without a port.
   * @param path - Path of the request.
   */
  getQueue(host: string, path: string): QueueConfig | undefined {
    return this._byHost.get(host)?.find((queue) => path.startsWith(queue.pathPrefix));
  }
}
