/**
 * A virtual clock for benchmarks: timers fire in order of time, without waiting.
 */
import { Clock, type Timer } from "../../src/protocol/platform/Clock.ts";

interface TimerEntry {
  readonly at: number;
  readonly order: number;
  readonly callback: () => void;
  cancelled: boolean;
}

/** Virtual clock that holds its timers in a binary heap. */
export class VirtualClock extends Clock {
  private readonly _heap: TimerEntry[] = [];
  private _now = 0;
  private _lastOrder = 0;

  override now(): number {
    return this._now;
  }

  override after(delayMs: number, callback: () => void): Timer {
    this._lastOrder += 1;
    const entry = {
      at: this._now + Math.max(0, delayMs),
      order: this._lastOrder,
      callback,
      cancelled: false,
    };
    this._push(entry);
    return {
      cancel: () => {
        entry.cancelled = true;
      },
    };
  }

  /**
   * Advances the time and fires all timers that are due.
   * @param timeMs - Virtual time in milliseconds.
   */
  runUntil(timeMs: number): void {
    for (let entry = this._heap[0]; entry !== undefined; entry = this._heap[0]) {
      if (entry.at > timeMs) {
        break;
      }
      this._pop();
      if (!entry.cancelled) {
        this._now = entry.at;
        entry.callback();
      }
    }
    this._now = timeMs;
  }

  private _push(entry: TimerEntry): void {
    let index = this._heap.push(entry) - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!this._swapIfBefore(index, parent)) {
        return;
      }
      index = parent;
    }
  }

  private _pop(): void {
    const last = this._heap.pop();
    if (last === undefined || this._heap.length === 0) {
      return;
    }
    this._heap[0] = last;
    let index = 0;
    for (;;) {
      const left = 2 * index + 1;
      const right = left + 1;
      const smaller = this._isBefore(right, left) ? right : left;
      if (left >= this._heap.length || !this._swapIfBefore(smaller, index)) {
        return;
      }
      index = smaller;
    }
  }

  private _isBefore(a: number, b: number): boolean {
    const first = this._heap[a];
    const second = this._heap[b];
    if (first === undefined || second === undefined) {
      return false;
    }
    return first.at < second.at || (first.at === second.at && first.order < second.order);
  }

  private _swapIfBefore(a: number, b: number): boolean {
    const first = this._heap[a];
    const second = this._heap[b];
    if (first === undefined || second === undefined || !this._isBefore(a, b)) {
      return false;
    }
    this._heap[a] = second;
    this._heap[b] = first;
    return true;
  }
}
