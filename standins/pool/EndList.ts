/**
 * Ended runs of a stand-in for a worker, numbered in the order of their ends, and what became of them.
 */
import type { EndedRun, RunOutcome } from "../../src/protocol/platform/PoolWorker.ts";
import type { JournalRun } from "./poolJournal.ts";

/** Ended runs of one incarnation. */
export class EndList {
  private readonly _all: { readonly number: number; readonly entry: JournalRun }[] = [];
  private _unacknowledged: readonly EndedRun[] = [];

  /** Ends that the worker lists. */
  get unacknowledged(): readonly EndedRun[] {
    return this._unacknowledged;
  }

  /**
   * Adds the end of a run.
   * @param entry - The run.
   * @param outcome - How it ended.
   */
  add(entry: JournalRun, outcome: RunOutcome): void {
    const { task, run } = entry;
    const number = this._all.length + 1;
    this._all.push({ number, entry });
    this._unacknowledged = [
      ...this._unacknowledged,
      { number, task, run, outcome, checkpoint: "" },
    ];
  }

  /**
   * Forgets the ends up to a number.
   * @param ackedEnd - The number.
   */
  acknowledge(ackedEnd: number): void {
    this._unacknowledged = this._unacknowledged.filter(({ number }) => number > ackedEnd);
    this._mark(ackedEnd, true);
  }

  /** Handles that the lease has expired: ends that are not acknowledged never count as such. */
  lapse(): void {
    this._mark(this._all.length, false);
  }

  private _mark(lastEnd: number, isAcknowledged: boolean): void {
    this._all.slice(0, lastEnd).forEach(({ entry }) => {
      entry.isAcknowledged ??= isAcknowledged;
    });
  }
}
