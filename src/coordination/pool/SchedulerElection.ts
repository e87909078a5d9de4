/**
 * Elects the entry that schedules a pool: the one that the pool's key in the store names. The key
 * is bound to a lease, so that it is deleted when its holder fails; its revision is the scheduler's
 * epoch. The pool is protected from former schedulers not by the lease but by the check of the key
 * in every transaction and by the epoch in every order.
 */
import type { Clock, Timer } from "../../protocol/platform/Clock.ts";
import type { Log } from "../../protocol/platform/Log.ts";
import type { RandomSource } from "../../protocol/platform/RandomSource.ts";
import type { Store, StoreChange, StoreEntry } from "../../protocol/platform/Store.ts";
import { getSchedulerKey } from "../../state/pool/PoolKeys.ts";
import { parseSchedulerRecord, type SchedulerRecord } from "../../state/pool/records.ts";

/** Renewals of the lease within its time to live, so that two may fail. */
const RENEWALS_PER_LEASE = 4;
/**
 * Maximum random delay of a claim, in milliseconds, so that claims of several entries rarely
 * collide.
 */
const MAX_CLAIM_JITTER_MS = 30;
/** Delay after a failed claim or read, in milliseconds. */
const RETRY_MS = 200;

/**
 * Maximum time between two reads of a key that is not known to have a holder, in milliseconds; a
 * random part of up to a half is taken off. It bounds how long a pool is without a scheduler if no
 * change of the key arrives that would lead to a claim.
 */
const MAX_FREE_KEY_READ_MS = 1_000;

/** Dependencies of SchedulerElection. */
export interface SchedulerElectionDependencies {
  readonly store: Store;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: Log;
  readonly pool: string;
  readonly identity: SchedulerRecord;
  /** Time to live of the lease, in milliseconds. */
  readonly leaseMs: number;
  /** Called when this entry is elected; the epoch is the revision of the key. */
  readonly onElected: (epoch: number) => void;
  /** Called when this entry is no longer the scheduler. */
  readonly onSuperseded: () => void;
}

/** State of the key as last known; every newer state is a new object. */
interface KeyState {
  readonly exists: boolean;
  /** Undefined if the key is absent or its value cannot be parsed. */
  readonly record: SchedulerRecord | undefined;
  /** Revision of the last write to the key, or one at which it was absent. */
  readonly revision: number;
}

const ABSENT: KeyState = { exists: false, record: undefined, revision: 0 };

/** Takes part in the election of one pool's scheduler. */
export class SchedulerElection {
  private readonly _deps: SchedulerElectionDependencies;
  private readonly _key: string;
  private _state: KeyState | undefined;
  private _epoch: number | undefined;
  /** Latest epoch of this entry; none is adopted again once it was left. */
  private _lastEpoch = 0;
  private _lease: string | undefined;
  private _confirmedAt = Number.NEGATIVE_INFINITY;
  private _isClaiming = false;
  private _isStopped = false;
  private _timer: Timer | undefined;
  private _readTimer: Timer | undefined;

