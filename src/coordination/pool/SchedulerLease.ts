/**
 * Lease to which an entry binds the key of a pool's scheduler. A lease that was released is never
 * used again, so that a claim that reaches the store late is refused.
 */
import type { Log } from "../../protocol/platform/Log.ts";
import type { Store } from "../../protocol/platform/Store.ts";

/** Dependencies of SchedulerLease. */
export interface SchedulerLeaseDependencies {
  readonly store: Store;
  readonly log: Log;
  readonly pool: string;
  /** Time to live of the lease, in milliseconds. */
  readonly leaseMs: number;
}

/** Lease of one entry for one pool. */
export class SchedulerLease {
  private readonly _deps: SchedulerLeaseDependencies;
  private _id: string | undefined;

  /**
   * Creates the holder of a lease, without a lease.
   * @param deps - Dependencies.
   */
  constructor(deps: SchedulerLeaseDependencies) {
    this._deps = deps;
  }

  /** Id of the lease; undefined while there is none. */
  get id(): string | undefined {
    return this._id;
  }

  /** Gets a lease unless there is one, and returns its id; undefined if the store grants none. */
  async acquire(): Promise<string | undefined> {
    if (this._id !== undefined) {
      return this._id;
    }
    const { store, log, pool, leaseMs } = this._deps;
    const granted = await store.grantLease(leaseMs);
    if (granted.isErr()) {
      const reason = granted.error.detail;
      log.debug("No lease was granted for the claim of a pool; it is tried again.", {
        ...{ pool, reason },
      });
    }
    this._id = granted.unwrapOr(undefined);
    return this._id;
  }

  /**
   * Notes that the store no longer knows a lease.
   * @param id - Id of the lease.
   */
  forget(id: string): void {
    this._id = this._id === id ? undefined : this._id;
  }

  /** Gives up the lease and with it a key of this entry that is still bound to it. */
  async release(): Promise<void> {
    const { store, log, pool } = this._deps;
    const lease = this._id;
    if (lease === undefined) {
      return;
    }
    this._id = undefined;
    const revoked = await store.revokeLease(lease);
    if (revoked.isErr() && revoked.error.kind !== "lease-lost") {
      const reason = revoked.error.detail;
      log.warn("The lease of a pool's scheduler could not be revoked; it ends by itself.", {
        ...{ pool, lease, reason },
      });
    }
  }
}
