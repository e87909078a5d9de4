/**
 * Logs the load of a pool by queue at intervals.
 */
import type { Clock } from "../../protocol/platform/Clock.ts";
import type { Log } from "../../protocol/platform/Log.ts";
import { getPoolLoad } from "./poolLoad.ts";
import type { PoolState } from "./PoolState.ts";

const LOG_INTERVAL_MS = 5_000;

/** Dependencies of PoolLoadLog. */
export interface PoolLoadLogDependencies {
  readonly pool: string;
  readonly state: PoolState;
  readonly clock: Clock;
  readonly log: Log;
}

/** Logs the load of one pool. */
export class PoolLoadLog {
  private readonly _deps: PoolLoadLogDependencies;
  private _loggedAt = Number.NEGATIVE_INFINITY;

  /**
   * Creates a log.
   * @param deps - Dependencies.
   */
  constructor(deps: PoolLoadLogDependencies) {
    this._deps = deps;
  }

  /**
   * Logs a line for each queue with jobs that have not ended, if lines are due.
   * @param timeOfDayMs - Time of day in Unix milliseconds.
   */
  tick(timeOfDayMs: number): void {
    const { pool, state, clock, log } = this._deps;
    const now = clock.now();
    if (now - this._loggedAt < LOG_INTERVAL_MS) {
      return;
    }
    this._loggedAt = now;
    const { workers, capacityMilli, queues } = getPoolLoad(state, now, timeOfDayMs);
    queues.forEach((load) => {
      log.info("Load of a queue.", { pool, workers, capacityMilli, ...load });
    });
  }
}