  /**
   * Creates an election; this entry takes part once the state of the key is known.
   * @param deps - Dependencies.
   */
  constructor(deps: SchedulerElectionDependencies) {
    this._deps = deps;
    this._key = getSchedulerKey(deps.pool);
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
    if (change.revision <= (this._state?.revision ?? 0)) {
      return;
    }
    this._state = toKeyState(change);
    this._followState();
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
      return;
    }
    if (revision >= (this._state?.revision ?? 0)) {
      this._state = { exists: false, record: undefined, revision };
      this._followState();
    }
  }

  /** Stops taking part and releases the key, so that another entry can claim it immediately. */
  async stop(): Promise<void> {
    this._isStopped = true;
    this._timer?.cancel();
    this._readTimer?.cancel();
    await this._releaseLease();
  }

  /**
   * Handles a refused transaction or order, which shows that this entry is no longer the scheduler.
   */
  handleSuperseded(): void {
    this._stepDown();
    void this._readKey();
  }

  private _followState(): void {
    const { exists, record, revision } = this._state ?? ABSENT;
    if (this._epoch !== undefined && (!exists || revision !== this._epoch)) {
      this._stepDown();
    }
    if (this._isStopped || this._epoch !== undefined) {
      return;
    }
    const isOwn = record?.process === this._deps.identity.process;
    if (isOwn && revision > this._lastEpoch && this._lease !== undefined) {
      // An earlier claim succeeded, but its response was lost.
      this._becomeScheduler(revision, this._deps.clock.now());
    } else if (this._isClaimable()) {
      this._scheduleClaim();
    } else {
      this._readTimer?.cancel();
      this._readTimer = undefined;
    }
  }

  private _scheduleClaim(): void {
    const { clock, random } = this._deps;
    if (this._readTimer === undefined) {
      this._scheduleRead(MAX_FREE_KEY_READ_MS * (1 - random.next() / 2));
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
    if (!this._isStopped && this._epoch === undefined && this._isClaimable()) {
      this._scheduleRead(RETRY_MS);
    }
  }

  private _scheduleRead(delayMs: number): void {
    this._readTimer?.cancel();
    this._readTimer = this._deps.clock.after(delayMs, () => {
      this._readTimer = undefined;
      void this._readKey();
    });
  }

  private async _writeClaim(sentAt: number): Promise<void> {
    const { store, identity, leaseMs, log, pool } = this._deps;
    const lease = this._lease ?? (await store.grantLease(leaseMs)).unwrapOr(undefined);
    this._lease = lease;
    if (lease === undefined || !this._isClaimable()) {
      return;
    }
    const state = this._state ?? ABSENT;
    if (state.exists && state.record === undefined) {
      log.warn("The key of a pool's scheduler names no entry; it is replaced.", { pool });
    }
    const expected = state.exists ? state.revision : 0;
    const value = JSON.stringify(identity);
    const written = await store.write({ key: this._key, value, expected, lease });
    if (written.isErr()) {
      this._lease = written.error.kind === "lease-lost" ? undefined : lease;
    } else if (written.value.kind === "conflict") {
      this._applyRead(written.value.current, state);
    } else {
      this._applyWrittenClaim(written.value.revision, sentAt);
    }
  }

  /** Applies a successful claim, unless a later state of the key is known by now. */
  private _applyWrittenClaim(revision: number, sentAt: number): void {
    if (revision > (this._state?.revision ?? 0)) {
      this._state = { exists: true, record: this._deps.identity, revision };
      this._becomeScheduler(revision, sentAt);
    }
  }

  /**
   * Whether the key names no other entry. One that cannot be parsed names none. A key of this entry is one of a former process or of an
   * epoch that was left; it is replaced under its revision, which gives a new epoch.
   */
  private _isClaimable(): boolean {
    const record = this._state?.record;
    return record === undefined || record.entry === this._deps.identity.entry;
  }

  /** Reads the key, which leads to a new claim if it has no holder. */
  private async _readKey(): Promise<void> {
    const { store, log, pool } = this._deps;
    const state = this._state;
    const read = await store.read(this._key);
    if (this._isStopped) {
      return;
    }
    if (read.isErr()) {
      const reason = read.error.detail;
      log.debug("The key of a pool's scheduler could not be read; it is read again.", {
        ...{ pool, reason },
      });
      this._scheduleRead(RETRY_MS);
      return;
    }
    this._applyRead(read.value, state);
  }

  /**
   * Applies the key as the store returned it.
   * @param entry - The key; undefined if it is absent.
   * @param sentState - State that was known when the call was sent. The absence of the key has no
   * revision: if another state has become known since, it may be the older of the two.
   */
  private _applyRead(entry: StoreEntry | undefined, sentState: KeyState | undefined): void {
    if (entry !== undefined && entry.revision > (this._state?.revision ?? 0)) {
      this._state = toKeyState(entry);
    }
    if (entry === undefined && this._state === sentState) {
      this._state = { ...ABSENT, revision: sentState?.revision ?? 0 };
    }
    this._followState();
  }

  private _becomeScheduler(epoch: number, sentAt: number): void {
    const { log, pool, onElected } = this._deps;
    this._readTimer?.cancel();
    this._readTimer = undefined;
    this._epoch = epoch;
    this._lastEpoch = epoch;
    this._confirmedAt = sentAt;
    log.info("This entry was elected scheduler of a pool.", { pool, epoch });
    this._scheduleRenewal();
    onElected(epoch);
  }

  private _stepDown(): void {
    if (this._epoch === undefined) {
      return;
    }
    const { log, pool, onSuperseded } = this._deps;
    log.warn("This entry is no longer the scheduler of a pool.", { pool, epoch: this._epoch });
    this._epoch = undefined;
    this._timer?.cancel();
    void this._releaseLease();
    onSuperseded();
  }

  /** Gives up the lease and with it a key of this entry that is still bound to it. */
  private async _releaseLease(): Promise<void> {
    const { store, log, pool } = this._deps;
    const lease = this._lease;
    if (lease === undefined) {
      return;
    }
    this._lease = undefined;
    const revoked = await store.revokeLease(lease);
    if (revoked.isErr() && revoked.error.kind !== "lease-lost") {
      const reason = revoked.error.detail;
      log.warn("The lease of a pool's scheduler could not be revoked; it ends by itself.", {
        ...{ pool, lease, reason },
      });
    }
  }

  private _scheduleRenewal(): void {
    this._timer?.cancel();
    this._timer = this._deps.clock.after(this._deps.leaseMs / RENEWALS_PER_LEASE, () => {
      void this._renew();
    });
  }

  /**
   * Renews the lease and reads the key, since the key may be deleted while its lease is still
   * valid.
   */
  private async _renew(): Promise<void> {
    const { store, clock } = this._deps;
    const epoch = this._epoch;
    const state = this._state;
    const sentAt = clock.now();
    const [, read] = await Promise.all([this._renewLease(), store.read(this._key)]);
    if (this._epoch !== epoch || this._isStopped) {
      return;
    }
    if (read.isOk() && read.value?.revision === epoch) {
      this._confirmedAt = Math.max(this._confirmedAt, sentAt);
    } else if (read.isOk()) {
      this._applyRead(read.value, state);
    }
    if (this._epoch === epoch) {
      this._scheduleRenewal();
    }
  }

  private async _renewLease(): Promise<void> {
    const lease = this._lease;
    if (lease === undefined) {
      return;
    }
    const renewed = await this._deps.store.renewLease(lease);
    if (renewed.isErr() && renewed.error.kind === "lease-lost" && this._lease === lease) {
      this._lease = undefined;
    }
  }
}

function toKeyState({ value, revision }: StoreChange): KeyState {
  const record = value === undefined ? undefined : parseSchedulerRecord(value).unwrapOr(undefined);
  return { exists: value !== undefined, record, revision };
}
