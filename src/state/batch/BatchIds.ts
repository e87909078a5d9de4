/**
 * Ids of jobs, tasks and partitions. They are derived from the tenant and the key of a submission,
 * so that a repeated submission finds the job that it created before.
 */
import { createHash } from "node:crypto";

const HASH_CHARACTERS = 24;
const PARTITION_HASH_BYTES = 4;

/**
 * Gets the id of the job that a submission creates.
 * @param tenant - Tenant of the submission.
 * @param key - Key of the submission.
 * @param partitions - Number of partitions.
 */
export function getJobId(tenant: string, key: string, partitions: number): string {
  const digest = createHash("sha256")
    .update(JSON.stringify([tenant, key]))
    .digest();
  const partition = digest.readUInt32BE(digest.length - PARTITION_HASH_BYTES) % partitions;
  return `${partition}-${digest.toString("hex").slice(0, HASH_CHARACTERS)}`;
}

/**
 * Gets the id of a task of a job.
 * @param job - Id of the job.
 * @param index - Index of the task in its job, from 0.
 */
export function getTaskId(job: string, index: number): string {
  return `${job}.${index}`;
}

/**
 * Gets the partition of a job or task; undefined if the text is not a valid id.
 * @param id - Id of a job or task.
 */
export function getPartition(id: string): number | undefined {
  const match = /^(\d{1,6})-[0-9a-f]{24}(\.\d{1,6})?$/.exec(id);
  return match?.[1] === undefined ? undefined : Number(match[1]);
}

/** Job and index of a task, parsed from its id. */
export interface ParsedTaskId {
  readonly job: string;
  readonly index: number;
}

/**
 * Parses a task id; returns undefined if the text is not a valid task id.
 * @param task - Id of the task.
 */
export function parseBatchTaskId(task: string): ParsedTaskId | undefined {
  const dot = task.lastIndexOf(".");
  const index = Number(task.slice(dot + 1));
  if (dot < 0 || !Number.isInteger(index)) {
    return undefined;
  }
  return { job: task.slice(0, dot), index };
}
