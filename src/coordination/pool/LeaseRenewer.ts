/**
 * Renews the lease of a pool's scheduler during one epoch, and reads the key along with each
 * renewal, since the key may be deleted while its lease is still valid. Renewals are sent at fixed
 * times: one that gets no response does not delay the next.
 */
import type { Clock, Timer } from "../../protocol/platform/Clock.ts";
import type { Log } from "../../protocol/platform/Log.ts";
import type { Store, StoreEntry } from "../../protocol/platform/Store.ts";

/**
 * Renewals of the lease within its time to live, so that two may fail; also the maximum of renewals
 * in progress.
 */
const RENEWALS_PER_LEASE = 4;

/** Dependencies of LeaseRenewer. */
export interface LeaseRenewerDependencies {
  readonly store: Store;
  readonly clock: Clock;
  readonly log: Log;
  readonly pool: string;
  /** Key that is bound to the lease. */
  readonly key: string;
  readonly lease: string;
  /** Time to live of the lease, in milliseconds. */
  readonly leaseMs: number;
  /** Receives the key, possibly out of order, and when the read was sent, in milliseconds. */
  readonly onRead: (entry: StoreEntry | undefined, sentAt: number) => void;
}

/** Renews one lease until it is stopped. */
export class LeaseRenewer {
  private readonly _deps: LeaseRenewerDependencies;
  private _timer: Timer | undefined;
  private _renewals = 0;
  private _isFailing = false;
  private _isStopped = false;

  /**
   * Creates a renewer; it is inactive until `start` is called.
   * @param deps - Dependencies.
   */
  constructor(deps: LeaseRenewerDependencies) {
    this._deps = deps;
  }

  /** Starts with a renewal at once, since the lease may have been granted some time ago. */
  start(): void {
    const { clock, leaseMs } = this._deps;
    this._timer = clock.after(leaseMs / RENEWALS_PER_LEASE, () => {
      this.start();
    });
    if (this._renewals < RENEWALS_PER_LEASE) {
      void this._renew();
    }
  }

  /** Stops renewing; responses to calls in progress are ignored. */
  stop(): void {
    this._isStopped = true;
    this._timer?.cancel();
  }

  private async _renew(): Promise<void> {
    this._renewals += 1;
    await Promise.all([this._renewLease(), this._readKey()]);
    this._renewals -= 1;
  }

  private async _renewLease(): Promise<void> {
    const { store, log, pool, lease } = this._deps;
    const renewed = await store.renewLease(lease);
    if (this._isStopped || renewed.isErr() === this._isFailing) {
      return;
    }
    this._isFailing = renewed.isErr();
    if (renewed.isErr()) {
      const reason = renewed.error.detail;
      log.warn("The lease of a pool's scheduler could not be renewed; the next renewal follows.", {
        ...{ pool, lease, reason },
      });
    } else {
      log.info("The lease of a pool's scheduler is renewed again.", { pool, lease });
    }
  }

  private async _readKey(): Promise<void> {
    const { store, clock, log, pool, key, onRead } = this._deps;
    const sentAt = clock.now();
    const read = await store.read(key);
    if (this._isStopped) {
      return;
    }
    if (read.isErr()) {
      const reason = read.error.detail;
      log.debug("The key of a pool's scheduler could not be read; it is read again.", {
        ...{ pool, reason },
      });
      return;
    }
    onRead(read.value, sentAt);
  }
}
