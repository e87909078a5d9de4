/**
 * History of the batch work on a VM, so that a report that arrives late can be compared with what
 * was running when it was measured.
 */
import type { KindShare } from "./KindShare.ts";

interface MixChange {
  readonly at: number;
  readonly mix: readonly KindShare[];
}

/** Mix of batch work on one VM over time. */
export class MixHistory {
  private readonly _maxAgeMs: number;
  private _changes: readonly MixChange[] = [];

  /**
   * Creates an empty history.
   * @param maxAgeMs - Time span that the history covers, in milliseconds.
   */
  constructor(maxAgeMs: number) {
    this._maxAgeMs = maxAgeMs;
  }

  /**
   * Records the mix of batch work from a time on.
   * @param at - Time, in milliseconds; not before the last recorded one.
   * @param mix - Processor shares by kind.
   */
  record(at: number, mix: readonly KindShare[]): void {
    const firstKept = this._changes.findLastIndex((entry) => entry.at <= at - this._maxAgeMs);
    this._changes = [...this._changes.slice(Math.max(0, firstKept)), { at, mix }];
  }

  /**
   * Gets the mix of batch work at a time; undefined if the history does not reach back that far.
   * @param at - Time, in milliseconds.
   */
  getAt(at: number): readonly KindShare[] | undefined {
    return this._changes.findLast((entry) => entry.at <= at)?.mix;
  }
}
