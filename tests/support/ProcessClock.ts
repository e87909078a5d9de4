/**
 * Clock of one of several simulated processes that share a manual clock.
 */
import { Clock, type Timer } from "../../src/protocol/platform/Clock.ts";
import type { ManualClock } from "./ManualClock.ts";

/** Clock of a simulated process, which can be killed, or paused while the others continue. */
export class ProcessClock extends Clock {
  private readonly _sharedClock: ManualClock;
  private _deferred: (() => void)[] = [];
  private _state: "alive" | "paused" | "dead" = "alive";

  constructor(sharedClock: ManualClock) {
    super();
    this._sharedClock = sharedClock;
  }

  override now(): number {
    return this._sharedClock.now();
  }

  override after(delayMs: number, callback: () => void): Timer {
    return this._sharedClock.after(delayMs, () => {
      this.run(callback);
    });
  }

  /** Runs a callback now, when the process resumes if it is paused, or never if it is dead. */
  run(callback: () => void): void {
    if (this._state === "alive") {
      callback();
    } else if (this._state === "paused") {
      this._deferred.push(callback);
    }
  }

  pause(): void {
    this._state = this._state === "alive" ? "paused" : this._state;
  }

  resume(): void {
    const deferred = this._deferred;
    this._deferred = [];
    this._state = this._state === "paused" ? "alive" : this._state;
    deferred.forEach((callback) => {
      callback();
    });
  }

  kill(): void {
    this._state = "dead";
  }
}
