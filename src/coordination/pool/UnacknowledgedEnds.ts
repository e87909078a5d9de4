/**
 * Ended runs that one incarnation of a worker has listed and that are not acknowledged. They stay
 * known when later lists are missing: an end that was read remains true.
 */
import type { EndedRun } from "../../protocol/platform/PoolWorker.ts";

/** Ended runs of one incarnation. */
export class UnacknowledgedEnds {
  private readonly _ends = new Map<number, EndedRun>();
  private _ackedEnd = 0;

  /** Number up to which the ends are acknowledged. */
  get ackedEnd(): number {
    return this._ackedEnd;
  }

  /** The ends, in the order of their numbers. */
  get ends(): readonly EndedRun[] {
    return [...this._ends.values()].toSorted((a, b) => a.number - b.number);
  }

  /**
   * Adds the ends of a list. Returns whether one of them was not known.
   * @param ended - Ends as the worker listed them.
   */
  add(ended: readonly EndedRun[]): boolean {
    const added = ended.filter(({ number }) => number > this._ackedEnd && !this._ends.has(number));
    added.forEach((end) => {
      this._ends.set(end.number, end);
    });
    return added.length > 0;
  }

  /**
   * Removes the ends up to a number. Returns whether they were not acknowledged before.
   * @param ackedEnd - The number.
   */
  acknowledge(ackedEnd: number): boolean {
    if (ackedEnd <= this._ackedEnd) {
      return false;
    }
    this._ackedEnd = ackedEnd;
    [...this._ends.keys()]
      .filter((number) => number <= ackedEnd)
      .forEach((number) => this._ends.delete(number));
    return true;
  }
}
