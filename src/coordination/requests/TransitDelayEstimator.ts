/**
 * Estimates how long a message was in transit without synchronized clocks. Each message carries the
 * sender's monotonic time. The smallest offset between the receiver's and the sender's time is
 * taken as a message without delay, so a larger offset is delay in the network, in a buffer or in a
 * paused process. The minimum is kept per window, so that it follows clock drift.
 */

/** Length of a window over which the minimum is taken, in milliseconds. */
const WINDOW_MS = 60_000;

interface SenderOffsets {
  currentMin: number;
  previousMin: number;
  windowEnd: number;
}

/** Maximum number of senders tracked; the one known longest is dropped first. */
const MAX_SENDERS = 1_024;

/** Estimates the transit delay of messages from many senders to one receiver. */
export class TransitDelayEstimator {
  private readonly _senders = new Map<string, SenderOffsets>();

  /**
   * Estimates the delay of a message that has just arrived.
   * @param sender - Id of the sending process; a restarted process has a new id.
   * @param sentAt - Sender's monotonic time in milliseconds.
   * @param now - Receiver's monotonic time in milliseconds.
   * @returns Delay in excess of the smallest one observed, in milliseconds.
   */
  estimateDelay(sender: string, sentAt: number, now: number): number {
    const offset = now - sentAt;
    const offsets = this._getOffsets(sender, offset, now);
    offsets.currentMin = Math.min(offsets.currentMin, offset);
    return offset - Math.min(offsets.currentMin, offsets.previousMin);
  }

  private _getOffsets(sender: string, offset: number, now: number): SenderOffsets {
    const known = this._senders.get(sender);
    if (known === undefined) {
      return this._add(sender, offset, now);
    }
    if (now >= known.windowEnd) {
      known.previousMin = known.currentMin;
      known.currentMin = offset;
      known.windowEnd = now + WINDOW_MS;
    }
    return known;
  }

  private _add(sender: string, offset: number, now: number): SenderOffsets {
    if (this._senders.size >= MAX_SENDERS) {
      const [oldest] = this._senders.keys();
      this._senders.delete(oldest ?? "");
    }
    const added = { currentMin: offset, previousMin: offset, windowEnd: now + WINDOW_MS };
    this._senders.set(sender, added);
    return added;
  }
}
