/**
 * Which ends of a worker may be acknowledged: all up to the first one whose consequences are not
 * in the store yet.
 */

/** Acknowledgements of one worker's ends. */
export class AckTracker {
  private readonly _open = new Set<number>();
  private _last = 0;

  /** Number up to which all ends are in the store. */
  get ackedEnd(): number {
    return Math.min(this._last, ...[...this._open].map((number) => number - 1));
  }

  /**
   * Notes an end that was taken in.
   * @param number - Its number.
   */
  open(number: number): void {
    this._last = Math.max(this._last, number);
    this._open.add(number);
  }

  /**
   * Notes that the consequences of an end are in the store.
   * @param number - Its number.
   */
  settle(number: number): void {
    this._open.delete(number);
  }
}
