/**
 * Says which workers a scheduler may grant leases, and when those that former schedulers granted have
 * ended. A scheduler grants leases while the store has confirmed its election recently enough, and
 * none to workers on record as those that get none.
 */
import { LeaseEndRecorder } from "./LeaseEndRecorder.ts";
import type { PoolSchedulerDependencies } from "./PoolSchedulerDependencies.ts";
import type { PoolState } from "./PoolState.ts";
import { getTakeoverWaitMs } from "./PoolTimings.ts";

/** What a scheduler knows of its agents and of its own writes. */
export interface LeaseGrantSources {
  readonly state: PoolState;
  /** Gets when the last successful write of progress was sent, in milliseconds. */
  readonly getWrittenAt: () => number;
  /** Gets since when an agent has not responded, in milliseconds; undefined if it does. */
  readonly getSilentSince: (agent: string) => number | undefined;
}

/** Grants of one scheduler. */
export class LeaseGrants {
  private readonly _deps: PoolSchedulerDependencies;
  private readonly _sources: LeaseGrantSources;
  private readonly _recorder: LeaseEndRecorder;
  private _isStopped = false;

  /**
   * Creates the grants of a scheduler that has just been elected.
   * @param deps - Dependencies of the scheduler.
   * @param sources - What the scheduler knows.
   */
  constructor(deps: PoolSchedulerDependencies, sources: LeaseGrantSources) {
    this._deps = deps;
    this._sources = sources;
    const { pool, epoch, store, clock, log, timings, leaseEnds: known } = deps;
    const { state, getSilentSince } = sources;
    this._recorder = new LeaseEndRecorder({
      ...{ pool, epoch, store, clock, log, known, state, getSilentSince },
      formerLeasesExpireBy: clock.now() + getTakeoverWaitMs(timings),
    });
  }

  /**
   * Returns whether the lease of an agent's worker may be extended.
   * @param agent - Name of the agent.
   */
  mayGrant(agent: string): boolean {
    const { confirmationGuard, timings, getConfirmedAt } = this._deps;
    const confirmedAt = Math.max(getConfirmedAt(), this._sources.getWrittenAt());
    return (
      !this._isStopped &&
      !this._recorder.isWithheld(agent) &&
      confirmationGuard.isRecent(confirmedAt, timings.grantHorizonMs)
    );
  }

  /**
   * Returns whether an agent's worker gets no lease until the store has recorded that it may.
   * @param agent - Name of the agent.
   */
  isWithheld(agent: string): boolean {
    return this._recorder.isWithheld(agent);
  }

  /**
   * Gets when all leases have ended that former schedulers granted to an agent's worker, on the
   * monotonic clock, in milliseconds.
   * @param agent - Name of the agent.
   */
  getFormerLeaseEnd(agent: string): number {
    return this._recorder.getFormerLeaseEnd(agent);
  }

  /** Records which workers get no lease, if that has changed. */
  tick(): void {
    if (!this._isStopped) {
      this._recorder.tick();
    }
  }

  /**
   * Handles that an agent has responded: if its worker gets no lease, that is to end at once.
   * @param agent - Name of the agent.
   */
  handleResponse(agent: string): void {
    if (this.isWithheld(agent)) {
      this.tick();
    }
  }

  /** Grants no more leases. */
  stop(): void {
    this._isStopped = true;
  }
}
