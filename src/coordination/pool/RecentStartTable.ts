/**
 * Runs whose start was ordered recently. An attempt that got no response may be executed late, also
 * after a repetition of it was executed and the run has ended: by the next incarnation of the worker
 * under the same id, which does not know of the run.
 */
import { formatRunKey } from "./ActiveRunTable.ts";
import type { RunOrder } from "./AgentChannel.ts";

/**
 * Time after which an order without a response has been executed or never will be, in milliseconds.
 * A call that gets no response may be executed seconds later.
 */
const MAX_DELAY_MS = 20_000;

/** A run whose start was ordered. */
export interface RecentStart extends RunOrder {
  readonly agent: string;
  /** Incarnation that was ordered to start the run, or that has last executed a stop of it. */
  readonly worker: string;
  /** When the start was last ordered, on the monotonic clock, in milliseconds. */
  readonly orderedAt: number;
  /** When a stop was last ordered; undefined if none was. */
  readonly stoppedAt: number | undefined;
}

/** Recent starts of one scheduler. */
export class RecentStartTable {
  /** By task and run, in the order of their last orders. */
  private readonly _starts = new Map<string, RecentStart>();

  /**
   * Records that a start is ordered.
   * @param start - The start.
   */
  add({ agent, worker, task, run, orderedAt }: Omit<RecentStart, "stoppedAt">): void {
    const key = formatRunKey(task, run);
    this._starts.delete(key);
    this._starts.set(key, { agent, worker, task, run, orderedAt, stoppedAt: undefined });
  }

  /**
   * Updates a start; does nothing if it is not recent.
   * @param order - The run.
   * @param change - Properties to replace.
   */
  update(
    { task, run }: RunOrder,
    change: Partial<Pick<RecentStart, "worker" | "stoppedAt">>,
  ): void {
    const known = this._starts.get(formatRunKey(task, run));
    if (known !== undefined) {
      this._starts.set(formatRunKey(task, run), { ...known, ...change });
    }
  }

  /**
   * Returns the starts that may still be executed.
   * @param now - Monotonic time in milliseconds.
   */
  getAll(now: number): readonly RecentStart[] {
    for (const [key, { orderedAt }] of this._starts) {
      if (now - orderedAt <= MAX_DELAY_MS) {
        break;
      }
      this._starts.delete(key);
    }
    return [...this._starts.values()];
  }
}
