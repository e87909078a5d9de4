/**
 * Notes when this entry received the record of the ends of leases in each pool. The record has times
 * that count from its write, and no clock is shared: what was received at a time was written before.
 */
import type { Clock } from "../../protocol/platform/Clock.ts";
import type { StoreChange } from "../../protocol/platform/Store.ts";

interface Receipt {
  readonly revision: number;
  readonly receivedAt: number;
}

/** Receipts of the records of all pools. */
export class LeaseEndReceipts {
  private readonly _clock: Clock;
  private readonly _receipts = new Map<string, Receipt>();

  /**
   * Creates a table without receipts.
   * @param clock - Clock of the entry.
   */
  constructor(clock: Clock) {
    this._clock = clock;
  }

  /**
   * Notes the receipt of records. One that was received before keeps its time.
   * @param changes - Keys with their values; a deleted key has none.
   */
  apply(changes: readonly StoreChange[]): void {
    changes
      .filter(({ key, revision }) => revision > (this._receipts.get(key)?.revision ?? 0))
      .forEach(({ key, revision }) => {
        this._receipts.set(key, { revision, receivedAt: this._clock.now() });
      });
  }

  /**
   * Gets a time by which a record was certainly written, on the monotonic clock, in milliseconds; the
   * present time if it has only just been read.
   * @param key - Key of the record.
   * @param revision - Revision of the record.
   */
  getReceivedAt(key: string, revision: number): number {
    const receipt = this._receipts.get(key);
    return receipt?.revision === revision ? receipt.receivedAt : this._clock.now();
  }
}
