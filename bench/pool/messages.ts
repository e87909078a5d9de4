/**
 * Messages of the processes of the pool benchmark.
 */

/** First start of a task of a job. */
export interface FirstStart {
  readonly job: string;
  /** Time of day in Unix milliseconds. */
  readonly startedAtMs: number;
}
