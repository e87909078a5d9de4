/**
 * Link of a fixed speed in virtual time that all transfers in progress share equally, as connections
 * of the same length do.
 */
import type { Clock } from "../../src/protocol/platform/Clock.ts";

/** Time between two shares of the link, in milliseconds. */
const STEP_MS = 5;

interface Transfer {
  remainingBytes: number;
  readonly finish: (hasArrived: boolean) => void;
}

/** Link that is shared by all transfers. */
export class SharedLink {
  private readonly _clock: Clock;
  private readonly _bytesPerMs: number;
  private readonly _transfers = new Set<Transfer>();

  /**
   * Creates an idle link.
   * @param clock - Clock of the transfers.
   * @param bytesPerMs - Speed, in bytes a millisecond.
   */
  constructor(clock: Clock, bytesPerMs: number) {
    this._clock = clock;
    this._bytesPerMs = bytesPerMs;
  }

  /**
   * Transfers a message. Returns whether all of it arrived before the timeout; after the timeout
   * nothing more of it is sent.
   * @param bytes - Size of the message.
   * @param timeoutMs - Timeout in milliseconds.
   */
  async transfer(bytes: number, timeoutMs: number): Promise<boolean> {
    return new Promise((resolve) => {
      const transfer: Transfer = {
        remainingBytes: bytes,
        finish: (hasArrived) => {
          timer.cancel();
          this._transfers.delete(transfer);
          resolve(hasArrived);
        },
      };
      const timer = this._clock.after(timeoutMs, () => {
        transfer.finish(false);
      });
      this._transfers.add(transfer);
      if (this._transfers.size === 1) {
        this._scheduleStep();
      }
    });
  }

  private _scheduleStep(): void {
    this._clock.after(STEP_MS, () => {
      this._send();
      if (this._transfers.size > 0) {
        this._scheduleStep();
      }
    });
  }

  private _send(): void {
    const share = (this._bytesPerMs * STEP_MS) / this._transfers.size;
    [...this._transfers].forEach((transfer) => {
      transfer.remainingBytes -= share;
      if (transfer.remainingBytes <= 0) {
        transfer.finish(true);
      }
    });
  }
}
