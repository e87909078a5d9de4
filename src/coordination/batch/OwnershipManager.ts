/**
 * Manages the partitions that an entry owns: renews the entry's lease, takes over free partitions
 * up to its share, hands partitions over, and drops those that another entry has taken over.
 */
import type { Clock, Timer } from "../../protocol/platform/Clock.ts";
import type { Log } from "../../protocol/platform/Log.ts";
import type { EntryMembership } from "./EntryMembership.ts";
import { planOwnership } from "./planOwnership.ts";
import type { PartitionOwner } from "./PartitionOwner.ts";

const RENEWALS_PER_LEASE = 3;
const MAX_TAKEOVERS_AT_ONCE = 8;
const STOP_TIMEOUT_MS = 5_000;

/** Dependencies of an ownership manager. */
export interface OwnershipManagerDependencies {
  readonly clock: Clock;
  readonly log: Log;
  readonly membership: EntryMembership;
  readonly entry: string;
  readonly partitions: number;
  readonly leaseMs: number;
  /** Takes a partition over; resolves to undefined if that failed. */
  readonly takeOver: (partition: number) => Promise<PartitionOwner | undefined>;
}

/** Manages the partitions that one entry owns. */
export class OwnershipManager {
  private readonly _deps: OwnershipManagerDependencies;
  private readonly _owned = new Map<number, PartitionOwner>();
  /** Leases by partition under which the owner keys were last confirmed to name this entry. */
  private readonly _claims = new Map<number, string>();
  private _timer: Timer | undefined;
  private _running: Promise<void> = Promise.resolve();
  private _rebalancing: Promise<void> | undefined;
  private _stopped = false;

  /**
   * Creates a manager that owns no partitions yet.
   * @param deps - Its dependencies.
   */
  constructor(deps: OwnershipManagerDependencies) {
    this._deps = deps;
  }

  /** Partitions that this entry owns. */
  get owned(): readonly PartitionOwner[] {
    return [...this._owned.values()];
  }

  /**
   * Gets the owner of a partition; undefined if this entry does not own it.
   * @param partition - Number of the partition.
   */
  getOwned(partition: number): PartitionOwner | undefined {
    return this._owned.get(partition);
  }

  /** Runs the first renewal cycle and schedules the next ones until stopped. */
  async start(): Promise<void> {
    this._running = this._runCycle();
    await this._running;
    await this._rebalancing;
    this._schedule();
  }

  /** Releases all partitions and revokes the lease. */
  async stop(): Promise<void> {
    this._stopped = true;
    this._timer?.cancel();
    await Promise.race([this._releaseAll(), this._deps.clock.sleep(STOP_TIMEOUT_MS)]);
  }

  private async _releaseAll(): Promise<void> {
    await this._running;
    await this._rebalancing;
    await Promise.all(this.owned.map((owner) => owner.release()));
    this._owned.clear();
    await this._deps.membership.leave();
  }

  /**
   * Drops a partition that another entry has taken over.
   * @param partition - Number of the partition.
   */
  drop(partition: number): void {
    this._owned.delete(partition);
    this._claims.delete(partition);
  }

  private _schedule(): void {
    if (this._stopped) {
      return;
    }
    this._timer = this._deps.clock.after(this._deps.leaseMs / RENEWALS_PER_LEASE, () => {
      this._running = this._runCycle().then(() => {
        this._schedule();
      });
    });
  }

  private async _runCycle(): Promise<void> {
    const { clock, membership } = this._deps;
    const sentAt = clock.now();
    const renewed = await membership.renew();
    const refreshed = renewed && (await membership.refresh());
    if (!renewed || !refreshed) {
      return;
    }
    this._recordRenewal(sentAt);
    // A takeover may wait long for the store; it must not delay the renewals.
    this._rebalancing ??= this._reclaim()
      .then(() => this._rebalance())
      .finally(() => {
        this._rebalancing = undefined;
      });
  }

  private _recordRenewal(sentAt: number): void {
    const { lease } = this._deps.membership;
    this.owned
      .filter((owner) => this._claims.get(owner.partition) === lease)
      .forEach((owner) => {
        owner.recordRenewal(sentAt);
      });
  }

  /** Rewrites the owner keys that were removed when a previous lease ended. */
  private async _reclaim(): Promise<void> {
    const { membership } = this._deps;
    const unclaimed = this.owned.filter(
      (owner) => this._claims.get(owner.partition) !== membership.lease,
    );
    await Promise.all(unclaimed.map((owner) => this._reclaimOne(owner)));
  }

  /**
   * While the key was absent, another entry may have taken the partition over and crashed since.
   * The key alone therefore proves nothing; only a log record written after it does.
   */
  private async _reclaimOne(owner: PartitionOwner): Promise<void> {
    const lease = await this._deps.membership.claim(owner.partition, owner.epoch);
    const isOwner = await owner.verifyOwnership();
    if (lease !== undefined && isOwner) {
      this._recordClaim(owner, lease);
    }
  }

  private _recordClaim(owner: PartitionOwner, lease: string): void {
    this._claims.set(owner.partition, lease);
    owner.recordClaim();
  }

  private async _rebalance(): Promise<void> {
    const { membership, entry, partitions } = this._deps;
    const plan = planOwnership({
      partitions,
      entry,
      entries: membership.entries.map((other) => other.name),
      owners: this._getOwnerNames(),
    });
    const wanted = plan.acquire.filter((partition) => !this._owned.has(partition));
    for (let first = 0; first < wanted.length; first += MAX_TAKEOVERS_AT_ONCE) {
      const group = wanted.slice(first, first + MAX_TAKEOVERS_AT_ONCE);
      await Promise.all(group.map((partition) => this._acquire(partition)));
    }
    if (plan.release !== undefined) {
      await this._release(plan.release);
    }
  }

  private async _acquire(partition: number): Promise<void> {
    const { membership, takeOver } = this._deps;
    const lease = this._stopped ? undefined : await membership.claim(partition, 0);
    if (lease === undefined) {
      return;
    }
    const owner = await takeOver(partition);
    if (owner === undefined) {
      await membership.releaseClaim(partition);
      return;
    }
    this._owned.set(partition, owner);
    // The key was under the same lease before and after the takeover, so it was never absent.
    if ((await membership.claim(partition, owner.epoch)) === lease) {
      this._recordClaim(owner, lease);
    }
  }

  /**
   * Gets the owners by partition. A key of this process without an ownership counts as free, and a
   * key of an earlier process of this entry as another entry's.
   */
  private _getOwnerNames(): ReadonlyMap<number, string> {
    const { membership, entry } = this._deps;
    const names = [...membership.owners].flatMap(([partition, owner]): [number, string][] => {
      if (owner.writer === membership.writer) {
        return this._owned.has(partition) ? [[partition, entry]] : [];
      }
      return [[partition, owner.entry === entry ? `${entry} before` : owner.entry]];
    });
    const owned = this.owned.map((owner): [number, string] => [owner.partition, entry]);
    return new Map([...names, ...owned]);
  }

  private async _release(partition: number): Promise<void> {
    const { log, membership } = this._deps;
    const owner = this._owned.get(partition);
    this.drop(partition);
    await owner?.release();
    await membership.releaseClaim(partition);
    log.info("Released a partition so that another entry can take it over.", { partition });
  }
}
