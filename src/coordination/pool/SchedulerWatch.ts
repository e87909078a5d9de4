/**
 * Watches whether the elected scheduler of a pool can do its work. Its lease shows only that the
 * store responds to this entry; what else the work needs may fail for as long as the lease is
 * renewed. A store that does not respond to this entry is no reason to give the pool up: then the
 * lease ends by itself.
 */
import type { Clock, Timer } from "../../protocol/platform/Clock.ts";

/** Interval of the checks, in milliseconds. */
const CHECK_INTERVAL_MS = 250;
/**
 * Age of the last confirmation of the election up to which the store counts as responding, in
 * milliseconds: three intervals of the renewals of a lease of 2 s.
 */
const MAX_CONFIRMATION_AGE_MS = 1_500;

/** Something without which a scheduler cannot work, and how long the scheduler may lack it. */
export interface SchedulerRequirement {
  /** What is lacking, for the log. */
  readonly reason: string;
  /** Time for which it may be lacking while the election is confirmed, in milliseconds. */
  readonly maxLackingMs: number;
  /**
   * Gets since when it has been lacking, on the monotonic clock, in milliseconds; undefined if it is
   * not.
   */
  readonly getLackingSince: () => number | undefined;
}

/** Dependencies of SchedulerWatch. */
export interface SchedulerWatchDependencies {
  readonly clock: Clock;
  readonly requirements: readonly SchedulerRequirement[];
  /** Gets when the store last confirmed the election, on the monotonic clock, in milliseconds. */
  readonly getConfirmedAt: () => number;
  /** Called when the scheduler has lacked something for too long. */
  readonly onUnable: (reason: string) => void;
}

/** Watches one scheduler. */
export class SchedulerWatch {
  private readonly _deps: SchedulerWatchDependencies;
  private _timer: Timer | undefined;
  private _confirmedSince: number | undefined;

  /**
   * Creates a watch; it is inactive until `start` is called.
   * @param deps - Dependencies.
   */
  constructor(deps: SchedulerWatchDependencies) {
    this._deps = deps;
  }

  /** Starts the checks. */
  start(): void {
    this._timer = this._deps.clock.after(CHECK_INTERVAL_MS, () => {
      this.start();
      this._check();
    });
  }

  /** Stops the checks. */
  stop(): void {
    this._timer?.cancel();
  }

  private _check(): void {
    const { clock, requirements, getConfirmedAt, onUnable } = this._deps;
    const now = clock.now();
    if (now - getConfirmedAt() > MAX_CONFIRMATION_AGE_MS) {
      this._confirmedSince = undefined;
      return;
    }
    const confirmedSince = this._confirmedSince ?? now;
    this._confirmedSince = confirmedSince;
    const lacking = requirements.find(({ maxLackingMs, getLackingSince }) => {
      const lackingSince = getLackingSince() ?? now;
      return now - Math.max(lackingSince, confirmedSince) >= maxLackingMs;
    });
    if (lacking !== undefined) {
      onUnable(lacking.reason);
    }
  }
}
