/**
 * The last lists of one incarnation of a worker. Responses to calls that overlap arrive in any order,
 * and one that waited for an end was made later than its call; only the worker's clock tells which of
 * two was made first.
 */
import type { WorkerRuns } from "../../protocol/platform/PoolWorker.ts";
import type { NumberedLists } from "./workerReport.ts";

/** Lists of one incarnation as its agent knows them. */
export class WorkerLists {
  private _present: NumberedLists | undefined;
  private _listedAt: number | undefined;

  /** The last lists; undefined if there are none, or they are outdated. */
  get present(): NumberedLists | undefined {
    return this._present;
  }

  /** When the last lists arrived, outdated or not, on the monotonic clock, in milliseconds. */
  get listedAt(): number | undefined {
    return this._listedAt;
  }

  /**
   * Returns whether lists may be older than the present ones, which arrived while their call was in
   * progress.
   * @param lists - The lists.
   * @param presentBefore - The lists that were present when the call was sent.
   */
  wasOvertaken({ clockMs }: WorkerRuns, presentBefore: NumberedLists | undefined): boolean {
    const present = this._present;
    return present !== undefined && present !== presentBefore && clockMs <= present.clockMs;
  }

  /**
   * Replaces the lists by later ones, which also show what came before the calls of the earlier ones.
   * @param runs - The lists.
   * @param callNumber - Number of their call.
   * @param now - Monotonic time in milliseconds.
   */
  replace(runs: WorkerRuns, callNumber: number, now: number): void {
    const number = Math.max(callNumber, this._present?.callNumber ?? 0);
    this._present = { ...runs, callNumber: number };
    this._listedAt = now;
  }

  /** Makes the lists outdated; when they arrived remains known. */
  expire(): void {
    this._present = undefined;
  }

  /** Forgets everything, for another incarnation. */
  reset(): void {
    this._present = undefined;
    this._listedAt = undefined;
  }
}
