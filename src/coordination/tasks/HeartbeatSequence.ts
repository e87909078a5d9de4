/**
 * Numbers of an agent's heartbeats. Each number is the agent's own monotonic time in microseconds,
 * so that a start that names the heartbeat on which it was decided can be dated by the agent
 * without comparing clocks: it was sent no earlier than that heartbeat.
 */

const MICROSECONDS_PER_MS = 1_000;

/** Issues heartbeat numbers of one incarnation. */
export class HeartbeatSequence {
  private _last = 0;

  /**
   * Issues the number of the next heartbeat; to be called before it is sent.
   * @param now - Monotonic time in milliseconds.
   */
  next(now: number): number {
    this._last = Math.max(this._last + 1, Math.floor(now * MICROSECONDS_PER_MS));
    return this._last;
  }

  /** Gives the last number issued. */
  getLast(): number {
    return this._last;
  }

  /**
   * Gives when a heartbeat was sent at the latest, in milliseconds; undefined for a number that was
   * never issued.
   * @param sequence - Number of the heartbeat.
   */
  getSentAt(sequence: number): number | undefined {
    return sequence >= 1 && sequence <= this._last ? sequence / MICROSECONDS_PER_MS : undefined;
  }
}
