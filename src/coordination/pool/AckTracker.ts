/**
 * Tracks which run ends of a worker may be acknowledged: all those before the first one whose
 * consequences are not stored yet.
 */

/** Tracks the run ends of one worker. */
export class AckTracker {
  private readonly _unrecorded = new Set<number>();
  private _lastNumber = 0;

  /** Number up to which the consequences of all ends are stored. */
  get ackedEnd(): number {
    return Math.min(this._lastNumber, ...[...this._unrecorded].map((number) => number - 1));
  }

  /**
   * Adds an end that the worker reported.
   * @param number - Number of the end.
   */
  addEnd(number: number): void {
    this._lastNumber = Math.max(this._lastNumber, number);
    this._unrecorded.add(number);
  }

  /**
   * Marks the consequences of an end as stored.
   * @param number - Number of the end.
   */
  markRecorded(number: number): void {
    this._unrecorded.delete(number);
  }
}
