/**
 * Claims the key of a pool's scheduler for one entry: after a short random delay, with a lease, and
 * under the revision that the entry knows. One claim is under way at a time.
 */
import type { Clock } from "../../protocol/platform/Clock.ts";
import type { Log } from "../../protocol/platform/Log.ts";
import type { RandomSource } from "../../protocol/platform/RandomSource.ts";
import type { Store, StoreFailure } from "../../protocol/platform/Store.ts";
import type { SchedulerRecord } from "../../state/pool/records.ts";
import type { SchedulerKeyState } from "./SchedulerKeyState.ts";
import type { SchedulerLease } from "./SchedulerLease.ts";

/**
 * Maximum random delay of a claim, in milliseconds, so that claims of several entries rarely
 * collide.
 */
const MAX_CLAIM_JITTER_MS = 30;

/** Dependencies of SchedulerKeyClaimer. */
export interface SchedulerKeyClaimerDependencies {
  readonly store: Store;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: Log;
  readonly pool: string;
  readonly key: string;
  readonly identity: SchedulerRecord;
  /** Known state of the key, to which the result of a claim is applied. */
  readonly state: SchedulerKeyState;
  readonly lease: SchedulerLease;
  /** Delay of a claim beyond the random one, in milliseconds. */
  readonly claimDelayMs: number;
  /** Whether the key may be claimed now. */
  readonly mayClaim: () => boolean;
  /** Called after a claim was written; `sentAt` is when it was begun, in milliseconds. */
  readonly onWritten: (revision: number, sentAt: number) => void;
  /** Called at the end of each claim, whatever became of it; schedules no other claim yet. */
  readonly onEnded: () => void;
}

/** Claims one key. */
export class SchedulerKeyClaimer {
  private readonly _deps: SchedulerKeyClaimerDependencies;
  private _isClaiming = false;

  /**
   * Creates a claimer; it claims nothing by itself.
   * @param deps - Dependencies.
   */
  constructor(deps: SchedulerKeyClaimerDependencies) {
    this._deps = deps;
  }

  /** Schedules a claim, unless the key may not be claimed or a claim is under way. */
  schedule(): void {
    const { clock, random, claimDelayMs, mayClaim } = this._deps;
    if (this._isClaiming || !mayClaim()) {
      return;
    }
    this._isClaiming = true;
    clock.after(claimDelayMs + MAX_CLAIM_JITTER_MS * random.next(), () => {
      void this._claim();
    });
  }

  private async _claim(): Promise<void> {
    const { lease, clock, mayClaim, onEnded } = this._deps;
    const sentAt = clock.now();
    const id = mayClaim() ? await lease.acquire() : undefined;
    if (id !== undefined && mayClaim()) {
      await this._write(id, sentAt);
    }
    onEnded();
    this._isClaiming = false;
  }

  private async _write(lease: string, sentAt: number): Promise<void> {
    const { store, log, pool, key, identity, state, onWritten } = this._deps;
    const { exists, record, revision, version } = state;
    if (exists && record === undefined) {
      log.warn("The key of a pool's scheduler names no entry; it is replaced.", { pool });
    }
    const write = { key, value: JSON.stringify(identity), lease };
    const written = await store.write({ ...write, expected: exists ? revision : 0 });
    if (written.isErr()) {
      this._handleFailure(lease, written.error);
    } else if (written.value.kind === "conflict") {
      state.applyRead(written.value.current, version);
    } else {
      state.applyChange({ ...write, revision: written.value.revision });
      onWritten(written.value.revision, sentAt);
    }
  }

  /** Handles a claim of which it is unknown whether it is written, or whose lease has ended. */
  private _handleFailure(lease: string, { kind, detail }: StoreFailure): void {
    const { log, pool } = this._deps;
    log.debug("A claim of a pool failed; its key is read.", { pool, reason: detail });
    if (kind === "lease-lost") {
      this._deps.lease.forget(lease);
    }
  }
}
