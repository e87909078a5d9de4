/**
 * Clock of a simulated process that can be frozen: its timers fire late, and what it waits for is
 * noticed late.
 */
import { Clock, type Timer } from "../../../src/protocol/platform/Clock.ts";

/** Clock of a process that can be frozen. */
export class FreezableClock extends Clock {
  private readonly _base: Clock;
  private _frozenUntil = Number.NEGATIVE_INFINITY;

  /**
   * Creates the clock of a process that runs.
   * @param base - Clock of the simulation.
   */
  constructor(base: Clock) {
    super();
    this._base = base;
  }

  override now(): number {
    return this._base.now();
  }

  override after(delayMs: number, callback: () => void): Timer {
    let timer = this._base.after(delayMs, () => {
      fire();
    });
    const fire = (): void => {
      const leftMs = this._frozenUntil - this._base.now();
      if (leftMs > 0) {
        timer = this._base.after(leftMs, fire);
      } else {
        callback();
      }
    };
    return {
      cancel: () => {
        timer.cancel();
      },
    };
  }

  /**
   * Freezes the process.
   * @param durationMs - For how long, in milliseconds.
   */
  freeze(durationMs: number): void {
    this._frozenUntil = Math.max(this._frozenUntil, this._base.now() + durationMs);
  }

  /** Resolves once the process runs. */
  async whenRunning(): Promise<void> {
    const leftMs = this._frozenUntil - this._base.now();
    if (leftMs > 0) {
      await this._base.sleep(leftMs);
      await this.whenRunning();
    }
  }
}
