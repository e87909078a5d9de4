/**
 * Bounded set of attempts that ended, were stopped or were refused, so that a delayed start order
 * cannot run one of them. Once an attempt has been dropped from the set, every start order that was
 * decided on a heartbeat sent before the attempt was added is refused. This covers all delayed
 * orders for the dropped attempt.
 */
import type { TaskKey } from "./TaskKey.ts";

const DEFAULT_MAX_ATTEMPTS = 8_192;

interface StoppedAttempt {
  readonly attempt: number;
  /** Sequence number of the last heartbeat sent when the attempt was added. */
  readonly sequence: number;
}

/** Set of attempts that must not start. */
export class StoppedAttempts {
  private readonly _attempts = new Map<string, StoppedAttempt>();
  private readonly _maxAttempts: number;
  private _droppedUpToSequence = 0;

  /**
   * Creates an empty set.
   * @param maxAttempts - Maximum number of attempts in the set.
   */
  constructor(maxAttempts: number = DEFAULT_MAX_ATTEMPTS) {
    this._maxAttempts = maxAttempts;
  }

  /**
   * Adds an attempt and with it all earlier attempts of the task.
   * @param key - The attempt.
   * @param sequence - Sequence number of the last heartbeat sent so far.
   */
  add(key: TaskKey, sequence: number): void {
    const attempt = Math.max(key.attempt, this._attempts.get(key.task)?.attempt ?? 0);
    this._attempts.delete(key.task);
    this._attempts.set(key.task, { attempt, sequence });
    this._dropOldest();
  }

  /**
   * Returns whether an attempt is in the set.
   * @param key - The attempt.
   */
  has(key: TaskKey): boolean {
    return (this._attempts.get(key.task)?.attempt ?? 0) >= key.attempt;
  }

  /**
   * Returns whether a start order is so old that its attempt may have been dropped from the set.
   * @param sequence - Sequence number of the heartbeat on which the start was decided.
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
