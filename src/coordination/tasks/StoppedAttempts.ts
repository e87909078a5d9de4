/**
 * Memory of attempts that ended, were stopped or were refused, so that a delayed start cannot run
 * one of them. The memory is bounded: when an attempt is dropped from it, all starts decided on a
 * heartbeat that is no newer than the drop's are refused, and with them every delayed start of the
 * dropped attempt.
 */
import type { TaskKey } from "./TaskKey.ts";

const DEFAULT_MAX_ATTEMPTS = 8_192;

interface StoppedAttempt {
  readonly attempt: number;
  /** Number of the last heartbeat sent when the attempt was remembered. */
  readonly sequence: number;
}

/** Attempts that must not start. */
export class StoppedAttempts {
  private readonly _attempts = new Map<string, StoppedAttempt>();
  private readonly _maxAttempts: number;
  private _droppedUpToSequence = 0;

  /**
   * Creates an empty memory.
   * @param maxAttempts - Most attempts remembered.
   */
  constructor(maxAttempts: number = DEFAULT_MAX_ATTEMPTS) {
    this._maxAttempts = maxAttempts;
  }

  /**
   * Remembers an attempt and with it all earlier ones of the task.
   * @param key - The attempt.
   * @param sequence - Number of the last heartbeat sent so far.
   */
  add(key: TaskKey, sequence: number): void {
    const attempt = Math.max(key.attempt, this._attempts.get(key.task)?.attempt ?? 0);
    this._attempts.delete(key.task);
    this._attempts.set(key.task, { attempt, sequence });
    this._dropOldest();
  }

  /**
   * Tells whether an attempt is known to be stopped.
   * @param key - The attempt.
   */
  has(key: TaskKey): boolean {
    return (this._attempts.get(key.task)?.attempt ?? 0) >= key.attempt;
  }

  /**
   * Tells whether a start is so old that a stop of its attempt may have been forgotten.
   * @param sequence - Number of the heartbeat on which the start was decided.
   */
  mayHaveDropped(sequence: number): boolean {
    return sequence <= this._droppedUpToSequence;
  }

  private _dropOldest(): void {
    const [oldest] = this._attempts;
    if (oldest === undefined || this._attempts.size <= this._maxAttempts) {
      return;
    }
    const [task, { sequence }] = oldest;
    this._attempts.delete(task);
    this._droppedUpToSequence = Math.max(this._droppedUpToSequence, sequence);
  }
}
