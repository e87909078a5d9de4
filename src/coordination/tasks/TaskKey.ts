/**
 * Identity of one attempt at a task.
 */

/** One attempt at a task. */
export interface TaskKey {
  readonly task: string;
  /** Number of the attempt; increases with each start of the task. */
  readonly attempt: number;
}

/**
 * Formats a key as text, for use in maps and logs.
 * @param key - The key.
 */
export function formatTaskKey(key: TaskKey): string {
  return `${key.task}#${key.attempt}`;
}
