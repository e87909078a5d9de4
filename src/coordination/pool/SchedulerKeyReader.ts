/**
 * Reads the key of a pool's scheduler at chosen times and applies it to the known state.
 */
import type { Clock, Timer } from "../../protocol/platform/Clock.ts";
import type { Log } from "../../protocol/platform/Log.ts";
import type { Store } from "../../protocol/platform/Store.ts";
import type { SchedulerKeyState } from "./SchedulerKeyState.ts";

/** Delay after a failed read, in milliseconds. */
const RETRY_MS = 200;

/** Dependencies of SchedulerKeyReader. */
export interface SchedulerKeyReaderDependencies {
  readonly store: Store;
  readonly clock: Clock;
  readonly log: Log;
  readonly pool: string;
  readonly key: string;
  /** State to which a read key is applied. */
  readonly state: SchedulerKeyState;
  /** Called after a key that was read has been applied. */
  readonly onRead: () => void;
}

/** Reads one key. */
export class SchedulerKeyReader {
  private readonly _deps: SchedulerKeyReaderDependencies;
  private _timer: Timer | undefined;
  private _isStopped = false;

  /**
   * Creates a reader; it reads nothing by itself.
   * @param deps - Dependencies.
   */
  constructor(deps: SchedulerKeyReaderDependencies) {
    this._deps = deps;
  }

  /** Whether a read is scheduled. */
  get isScheduled(): boolean {
    return this._timer !== undefined;
  }

  /**
   * Schedules a read in place of the one that is scheduled.
   * @param delayMs - Delay, in milliseconds.
   */
  schedule(delayMs: number): void {
    this.cancel();
    if (this._isStopped) {
      return;
    }
    this._timer = this._deps.clock.after(delayMs, () => {
      this._timer = undefined;
      void this.read();
    });
  }

  /** Cancels the scheduled read. */
  cancel(): void {
    this._timer?.cancel();
    this._timer = undefined;
  }

  /** Ends all reads; responses to calls in progress are ignored. */
  stop(): void {
    this._isStopped = true;
    this.cancel();
  }

  /** Reads the key; schedules another read if this one fails. */
  async read(): Promise<void> {
    const { store, log, pool, key, state, onRead } = this._deps;
    const { version } = state;
    const read = await store.read(key);
    if (this._isStopped) {
      return;
    }
    if (read.isErr()) {
      const reason = read.error.detail;
      log.debug("The key of a pool's scheduler could not be read; it is read again.", {
        ...{ pool, reason },
      });
      this.schedule(RETRY_MS);
      return;
    }
    state.applyRead(read.value, version);
    onRead();
  }
}
