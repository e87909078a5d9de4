/**
 * Which batch work ran on a VM at which time, so that a report that arrives late can be compared
 * with what ran when it was measured.
 */
import type { KindShare } from "./KindShare.ts";

interface MixChange {
  readonly at: number;
  readonly mix: readonly KindShare[];
}

/** Batch work on one VM over time. */
export class MixHistory {
  private readonly _maxAgeMs: number;
  private _changes: readonly MixChange[] = [];

  /**
   * Creates an empty history.
   * @param maxAgeMs - How far the history reaches back, in milliseconds.
   */
  constructor(maxAgeMs: number) {
    this._maxAgeMs = maxAgeMs;
  }

  /**
   * Notes the batch work that runs from a time on.
   * @param at - Time, in milliseconds; not before the last one noted.
   * @param mix - Shares by kind.
   */
  record(at: number, mix: readonly KindShare[]): void {
    const firstKept = this._changes.findLastIndex((entry) => entry.at <= at - this._maxAgeMs);
    this._changes = [...this._changes.slice(Math.max(0, firstKept)), { at, mix }];
  }

  /**
   * Gives the batch work that ran at a time; undefined where the history does not reach back.
   * @param at - Time, in milliseconds.
   */
  getAt(at: number): readonly KindShare[] | undefined {
    return this._changes.findLast((entry) => entry.at <= at)?.mix;
  }
}
