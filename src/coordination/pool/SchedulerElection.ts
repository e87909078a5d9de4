/**
 * Elects the entry that schedules a pool: the one that the pool's key in the store names. The key
 * is bound to a lease, so that it is deleted when its holder fails; its revision is the scheduler's
 * epoch. The pool is protected from former schedulers not by the lease but by the check of the key
 * in every transaction and by the epoch in every order.
 */
import type { StoreChange, StoreEntry, StoreFailure } from "../../protocol/platform/Store.ts";
import { getSchedulerKey } from "../../state/pool/PoolKeys.ts";
import { LeaseRenewer } from "./LeaseRenewer.ts";
import type { SchedulerElectionDependencies } from "./SchedulerElectionDependencies.ts";
import { SchedulerKeyReader } from "./SchedulerKeyReader.ts";
import { SchedulerKeyState } from "./SchedulerKeyState.ts";
import { SchedulerLease } from "./SchedulerLease.ts";

/**
 * Maximum random delay of a claim, in milliseconds, so that claims of several entries rarely
 * collide.
 */
const MAX_CLAIM_JITTER_MS = 30;
/** Delay between a claim that failed and the read that follows it, in milliseconds. */
const RETRY_MS = 200;
/**
 * Maximum time between two reads of a key that is not known to have a holder, in milliseconds; a
 * random part of up to a half is taken off. It bounds how long a pool is without a scheduler if no
 * change of the key arrives that would lead to a claim.
 */
const MAX_FREE_KEY_READ_MS = 1_000;

/** Takes part in the election of one pool's scheduler. */
export class SchedulerElection {
  private readonly _deps: SchedulerElectionDependencies;
  private readonly _key: string;
  private readonly _state = new SchedulerKeyState();
  private readonly _reader: SchedulerKeyReader;
  private readonly _lease: SchedulerLease;
  private _epoch: number | undefined;
  /** Latest epoch that this entry held or gave up; none is adopted again once it was left. */
  private _lastEpoch = 0;
  private _confirmedAt = Number.NEGATIVE_INFINITY;
  private _isClaiming = false;
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
    this._reader = new SchedulerKeyReader({
      ...{ store: deps.store, clock: deps.clock, log: deps.log, pool: deps.pool },
      ...{ key: this._key, state: this._state },
      onRead: () => {
        this._followState();
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
      this._scheduleClaim();
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
    if (this._lease.id === undefined) {
      // The key is bound to a lease that was given up.
      this._lastEpoch = revision;
      return false;
    }
    this._confirmedAt = confirmedAt;
    this._becomeScheduler(revision, this._lease.id);
    return true;
  }

  private _scheduleClaim(): void {
    const { clock, random } = this._deps;
    if (!this._reader.isScheduled) {
      this._reader.schedule(MAX_FREE_KEY_READ_MS * (1 - random.next() / 2));
    }
    if (this._isClaiming) {
      return;
    }
    this._isClaiming = true;
    clock.after(MAX_CLAIM_JITTER_MS * random.next(), () => {
      void this._claim();
    });
  }

  /**
   * Claims the key. Changes that arrive meanwhile lead to no further claim, so the key is read
   * afterwards, unless it is known to have a holder.
   */
  private async _claim(): Promise<void> {
    if (!this._isStopped) {
      await this._writeClaim(this._deps.clock.now());
    }
    this._isClaiming = false;
    if (this._epoch !== undefined) {
      return;
    }
    if (this._isStopped || !this._isClaimable()) {
      await this._lease.release();
    } else {
      this._reader.schedule(RETRY_MS);
    }
  }

  private async _writeClaim(sentAt: number): Promise<void> {
    const { store, identity, log, pool } = this._deps;
    const lease = await this._lease.acquire();
    const isOver = this._isStopped || this._epoch !== undefined || !this._isClaimable();
    if (lease === undefined || isOver) {
      return;
    }
    const { exists, record, revision, version } = this._state;
    if (exists && record === undefined) {
      log.warn("The key of a pool's scheduler names no entry; it is replaced.", { pool });
    }
    const write = { key: this._key, value: JSON.stringify(identity), lease };
    const written = await store.write({ ...write, expected: exists ? revision : 0 });
    if (written.isErr()) {
      this._handleFailedClaim(lease, written.error);
    } else if (written.value.kind === "conflict") {
      this._state.applyRead(written.value.current, version);
      this._followState();
    } else {
      this._state.applyChange({ ...write, revision: written.value.revision });
      this._followState(sentAt);
      this._confirm(written.value.revision, sentAt);
    }
  }

  /** Handles a claim of which it is unknown whether it is written, or whose lease has ended. */
  private _handleFailedClaim(lease: string, { kind, detail }: StoreFailure): void {
    const { log, pool } = this._deps;
    log.debug("A claim of a pool failed; its key is read.", { pool, reason: detail });
    if (kind === "lease-lost") {
      this._lease.forget(lease);
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
