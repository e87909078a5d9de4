/**
 * Keys of worker pools in the store. Accepted jobs and cancellations are written once, by any
 * entry; progress is written only by the scheduler of the pool.
 */
import { createHash } from "node:crypto";
import type { JobRecord } from "./records.ts";

/** Prefix of the keys that entries write for the schedulers: accepted jobs and cancellations. */
export const INTAKE_PREFIX = "intake/";
/** Prefix of the progress of jobs. */
export const PROGRESS_PREFIX = "progress/";
/** Prefix of the keys that name the schedulers of pools. */
export const SCHEDULER_PREFIX = "scheduler/";
/** Prefix of the agents' registrations. */
export const AGENT_PREFIX = "agents/";

/** Prefix of the ends of the leases of workers that schedulers cannot reach. */
export const LEASE_END_PREFIX = "lease-ends/";

/** Prefix of the interference between images that schedulers have estimated. */
export const INTERFERENCE_PREFIX = "pressure/";

/** Length of the digest of a queue in a key, in hexadecimal digits. */
const QUEUE_DIGEST_LENGTH = 16;
const QUEUE_DIGEST = new RegExp(`^[0-9a-f]{${QUEUE_DIGEST_LENGTH}}$`);

/** Components of a key of a job. */
export interface JobKey {
  readonly kind: "job" | "cancel" | "progress";
  readonly pool: string;
  readonly job: string;
  /**
   * Digest of the endpoint of the queue to whose job alone a cancellation applies, or of its name if
   * an entry of a former version wrote it; undefined for one that applies to the job that has the id.
   * Jobs of all queues share the ids.
   */
  readonly queueDigest?: string | undefined;
}

/**
 * Formats a key of a job.
 * @param key - Components of the key.
 */
export function formatJobKey({ kind, pool, job, queueDigest }: JobKey): string {
  if (kind === "progress") {
    return `${PROGRESS_PREFIX}${pool}/${job}`;
  }
  const id = queueDigest === undefined ? job : `${queueDigest}/${job}`;
  return `${INTAKE_PREFIX}${pool}/${kind}/${id}`;
}

/**
 * Gets the digest by which keys name a queue: an endpoint may be longer than a key.
 * @param queue - Endpoint or name of the queue.
 */
export function getQueueDigest(queue: string): string {
  return createHash("sha256").update(queue).digest("hex").slice(0, QUEUE_DIGEST_LENGTH);
}

/**
 * Gets the digests by which cancellations name the queue of a job: entries of a former version use its
 * name.
 * @param record - The job as it was accepted.
 */
export function getQueueDigests({ queue, endpoint }: JobRecord): readonly string[] {
  return [endpoint, queue].flatMap((name) => (name === undefined ? [] : getQueueDigest(name)));
}

/**
 * Parses a key of a job; returns undefined for any other key.
 * @param key - Key as stored.
 */
export function parseJobKey(key: string): JobKey | undefined {
  const segments = key.split("/");
  const job = segments.at(-1) ?? "";
  if (key.startsWith(PROGRESS_PREFIX)) {
    return { kind: "progress", pool: segments.slice(1, -1).join("/"), job };
  }
  const queueDigest = segments.at(-2) ?? "";
  if (segments.at(-3) === "cancel" && QUEUE_DIGEST.test(queueDigest)) {
    return { kind: "cancel", pool: segments.slice(1, -3).join("/"), job, queueDigest };
  }
  const kind = segments.at(-2);
  if (!key.startsWith(INTAKE_PREFIX) || (kind !== "job" && kind !== "cancel")) {
    return undefined;
  }
  return { kind, pool: segments.slice(1, -2).join("/"), job };
}

/**
 * Gets the key that names the scheduler of a pool.
 * @param pool - Name of the pool.
 */
export function getSchedulerKey(pool: string): string {
  return `${SCHEDULER_PREFIX}${pool}`;
}

/**
 * Gets the key of an agent's registration.
 * @param agent - Name of the agent.
 */
export function getAgentKey(agent: string): string {
  return `${AGENT_PREFIX}${agent}`;
}

/**
 * Gets the key of the ends of leases in a pool.
 * @param pool - Name of the pool.
 */
export function getLeaseEndKey(pool: string): string {
  return `${LEASE_END_PREFIX}${pool}`;
}

/**
 * Gets the key of the estimated interference between the images of a pool.
 * @param pool - Name of the pool.
 */
export function getInterferenceKey(pool: string): string {
  return `${INTERFERENCE_PREFIX}${pool}`;
}
