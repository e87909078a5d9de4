/**
 * Elects the entry that schedules a pool: the one that the pool's key in the store names. The key
 * is bound to a lease, so that it is deleted when its holder fails; its revision is the scheduler's
 * epoch. The pool is protected from former schedulers not by the lease but by the check of the key
 * in every transaction and by the epoch in every order.
 */
import type { StoreChange, StoreEntry } from "../../protocol/platform/Store.ts";
import { getSchedulerKey } from "../../state/pool/PoolKeys.ts";
import { LeaseRenewer } from "./LeaseRenewer.ts";
import type { SchedulerElectionDependencies } from "./SchedulerElectionDependencies.ts";
import { SchedulerKeyClaimer } from "./SchedulerKeyClaimer.ts";
import { SchedulerKeyReader } from "./SchedulerKeyReader.ts";
import { SchedulerKeyState } from "./SchedulerKeyState.ts";
import { SchedulerLease } from "./SchedulerLease.ts";

/** Delay between a claim that failed and the read that follows it, in milliseconds. */
const RETRY_MS = 200;
/**
 * Maximum time between two reads of a key that is not known to have a holder, in milliseconds; a
 * random part of up to a half is taken off. It bounds how long a pool is without a scheduler if no
 * change of the key arrives that would lead to a claim.
 */
const MAX_FREE_KEY_READ_MS = 1_000;

/**
 * Time for which an entry that resigned claims nothing, beyond the time to live of the lease, in
 * milliseconds. Its key is gone by the end of the lease even if it could not be revoked; the others
 * notice that within two watch calls and claim at once.
 */
const RESIGN_MARGIN_MS = 1_000;

/** Takes part in the election of one pool's scheduler. */
export class SchedulerElection {
  private readonly _deps: SchedulerElectionDependencies;
  private readonly _key: string;
  private readonly _state = new SchedulerKeyState();
  private readonly _reader: SchedulerKeyReader;
  private readonly _lease: SchedulerLease;
  private readonly _claimer: SchedulerKeyClaimer;
  private _epoch: number | undefined;
  /** Latest epoch that this entry held or gave up; none is adopted again once it was left. */
  private _lastEpoch = 0;
  private _confirmedAt = Number.NEGATIVE_INFINITY;
  private _mayClaimFrom = Number.NEGATIVE_INFINITY;
  private _isStopped = false;
  private _renewer: LeaseRenewer | undefined;

  /**
   * Creates an election; this entry takes part once the state of the key is known.
   * @param deps - Dependencies.
   */
  constructor(deps: SchedulerElectionDependencies) {
    this._deps = deps;
    this._key = getSchedulerKey(deps.pool);
    this._lease = new SchedulerLease(deps);
    const shared = { ...deps, key: this._key, state: this._state };
    this._reader = new SchedulerKeyReader({
      ...shared,
      onRead: () => {
        this._followState();
      },
    });
    this._claimer = new SchedulerKeyClaimer({
      ...{ ...shared, lease: this._lease },
      mayClaim: () => this._epoch === undefined && this._isClaimable() && this._mayTakePart(),
      onWritten: (revision, sentAt) => {
        this._followState(sentAt);
        this._confirm(revision, sentAt);
      },
      onEnded: () => {
        this._handleEndedClaim();
      },
    });
  }

  /** Epoch of this entry's scheduler; undefined while this entry is not elected. */
  get epoch(): number | undefined {
    return this._epoch;
  }

  /**
   * When the last request was sent by which the store confirmed the election of this entry, on the
   * monotonic clock, in milliseconds.
   */
  get confirmedAt(): number {
    return this._confirmedAt;
  }

  /**
   * Applies a change of the key; one that is older than the known state is ignored.
   * @param change - The change.
   */
  applyChange(change: StoreChange): void {
    if (this._state.applyChange(change)) {
      this._followState();
    }
  }

  /**
   * Applies the state of the key as found in a listing; one that is older than the known state is
   * ignored.
   * @param entry - The key; undefined if the listing does not contain it.
   * @param revision - Revision of the listing.
   */
  applyListing(entry: StoreChange | undefined, revision: number): void {
    if (entry !== undefined) {
      this.applyChange(entry);
    } else if (this._state.applyAbsence(revision)) {
      this._followState();
    }
  }

  /** Claims the key if it is known to be free; called when this entry may have become eligible. */
  reconsider(): void {
    if (this._state.version > 0) {
      this._followState();
    }
  }

  /**
   * Gives the pool up, so that another entry is elected. This entry takes part again after the
   * others had time to claim the key.
   * @param reason - Why this entry cannot schedule the pool.
   */
  resign(reason: string): void {
    if (this._epoch === undefined) {
      return;
    }
    const { clock, log, pool, leaseMs } = this._deps;
    log.warn("This entry gives up a pool that it cannot schedule; others can claim it.", {
      ...{ pool, epoch: this._epoch, reason },
    });
    this._mayClaimFrom = clock.now() + leaseMs + RESIGN_MARGIN_MS;
    this._stepDown();
    this._followState();
  }

