/**
 * Keys of worker pools in the store. Accepted jobs and cancellations are written once by any entry;
 * progress is written by the scheduler of the pool alone.
 */

/** Prefix of what entries write for the schedulers: accepted jobs and cancellations. */
export const INTAKE_PREFIX = "intake/";
/** Prefix of the progress of jobs. */
export const PROGRESS_PREFIX = "progress/";
/** Prefix of the keys that name the schedulers of pools. */
export const SCHEDULER_PREFIX = "scheduler/";
/** Prefix of the agents' registrations. */
export const AGENT_PREFIX = "agents/";

/** Prefix of what schedulers have learnt of the images of their pools. */
export const INTERFERENCE_PREFIX = "pressure/";

/** A key of a job. */
export interface JobKey {
  readonly kind: "job" | "cancel" | "progress";
  readonly pool: string;
  readonly job: string;
}

/**
 * Gives the key of something about a job.
 * @param key - What is meant.
 */
export function formatJobKey({ kind, pool, job }: JobKey): string {
  return kind === "progress"
    ? `${PROGRESS_PREFIX}${pool}/${job}`
    : `${INTAKE_PREFIX}${pool}/${kind}/${job}`;
}

/**
 * Reads the key of something about a job; another key gives undefined.
 * @param key - Key as the store has it.
 */
export function parseJobKey(key: string): JobKey | undefined {
  const parts = key.split("/");
  const job = parts.at(-1) ?? "";
  if (key.startsWith(PROGRESS_PREFIX)) {
    return { kind: "progress", pool: parts.slice(1, -1).join("/"), job };
  }
  const kind = parts.at(-2);
  if (!key.startsWith(INTAKE_PREFIX) || (kind !== "job" && kind !== "cancel")) {
    return undefined;
  }
  return { kind, pool: parts.slice(1, -2).join("/"), job };
}

/**
 * Gives the key that names the scheduler of a pool.
 * @param pool - Name of the pool.
 */
export function getSchedulerKey(pool: string): string {
  return `${SCHEDULER_PREFIX}${pool}`;
}

/**
 * Gives the key of an agent's registration.
 * @param agent - Name of the agent.
 */
export function getAgentKey(agent: string): string {
  return `${AGENT_PREFIX}${agent}`;
}

/**
 * Gives the key of what the schedulers of a pool have learnt of its images.
 * @param pool - Name of the pool.
 */
export function getInterferenceKey(pool: string): string {
  return `${INTERFERENCE_PREFIX}${pool}`;
}
