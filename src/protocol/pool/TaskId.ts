/**
 * Ids of the tasks of a job: job, occurrence, step and index within the step, joined by dots.
 */

/** Position of a task within its job. */
export interface TaskPosition {
  /** Occurrence of a scheduled job; 0 for others. */
  readonly occurrence: number;
  readonly step: number;
  readonly index: number;
}

/** Job and position of a task. */
export interface TaskAddress extends TaskPosition {
  readonly job: string;
}

const TASK_ID = /^([0-9a-f]{16})\.(\d+)\.(\d+)\.(\d+)$/;

/**
 * Formats the position of a task as text that is unique within its job.
 * @param position - The position.
 */
export function formatTaskPosition({ occurrence, step, index }: TaskPosition): string {
  return `${occurrence}.${step}.${index}`;
}

/**
 * Formats the id of a task.
 * @param address - The task.
 */
export function formatTaskId(address: TaskAddress): string {
  return `${address.job}.${formatTaskPosition(address)}`;
}

/**
 * Parses the id of a task; returns undefined for a text of another format.
 * @param text - The id.
 */
export function parseTaskId(text: string): TaskAddress | undefined {
  const [, job = "", occurrence, step, index] = TASK_ID.exec(text) ?? [];
  if (job === "") {
    return undefined;
  }
  return { job, occurrence: Number(occurrence), step: Number(step), index: Number(index) };
}
