/**
 * Trackers of the run ends of the last incarnations of each agent's worker. An incarnation is reported
 * again after a later one only by an agent that has restarted, or that still has its ends; one whose
 * tracker was dropped has its ends handled again, which counts none of them twice.
 */
import { AckTracker } from "./AckTracker.ts";

/** Number of incarnations of an agent's worker whose trackers are kept. */
const MAX_INCARNATIONS = 8;

/** Trackers of the workers of one scheduler. */
export class AckTrackerTable {
  private readonly _byAgent = new Map<string, Map<string, AckTracker>>();

  /** Number of trackers. */
  get size(): number {
    return [...this._byAgent.values()].reduce((sum, trackers) => sum + trackers.size, 0);
  }

  /**
   * Gets the tracker of an incarnation, and drops those of the agent that were not used for longest
   * if they are too many.
   * @param agent - Agent of the worker.
   * @param worker - Incarnation of the worker.
   */
  getTracker(agent: string, worker: string): AckTracker {
    const trackers = this._byAgent.get(agent) ?? new Map<string, AckTracker>();
    this._byAgent.set(agent, trackers);
    const tracker = trackers.get(worker) ?? new AckTracker();
    // The last one used comes last.
    trackers.delete(worker);
    trackers.set(worker, tracker);
    [...trackers.keys()].slice(0, -MAX_INCARNATIONS).forEach((former) => trackers.delete(former));
    return tracker;
  }

  /**
   * Gets the number up to which the ends of an incarnation may be acknowledged; 0 if none may.
   * @param agent - Agent of the worker.
   * @param worker - Incarnation of the worker.
   */
  getAckedEnd(agent: string, worker: string): number {
    return this._byAgent.get(agent)?.get(worker)?.ackedEnd ?? 0;
  }
}
