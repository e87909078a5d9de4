/**
 * Registry of the request attempts that one agent has seen. It detects duplicates, blocks attempts
 * that the agent has reported as not run, and settles whether an attempt has run. Ended attempts
 * are retained for a limited time; an entry must not rely on a verdict on an attempt that ended
 * before that.
 */
import type { Verdict } from "../../protocol/Verdict.ts";

/** Phase of an attempt at the agent. */
export type AttemptPhase = "queued" | "running" | "finished" | "refused" | "blocked";

/** Time for which an agent retains an attempt after its end, in milliseconds. */
export const ATTEMPT_RETENTION_MS = 60_000;

/**
 * Attempts seen by one incarnation of an agent, in two generations that rotate once per retention
 * time.
 */
export class AttemptRegistry {
  /** Attempts registered or ended since the last rotation. */
  private _current = new Map<string, AttemptPhase>();
  /**
   * Attempts of the previous generation. Those that have ended are dropped on the next rotation.
   */
  private _previous = new Map<string, AttemptPhase>();
  private readonly _retentionMs: number;
  private _rotatedAt = 0;

  /**
   * Creates an empty registry.
   * @param retentionMs - Time for which an ended attempt is retained, in milliseconds.
   */
  constructor(retentionMs: number = ATTEMPT_RETENTION_MS) {
    this._retentionMs = retentionMs;
  }

  /** Number of attempts in the registry. */
  get size(): number {
    return this._current.size + this._previous.size;
  }

  /**
   * Returns the key of an attempt.
   * @param request - Id of the request.
   * @param attempt - Number of the attempt.
   */
  static getKey(request: string, attempt: number): string {
    return `${request}#${attempt}`;
  }

  /**
   * Registers an attempt as queued.
   * @param key - Key of the attempt.
   * @param now - Monotonic time in milliseconds.
   * @returns False if the attempt is a duplicate or blocked and must not run.
   */
  register(key: string, now: number): boolean {
    this._rotate(now);
    if (this.getPhase(key) !== undefined) {
      return false;
    }
    this._current.set(key, "queued");
    return true;
  }

  /**
   * Marks an attempt as sent to its backend server.
   * @param key - Key of the attempt.
   */
  markRunning(key: string): void {
    this._current.set(key, "running");
  }

  /**
   * Marks an attempt as ended at the backend server.
   * @param key - Key of the attempt.
   * @param now - Monotonic time in milliseconds.
   */
  markFinished(key: string, now: number): void {
    this._recordEnd(key, "finished", now);
  }

  /**
   * Marks an attempt as refused without having run.
   * @param key - Key of the attempt.
   * @param now - Monotonic time in milliseconds.
   */
  markRefused(key: string, now: number): void {
    this._recordEnd(key, "refused", now);
  }

  /**
   * Blocks an attempt that is not running yet, so that it can never run.
   * @param key - Key of the attempt.
   * @param now - Monotonic time in milliseconds.
   */
  block(key: string, now: number): void {
    this._recordEnd(key, "blocked", now);
  }

  /**
   * Gets the phase of an attempt; undefined if it is unknown.
   * @param key - Key of the attempt.
   */
  getPhase(key: string): AttemptPhase | undefined {
    return this._current.get(key) ?? this._previous.get(key);
  }

  /**
   * Determines whether an attempt has run. An unknown attempt is blocked, so that a late arrival
   * cannot invalidate the verdict. The caller must first remove a queued attempt from its queue:
   * one that is still queued may yet run.
   * @param key - Key of the attempt.
   * @param now - Monotonic time in milliseconds.
   */
  settle(key: string, now: number): Verdict {
    this._rotate(now);
    const phase = this.getPhase(key);
    if (phase === undefined) {
      this._current.set(key, "blocked");
      return "not-run";
    }
    if (phase === "refused" || phase === "blocked") {
      return "not-run";
    }
    return phase === "finished" ? "ran" : "may-have-run";
  }

  private _recordEnd(key: string, phase: AttemptPhase, now: number): void {
    this._rotate(now);
    this._current.set(key, phase);
  }

  /** Drops attempts that ended before the last rotation and carries open ones over. */
  private _rotate(now: number): void {
    if (now - this._rotatedAt < this._retentionMs) {
      return;
    }
    const openAttempts = [...this._previous].filter(
      ([key, phase]) => (phase === "queued" || phase === "running") && !this._current.has(key),
    );
    this._previous = this._current;
    this._current = new Map(openAttempts);
    this._rotatedAt = now;
  }
}
