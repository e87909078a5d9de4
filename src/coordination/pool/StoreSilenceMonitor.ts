/**
 * Tells whether the store is known not to respond to this entry, from the results of the calls that
 * its components make anyway (MonitoredStore). While it is, reads are sent at an interval, so that
 * the entry learns of the store's return without a submission being tried.
 */
import type { ResultAsync } from "neverthrow";
import type { Clock, Timer } from "../../protocol/platform/Clock.ts";
import type { Log } from "../../protocol/platform/Log.ts";
import type { Store, StoreFailure } from "../../protocol/platform/Store.ts";
import { SCHEDULER_PREFIX } from "../../state/pool/PoolKeys.ts";

/**
 * Time between two probes while the store does not respond, in milliseconds. A probe is not delayed
 * by earlier ones that wait for their timeout, since what is sent during an interruption may never
 * be answered; the store's return is noticed after this time and one round trip. With calls that
 * time out after a second, at most three probes are in progress.
 */
const PROBE_INTERVAL_MS = 400;

/** Key that probes read. It never exists, so that the response is small. */
const PROBE_KEY = SCHEDULER_PREFIX;

/** Dependencies of StoreSilenceMonitor. */
export interface StoreSilenceMonitorDependencies {
  /** Store that is probed; its calls are not observed otherwise. */
  readonly store: Store;
  readonly clock: Clock;
  readonly log: Log;
}

/** Monitors whether the store responds to one entry. */
export class StoreSilenceMonitor {
  private readonly _deps: StoreSilenceMonitorDependencies;
  private _answeredAt = Number.NEGATIVE_INFINITY;
  private _silentSince: number | undefined;
  private _probeTimer: Timer | undefined;
  private _isStopped = false;

  /**
   * Creates a monitor that assumes that the store responds.
   * @param deps - Dependencies.
   */
  constructor(deps: StoreSilenceMonitorDependencies) {
    this._deps = deps;
  }

  /** Whether the store is known not to respond. */
  get isSilent(): boolean {
    return this._silentSince !== undefined;
  }

  /** Stops probing. */
  stop(): void {
    this._isStopped = true;
    this._probeTimer?.cancel();
  }

  /**
   * Makes a call of the store and takes note of its result.
   * @param call - Makes the call.
   */
  observe<T>(call: () => ResultAsync<T, StoreFailure>): ResultAsync<T, StoreFailure> {
    const startedAt = this._deps.clock.now();
    return call()
      .andTee(() => {
        this._noteAnswer();
      })
      .orTee((failure) => {
        this._noteFailure(startedAt, failure);
      });
  }

  private _noteFailure(startedAt: number, failure: StoreFailure): void {
    if (failure.kind === "timeout") {
      this._noteTimeout(startedAt, failure.detail);
    } else if (failure.kind !== "unavailable") {
      // The store itself refused. An unavailable one may not have been reached and proves nothing.
      this._noteAnswer();
    }
  }

  private _noteAnswer(): void {
    const { clock, log } = this._deps;
    this._answeredAt = clock.now();
    if (this._silentSince === undefined) {
      return;
    }
    const silentMs = Math.round(clock.now() - this._silentSince);
    this._silentSince = undefined;
    this._probeTimer?.cancel();
    log.info("The store responds again; submissions are written.", { silentMs });
  }

  private _noteTimeout(startedAt: number, reason: string): void {
    const { clock, log } = this._deps;
    const hasAnsweredSince = this._answeredAt > startedAt;
    if (hasAnsweredSince || this.isSilent || this._isStopped) {
      return;
    }
    this._silentSince = clock.now();
    log.warn("The store does not respond; submissions are refused until it does.", { reason });
    this._probe();
  }

  /** Reads a key; the result is only observed, and the interruption has been logged. */
  private _probe(): void {
    const { store, clock } = this._deps;
    void this.observe(() => store.read(PROBE_KEY));
    this._probeTimer = clock.after(PROBE_INTERVAL_MS, () => {
      this._probe();
    });
  }
}
