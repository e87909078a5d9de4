/**
 * Identities of jobs, tasks and partitions. They follow from the tenant and the key of a
 * submission, so that a repeated submission finds the job that it made before.
 */
import { createHash } from "node:crypto";

const HASH_CHARACTERS = 24;
const PARTITION_HASH_BYTES = 4;

/**
 * Gives the id of the job that a submission makes.
 * @param tenant - Tenant that submits.
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
 * Gives the id of a task of a job.
 * @param job - Id of the job.
 * @param index - Number of the task in its job, from 0.
 */
export function getTaskId(job: string, index: number): string {
  return `${job}.${index}`;
}

/**
 * Gives the partition of a job or task; undefined where the text is no such id.
 * @param id - Id of a job or task.
 */
export function getPartition(id: string): number | undefined {
  const match = /^(\d{1,6})-[0-9a-f]{24}(\.\d{1,6})?$/.exec(id);
  return match?.[1] === undefined ? undefined : Number(match[1]);
}

/** The job and the number of a task. */
export interface ParsedTaskId {
  readonly job: string;
  readonly index: number;
}

/**
 * Gives the job and the number of a task; undefined where the text is no id of a task.
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
