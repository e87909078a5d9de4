/**
 * Ids of the tasks of a job, occurrence, step and position in the step, joined by dots.
 */

/** Where a task stands in its job. */
export interface TaskPosition {
  /** Occurrence of a scheduled job; 0 for others. */
  readonly occurrence: number;
  readonly step: number;
  readonly index: number;
}

/** A task of a job. */
export interface TaskAddress extends TaskPosition {
  readonly job: string;
}

const TASK_ID = /^([0-9a-f]{16})\.(\d+)\.(\d+)\.(\d+)$/;

/**
 * Gives the place of a task as text, unique within its job.
 * @param place - The place.
 */
export function formatTaskPosition({ occurrence, step, index }: TaskPosition): string {
  return `${occurrence}.${step}.${index}`;
}

/**
 * Gives the id of a task.
 * @param address - The task.
 */
export function formatTaskId(address: TaskAddress): string {
  return `${address.job}.${formatTaskPosition(address)}`;
}

/**
 * Reads the id of a task; a text of another form gives undefined.
 * @param text - The id.
 */
export function parseTaskId(text: string): TaskAddress | undefined {
  const [, job = "", occurrence, step, index] = TASK_ID.exec(text) ?? [];
  if (job === "") {
    return undefined;
  }
  return { job, occurrence: Number(occurrence), step: Number(step), index: Number(index) };
}
