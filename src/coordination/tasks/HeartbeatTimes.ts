/**
 * Send times of the agent's recent heartbeats, on its monotonic clock. A start order names the
 * heartbeat on which it was decided. It cannot have been sent before that heartbeat, so the agent
 * can bound its age without comparing clocks.
 */

const MAX_HEARTBEATS = 1_024;

/** Send times of the heartbeats of one incarnation of the agent. */
export class HeartbeatTimes {
  private readonly _sentAt = new Map<number, number>();
  private _lastSequence = 0;

  /**
   * Records the send time of a heartbeat. Must be called before the heartbeat is sent.
   * @param sequence - Sequence number of the heartbeat; increases with each one.
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

  /** Gets the sequence number of the last heartbeat. */
  getLastSequence(): number {
    return this._lastSequence;
  }

  /**
   * Gets the time at which a heartbeat was sent, in milliseconds; undefined if it was never sent or
   * is no longer recorded.
   * @param sequence - Sequence number of the heartbeat.
   */
  getSentAt(sequence: number): number | undefined {
    return this._sentAt.get(sequence);
  }
}
