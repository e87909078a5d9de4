/**
 * Estimates how long a message was under way without a common clock. The sender stamps its own
 * monotonic time; the smallest difference to the receiver's time seen so far stands for a message
 * without delay, so any larger difference is delay in the network, in a buffer or in a paused
 * process. The minimum is renewed in windows, so that clocks may drift.
 */

/** Length of a window of the minimum, in milliseconds. */
const WINDOW_MS = 60_000;

interface SenderOffsets {
  currentMin: number;
  previousMin: number;
  windowEnd: number;
}

/** Most senders remembered. */
const MAX_SENDERS = 1_024;

/** Estimator for the messages of many senders to one receiver. */
export class TransitDelayEstimator {
  private readonly _senders = new Map<string, SenderOffsets>();

  /**
   * Estimates the delay of a message that has just arrived.
   * @param sender - Identity of the sending process; a new process has a new identity.
   * @param sentAt - Sender's monotonic time in milliseconds.
   * @param now - Receiver's monotonic time in milliseconds.
   * @returns Delay beyond the smallest one seen, in milliseconds.
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
