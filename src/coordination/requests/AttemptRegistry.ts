/**
 * What one agent knows of the requests that it has seen: it refuses an attempt that it has seen or
 * has promised not to run, and settles whether an attempt has run. Records are kept for a retention
 * time after their end; an entry must not rely on an answer that is older than that.
 */
import type { Verdict } from "../../protocol/Verdict.ts";

/** Phase of an attempt at the agent. */
export type AttemptPhase = "queued" | "running" | "finished" | "refused" | "blocked";

/** How long an agent remembers an attempt after its end, in milliseconds. */
export const ATTEMPT_RETENTION_MS = 60_000;

/** Attempts that one incarnation of an agent has seen. */
export class AttemptRegistry {
  /** Attempts noted or ended since the last rotation. */
  private _current = new Map<string, AttemptPhase>();
  /** Attempts of the rotation before; those that have ended are dropped with the next one. */
  private _previous = new Map<string, AttemptPhase>();
  private readonly _retentionMs: number;
  private _rotatedAt = 0;

  /**
   * Creates an empty ledger.
   * @param retentionMs - How long an ended attempt is remembered, in milliseconds.
   */
  constructor(retentionMs: number = ATTEMPT_RETENTION_MS) {
    this._retentionMs = retentionMs;
  }

  /** Number of attempts remembered. */
  get size(): number {
    return this._current.size + this._previous.size;
  }

  /**
   * Gives the identity of an attempt.
   * @param request - Id of the request.
   * @param attempt - Number of the attempt.
   */
  static getKey(request: string, attempt: number): string {
    return `${request}#${attempt}`;
  }

  /**
   * Notes an attempt that arrives.
   * @param key - Identity of the attempt.
   * @param now - Monotonic time in milliseconds.
   * @returns False where the attempt was seen or blocked before and must not run.
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
   * Notes that an attempt goes to its backend server.
   * @param key - Identity of the attempt.
   */
  markRunning(key: string): void {
    this._current.set(key, "running");
  }

  /**
   * Notes that an attempt has ended at the backend server.
   * @param key - Identity of the attempt.
   * @param now - Monotonic time in milliseconds.
   */
  markFinished(key: string, now: number): void {
    this._recordEnd(key, "finished", now);
  }

  /**
   * Notes that an attempt was refused without having run.
   * @param key - Identity of the attempt.
   * @param now - Monotonic time in milliseconds.
   */
  markRefused(key: string, now: number): void {
    this._recordEnd(key, "refused", now);
  }

  /**
   * Notes that an attempt that does not run yet must never run.
   * @param key - Identity of the attempt.
   * @param now - Monotonic time in milliseconds.
   */
  block(key: string, now: number): void {
    this._recordEnd(key, "blocked", now);
  }

  /**
   * Gives the phase of an attempt.
   * @param key - Identity of the attempt.
   */
  getPhase(key: string): AttemptPhase | undefined {
    return this._current.get(key) ?? this._previous.get(key);
  }

  /**
   * Settles whether an attempt has run. An attempt that was never seen is blocked from then on, so
   * that a late arrival cannot make the answer untrue. The caller must first withdraw a queued
   * attempt from its queue; one that is still queued may run.
   * @param key - Identity of the attempt.
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

  /** Drops what ended before the last rotation; what is still open is carried over. */
  private _rotate(now: number): void {
    if (now - this._rotatedAt < this._retentionMs) {
      return;
    }
    const open = [...this._previous].filter(
      ([key, phase]) => (phase === "queued" || phase === "running") && !this._current.has(key),
    );
    this._previous = this._current;
    this._current = new Map(open);
    this._rotatedAt = now;
  }
}
