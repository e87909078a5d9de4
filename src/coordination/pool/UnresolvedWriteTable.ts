/**
 * Keys of writes that were sent and may still take effect. Nobody may be told that such a key is
 * not stored and never will be.
 */
import type { Clock } from "../../protocol/platform/Clock.ts";

/**
 * Time after which a write without a response has taken effect or never will, in milliseconds. A
 * call that gets no response may be executed seconds later.
 */
const MAX_DELAY_MS = 60_000;

interface UnresolvedWrite {
  /** Number of attempts that may take effect. */
  readonly attempts: number;
  /** When the last attempt was sent, on the monotonic clock. */
  readonly sentAt: number;
}

/** Writes of one entry whose outcome is not known. */
export class UnresolvedWriteTable {
  private readonly _clock: Clock;
  /** By key, in the order of their last attempts. */
  private readonly _writes = new Map<string, UnresolvedWrite>();

  /**
   * Creates an empty table.
   * @param clock - Monotonic clock.
   */
  constructor(clock: Clock) {
    this._clock = clock;
  }

  /**
   * Records that a write is sent.
   * @param key - Key that is written.
   */
  add(key: string): void {
    this._removeOutdated();
    const attempts = (this._writes.get(key)?.attempts ?? 0) + 1;
    this._writes.delete(key);
    this._writes.set(key, { attempts, sentAt: this._clock.now() });
  }

  /**
   * Records that one attempt certainly had no effect.
   * @param key - Key that was to be written.
   */
  removeAttempt(key: string): void {
    const write = this._writes.get(key);
    if (write === undefined || write.attempts === 1) {
      this._writes.delete(key);
      return;
    }
    this._writes.set(key, { ...write, attempts: write.attempts - 1 });
  }

  /**
   * Records that a key is stored.
   * @param key - The key.
   */
  resolve(key: string): void {
    this._writes.delete(key);
  }

  /**
   * Returns whether a write of a key was sent and may still take effect.
   * @param key - The key.
   */
  has(key: string): boolean {
    this._removeOutdated();
    return this._writes.has(key);
  }

  /** Stops at the first recent key, so that a call takes constant time on average. */
  private _removeOutdated(): void {
    const sentBefore = this._clock.now() - MAX_DELAY_MS;
    for (const [key, { sentAt }] of this._writes) {
      if (sentAt > sentBefore) {
        return;
      }
      this._writes.delete(key);
    }
  }
}
