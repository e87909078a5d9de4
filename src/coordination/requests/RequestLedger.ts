/**
 * What one agent knows of the requests that it has seen: it refuses an attempt that it has seen or
 * has promised not to run, and settles whether an attempt has run. Records are kept for a retention
 * time after their end; an entry must not rely on an answer that is older than that.
 */
import type { Verdict } from "../../protocol/Verdict.ts";

/** Phase of an attempt at the agent. */
export type LedgerPhase = "queued" | "running" | "finished" | "refused" | "blocked";

interface LedgerRecord {
  phase: LedgerPhase;
  /** When the record may be dropped; undefined while the attempt is queued or running. */
  dropAt: number | undefined;
}

/** How long an agent remembers an attempt after its end, in milliseconds. */
export const LEDGER_RETENTION_MS = 60_000;

/** Attempts that one incarnation of an agent has seen. */
export class RequestLedger {
  private readonly _records = new Map<string, LedgerRecord>();
  private readonly _retentionMs: number;

  /**
   * Creates an empty ledger.
   * @param retentionMs - How long an ended attempt is remembered, in milliseconds.
   */
  constructor(retentionMs: number = LEDGER_RETENTION_MS) {
    this._retentionMs = retentionMs;
  }

  /** Number of attempts remembered. */
  get size(): number {
    return this._records.size;
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
  open(key: string, now: number): boolean {
    this._dropOld(now);
    if (this._records.has(key)) {
      return false;
    }
    this._records.set(key, { phase: "queued", dropAt: undefined });
    return true;
  }

  /**
   * Notes that an attempt goes to its backend server.
   * @param key - Identity of the attempt.
   */
  markRunning(key: string): void {
    const record = this._records.get(key);
    if (record !== undefined) {
      record.phase = "running";
    }
  }

  /**
   * Notes that an attempt has ended at the backend server.
   * @param key - Identity of the attempt.
   * @param now - Monotonic time in milliseconds.
   */
  markFinished(key: string, now: number): void {
    this._end(key, "finished", now);
  }

  /**
   * Notes that an attempt was refused without having run.
   * @param key - Identity of the attempt.
   * @param now - Monotonic time in milliseconds.
   */
  markRefused(key: string, now: number): void {
    this._end(key, "refused", now);
  }

  /**
   * Notes that an attempt that does not run yet must never run.
   * @param key - Identity of the attempt.
   * @param now - Monotonic time in milliseconds.
   */
  block(key: string, now: number): void {
    this._end(key, "blocked", now);
  }

  /**
   * Gives the phase of an attempt.
   * @param key - Identity of the attempt.
   */
  getPhase(key: string): LedgerPhase | undefined {
    return this._records.get(key)?.phase;
  }

  /**
   * Settles whether an attempt has run. An attempt that was never seen is blocked from then on, so
   * that a late arrival cannot make the answer untrue. The caller must first withdraw a queued
   * attempt from its queue; one that is still queued may run.
   * @param key - Identity of the attempt.
   * @param now - Monotonic time in milliseconds.
   */
  settle(key: string, now: number): Verdict {
    this._dropOld(now);
    const record = this._records.get(key);
    if (record === undefined) {
      this._records.set(key, { phase: "blocked", dropAt: now + this._retentionMs });
      return "not-run";
    }
    if (record.phase === "refused" || record.phase === "blocked") {
      return "not-run";
    }
    return record.phase === "finished" ? "ran" : "may-have-run";
  }

  private _end(key: string, phase: LedgerPhase, now: number): void {
    // Re-inserting keeps the map in order of ending, which lets _dropOld stop at the first survivor.
    this._records.delete(key);
    this._records.set(key, { phase, dropAt: now + this._retentionMs });
  }

  private _dropOld(now: number): void {
    for (const [key, record] of this._records) {
      if (record.dropAt === undefined) {
        continue;
      }
      if (record.dropAt > now) {
        return;
      }
      this._records.delete(key);
    }
  }
}
