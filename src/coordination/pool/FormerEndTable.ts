/**
 * Ended runs that former incarnations of an agent's worker had listed and that were not acknowledged
 * when the next one replaced it. The agent is the only one that still knows them.
 */
import type { EndedRun } from "../../protocol/platform/PoolWorker.ts";
import type { FormerEnds } from "./AgentChannel.ts";

/** Maximum number of ends: as many as a worker lists at a time. The oldest are dropped. */
const MAX_ENDS = 500;
/**
 * Time for which an end is kept, in milliseconds. It covers an outage of the store or of all
 * schedulers of some minutes; a scheduler that is there gets the ends with the next report.
 */
const MAX_AGE_MS = 600_000;

interface FormerEnd {
  readonly worker: string;
  readonly ended: EndedRun;
  /** First version of the agent's report that includes the end. */
  readonly version: number;
  readonly addedAt: number;
}

/** Ended runs of the former incarnations of one agent's worker. */
export class FormerEndTable {
  private _ends: readonly FormerEnd[] = [];

  /**
   * Adds ends of an incarnation. Returns the number of older ends that were dropped for them.
   * @param former - The ends with their incarnation; known ones are ignored.
   * @param version - First version of the agent's report that includes them.
   * @param now - Monotonic time in milliseconds.
   */
  add({ worker, ended }: FormerEnds, version: number, now: number): number {
    const known = this._ends.filter(({ addedAt }) => now - addedAt <= MAX_AGE_MS);
    const numbers = new Set(
      known.filter((end) => end.worker === worker).map((end) => end.ended.number),
    );
    const added = ended
      .filter(({ number }) => !numbers.has(number))
      .map((end): FormerEnd => ({ worker, ended: end, version, addedAt: now }));
    const all = [...known, ...added];
    this._ends = all.slice(-MAX_ENDS);
    return all.length - this._ends.length;
  }

  /**
   * Returns the ends that a version of the agent's report did not include.
   * @param knownVersion - The version; 0 returns all ends.
   * @param now - Monotonic time in milliseconds.
   */
  getLaterThan(knownVersion: number, now: number): readonly FormerEnds[] {
    const later = this._ends.filter(
      ({ version, addedAt }) => version > knownVersion && now - addedAt <= MAX_AGE_MS,
    );
    return [...Map.groupBy(later, ({ worker }) => worker)].map(([worker, ends]) => ({
      worker,
      ended: ends.map(({ ended }) => ended),
    }));
  }
}