  /** Stops taking part and releases the key, so that another entry can claim it immediately. */
  async stop(): Promise<void> {
    this._isStopped = true;
    this._renewer?.stop();
    this._reader.stop();
    await this._lease.release();
  }

  /**
   * Handles a refused transaction or order, which shows that this entry is no longer the scheduler.
   */
  handleSuperseded(): void {
    this._stepDown();
    void this._reader.read();
  }

  /**
   * Does what the known state of the key asks for: steps down, becomes the scheduler, or claims.
   * @param confirmedAt - When the call was sent by which the store confirmed a claim, if it did.
   */
  private _followState(confirmedAt = Number.NEGATIVE_INFINITY): void {
    const { exists, revision } = this._state;
    if (this._epoch !== undefined && (!exists || revision !== this._epoch)) {
      this._stepDown();
    }
    if (this._isStopped || this._epoch !== undefined || this._adoptOwnKey(confirmedAt)) {
      return;
    }
    if (this._isClaimable()) {
      this._scheduleRead();
      this._claimer.schedule();
      return;
    }
    this._reader.cancel();
    // A later claim needs a lease that has not ended by then; a late claim must not be written.
    void this._lease.release();
  }

  /**
   * Becomes the scheduler if the key is one that this entry claimed. If the response to the claim
   * has not arrived, only a renewal confirms the election.
   */
  private _adoptOwnKey(confirmedAt: number): boolean {
    const { record, revision } = this._state;
    if (record?.process !== this._deps.identity.process || revision <= this._lastEpoch) {
      return false;
    }
    if (this._lease.id === undefined || !this._mayTakePart()) {
      // The key is bound to a lease that was given up or is to be, since the pool needs another entry.
      this._lastEpoch = revision;
      void this._lease.release();
      return false;
    }
    this._confirmedAt = confirmedAt;
    this._becomeScheduler(revision, this._lease.id);
    return true;
  }

  private _scheduleRead(): void {
    if (!this._reader.isScheduled) {
      this._reader.schedule(MAX_FREE_KEY_READ_MS * (1 - this._deps.random.next() / 2));
    }
  }

  /** Whether this entry could do the work, and has not just given the pool up. */
  private _mayTakePart(): boolean {
    const { clock, isEligible } = this._deps;
    return !this._isStopped && clock.now() >= this._mayClaimFrom && isEligible();
  }

  /**
   * Handles the end of a claim. Changes that arrived meanwhile led to no further claim, so the key
   * is read, unless it is known to have a holder.
   */
  private _handleEndedClaim(): void {
    this._followState();
    if (this._epoch !== undefined) {
      return;
    }
    if (!this._mayTakePart()) {
      void this._lease.release();
    }
    if (this._isClaimable()) {
      this._reader.schedule(RETRY_MS);
    }
  }

  /** Notes that the store confirmed an epoch in response to a call that was sent at a time. */
  private _confirm(epoch: number, sentAt: number): void {
    if (epoch === this._epoch) {
      this._confirmedAt = Math.max(this._confirmedAt, sentAt);
    }
  }

  /**
   * Whether the key names no other entry. A value that cannot be parsed names none. A key of this
   * entry is one of a former process or of an epoch that was left; it is replaced under its
   * revision, which gives a new epoch.
   */
  private _isClaimable(): boolean {
    const { record } = this._state;
    return record === undefined || record.entry === this._deps.identity.entry;
  }

  private _becomeScheduler(epoch: number, lease: string): void {
    const { store, clock, log, pool, leaseMs, onElected } = this._deps;
    this._reader.cancel();
    this._epoch = epoch;
    this._lastEpoch = epoch;
    log.info("This entry was elected scheduler of a pool.", { pool, epoch });
    this._renewer = new LeaseRenewer({
      ...{ store, clock, log, pool, key: this._key, lease, leaseMs },
      onRead: (entry, sentAt) => {
        this._handleRenewal(entry, sentAt);
      },
    });
    this._renewer.start();
    onElected(epoch);
  }

  /**
   * Handles the key as read during the current epoch. Responses may arrive out of order: one with
   * an older revision is ignored, an absent key or a newer revision ends the epoch.
   */
  private _handleRenewal(entry: StoreEntry | undefined, sentAt: number): void {
    this._confirm(entry?.revision ?? 0, sentAt);
    this._state.applyRead(entry, this._state.version);
    this._followState();
  }

  private _stepDown(): void {
    if (this._epoch === undefined) {
      return;
    }
    const { log, pool, onSuperseded } = this._deps;
    log.warn("This entry is no longer the scheduler of a pool.", { pool, epoch: this._epoch });
    this._epoch = undefined;
    this._renewer?.stop();
    void this._lease.release();
    onSuperseded();
  }
}
