/**
 * Tracks which run ends of an incarnation of a worker were handled, and which may be acknowledged:
 * all those before the first one whose consequences are not stored yet. It is kept while other
 * incarnations are reported, so that no end is handled twice.
 */

/** Tracks the run ends of one incarnation. */
export class AckTracker {
  private readonly _unrecorded = new Set<number>();
  private _lastHandledEnd = 0;

  /** Run ends up to this number were handled. */
  get lastHandledEnd(): number {
    return this._lastHandledEnd;
  }

  /** Number up to which the consequences of all ends are stored. */
  get ackedEnd(): number {
    return Math.min(this._lastHandledEnd, ...[...this._unrecorded].map((number) => number - 1));
  }

  /**
   * Adds an end that is being handled.
   * @param number - Number of the end.
   */
  addEnd(number: number): void {
    this._lastHandledEnd = Math.max(this._lastHandledEnd, number);
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
