/**
 * When the agent sent its last heartbeats, on its own monotonic clock. A start names the heartbeat
 * on which it was decided, so that the agent can date the start without comparing clocks: it was
 * sent no earlier than that heartbeat.
 */

const MAX_HEARTBEATS = 1_024;

/** Times of the heartbeats of one incarnation. */
export class HeartbeatTimes {
  private readonly _sentAt = new Map<number, number>();
  private _lastSequence = 0;

  /**
   * Notes a heartbeat; to be called before it is sent.
   * @param sequence - Its number; rises with every heartbeat.
   * @param now - Monotonic time in milliseconds.
   */
  record(sequence: number, now: number): void {
    this._sentAt.set(sequence, now);
    this._lastSequence = Math.max(this._lastSequence, sequence);
    const [oldest] = this._sentAt.keys();
    if (oldest !== undefined && this._sentAt.size > MAX_HEARTBEATS) {
      this._sentAt.delete(oldest);
    }
  }

  /** Gives the number of the last heartbeat. */
  getLastSequence(): number {
    return this._lastSequence;
  }

  /**
   * Gives when a heartbeat was sent, in milliseconds; undefined for one that was never sent or is
   * no longer remembered.
   * @param sequence - Number of the heartbeat.
   */
  getSentAt(sequence: number): number | undefined {
    return this._sentAt.get(sequence);
  }
}
