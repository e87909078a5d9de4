/**
 * Which ends of a worker may be acknowledged: all up to the first one whose consequences are not
 * in the store yet.
 */

/** Acknowledgements of one worker's ends. */
export class AckTracker {
  private readonly _unrecorded = new Set<number>();
  private _lastNumber = 0;

  /** Number up to which all ends are in the store. */
  get ackedEnd(): number {
    return Math.min(this._lastNumber, ...[...this._unrecorded].map((number) => number - 1));
  }

  /**
   * Notes an end that was taken in.
   * @param number - Its number.
   */
  addEnd(number: number): void {
    this._lastNumber = Math.max(this._lastNumber, number);
    this._unrecorded.add(number);
  }

  /**
   * Notes that the consequences of an end are in the store.
   * @param number - Its number.
   */
  markRecorded(number: number): void {
    this._unrecorded.delete(number);
  }
}
