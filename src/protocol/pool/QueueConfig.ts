/**
 * Queues that take jobs and the pools of workers that run them, as the configuration in force
 * names them.
 */

/** A queue. */
export interface QueueConfig {
  readonly name: string;
  /** Host that requests for the queue name. */
  readonly host: string;
  /** Prefix of the paths that belong to the queue. */
  readonly pathPrefix: string;
  /** Pool of workers that runs the queue's jobs. */
  readonly pool: string;
  /** Lower numbers go first and may preempt higher ones. */
  readonly priority: number;
  /** Runs of a task that may fail before the job fails. */
  readonly maxAttempts: number;
  /** Factor of the time objective on the longest chain of work of a job. */
  readonly stretch: number;
  /** Constant part of the time objective, in milliseconds. */
  readonly latencyTargetMs: number;
}

/** A pool of workers. */
export interface PoolConfig {
  readonly name: string;
  /** Whether the workers refuse what does not fit. */
  readonly admissionControl: boolean;
}

/** Limits on requests. */
export interface RequestLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
}

/** Queues and pools at one version. */
export interface QueueDocument {
  /** Rises with every change. */
  readonly version: number;
  readonly queues: readonly QueueConfig[];
  readonly pools: readonly PoolConfig[];
  readonly limits: RequestLimits;
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
   * Gives the queue with the longest prefix of a path.
   * @param host - Host that the request names, without a port.
   * @param path - Path of the request.
   */
  getQueue(host: string, path: string): QueueConfig | undefined {
    return this._byHost.get(host)?.find((queue) => path.startsWith(queue.pathPrefix));
  }
}
