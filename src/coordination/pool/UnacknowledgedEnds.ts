/**
 * Ended runs that one incarnation of a worker has listed and that are not acknowledged. They stay
 * known when later lists are missing: an end that was read remains true.
 */
import type { EndedRun } from "../../protocol/platform/PoolWorker.ts";

/** Ends that are missing between those that were acknowledged and those that a worker lists. */
export interface EndGap {
  /** Number up to which the ends are acknowledged. */
  readonly acked: number;
  /** First number that the worker lists. */
  readonly listed: number;
}

/** Ended runs of one incarnation. */
export class UnacknowledgedEnds {
  private readonly _ends = new Map<number, EndedRun>();
  private _ackedEnd = 0;
  /**
   * Number up to which the worker may have forgotten ends before this process could acknowledge any;
   * undefined until it lists one, if a former process of the agent may have acknowledged some.
   */
  private _formerAckedEnd: number | undefined;
  private _hasGap = false;

  /**
   * Creates a table without ends.
   * @param isFirstReader - Whether no other process of the agent can have acknowledged ends.
   */
  constructor(isFirstReader: boolean) {
    this._formerAckedEnd = isFirstReader ? 0 : undefined;
  }

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
   * Returns the gap before the first end of a list, the first time that there is one. The worker has
   * then forgotten ends that nobody has read: a call that was meant for another incarnation, or is
   * carried out late, has acknowledged them.
   * @param ended - Ends as the worker listed them.
   */
  findGap(ended: readonly EndedRun[]): EndGap | undefined {
    const listed = ended.at(0)?.number;
    if (listed === undefined || this._hasGap) {
      return undefined;
    }
    this._formerAckedEnd ??= listed - 1;
    const acked = Math.max(this._ackedEnd, this._formerAckedEnd);
    this._hasGap = listed > acked + 1;
    return this._hasGap ? { acked, listed } : undefined;
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
