/**
 * Admission to one backend server: never more requests at the server than it has slots, a bounded
 * queue in order of class priority, and a refusal at once for a request that cannot be served within
 * its budget. A queued request gets its refusal the moment its budget ends.
 */
import type { Clock, Timer } from "../../protocol/platform/Clock.ts";
import type { Refusal } from "../../protocol/Refusal.ts";

/** A request that asks for a slot. */
export interface AdmissionRequest {
  readonly key: string;
  /** Lower goes first. */
  readonly priority: number;
  /** Longest queue that this request may join. */
  readonly queueLimit: number;
  /** When the budget ends, in monotonic milliseconds. */
  readonly deadline: number;
  /** Called once when the request gets its slot. */
  readonly admit: () => void;
  /** Called once when the request leaves the queue without a slot. */
  readonly refuse: (refusal: Refusal) => void;
}

interface QueuedRequest {
  readonly request: AdmissionRequest;
  readonly timer: Timer;
}

/** Weight of the newest service time in the moving average. */
const SERVICE_TIME_WEIGHT = 0.05;
const INITIAL_SERVICE_TIME_MS = 5;
const MIN_RETRY_AFTER_SECONDS = 1;
const MS_PER_SECOND = 1_000;
/** Longest queue for each slot: a longer one adds latency but no throughput. */
const MAX_QUEUED_PER_SLOT = 2;

/** Slots and queue of one backend server. */
export class AdmissionQueue {
  private readonly _clock: Clock;
  private readonly _queue: QueuedRequest[] = [];
  private _slots: number;
  private _inUse = 0;
  private _externalSlots = 0;
  private _draining = false;
  private _serviceTimeMs = INITIAL_SERVICE_TIME_MS;

  /**
   * Creates an empty queue.
   * @param clock - Monotonic clock.
   * @param slots - Slots of the backend server.
   */
  constructor(clock: Clock, slots: number) {
    this._clock = clock;
    this._slots = slots;
  }

  /** Slots held by requests of this agent. */
  get inUse(): number {
    return this._inUse;
  }

  /** Slots held by requests that this agent did not admit. */
  get externalSlots(): number {
    return this._externalSlots;
  }

  /** Requests that wait. */
  get queued(): number {
    return this._queue.length;
  }

  /** Requests that hold a slot or wait. */
  get load(): number {
    return this._inUse + this._queue.length;
  }

  /** Moving average of the time that a request holds a slot, in milliseconds. */
  get serviceTimeMs(): number {
    return this._serviceTimeMs;
  }

  /**
   * Sets the number of slots.
   * @param slots - Slots of the backend server.
   */
  setSlots(slots: number): void {
    this._slots = slots;
    this._admitNext();
  }

  /**
   * Sets how many slots are held by requests that this agent did not admit, for example those that
   * an earlier incarnation left behind.
   * @param externalSlots - Number of slots.
   */
  setExternalSlots(externalSlots: number): void {
    this._externalSlots = externalSlots;
    this._admitNext();
  }

  /** Refuses all that wait and all that come. */
  drain(): void {
    this._draining = true;
    this._queue.splice(0).forEach((queued) => {
      queued.timer.cancel();
      queued.request.refuse(AdmissionQueue._createDrainingRefusal());
    });
  }

  /** Admits again after a drain that was taken back. */
  resume(): void {
    this._draining = false;
  }

  /**
   * Offers a request. It is admitted at once, queued, or refused.
   * @param request - The request.
   */
  offer(request: AdmissionRequest): void {
    const refusal = this._findRefusal(request);
    if (refusal !== undefined) {
      request.refuse(refusal);
      return;
    }
    if (this._hasFreeSlot() && this._queue.length === 0) {
      this._inUse += 1;
      request.admit();
      return;
    }
    this._enqueue(request);
  }

  /**
   * Takes a waiting request out of the queue without calling it back.
   * @param key - Key of the request.
   * @returns Whether the request was waiting.
   */
  withdraw(key: string): boolean {
    const index = this._queue.findIndex((queued) => queued.request.key === key);
    if (index < 0) {
      return false;
    }
    this._queue.splice(index, 1).forEach((queued) => {
      queued.timer.cancel();
    });
    return true;
  }

  /**
   * Frees a slot.
   * @param heldMs - How long the slot was held, in milliseconds.
   */
  release(heldMs: number): void {
    this._inUse -= 1;
    this._serviceTimeMs += (heldMs - this._serviceTimeMs) * SERVICE_TIME_WEIGHT;
    this._admitNext();
  }

  private _hasFreeSlot(): boolean {
    return this._inUse + this._externalSlots < this._slots;
  }

  private _findRefusal(waiter: AdmissionRequest): Refusal | undefined {
    if (this._draining) {
      return AdmissionQueue._createDrainingRefusal();
    }
    const left = waiter.deadline - this._clock.now();
    if (left <= 0) {
      return AdmissionQueue._createDeadlineRefusal();
    }
    if (this._hasFreeSlot() && this._queue.length === 0) {
      return undefined;
    }
    const waitMs = this._getExpectedWaitMs(waiter.priority);
    if (
      this._queue.length >= Math.min(waiter.queueLimit, this._slots * MAX_QUEUED_PER_SLOT) ||
      waitMs >= left
    ) {
      return this._createOverloadedRefusal(waitMs);
    }
    return undefined;
  }

  private _getExpectedWaitMs(priority: number): number {
    const ahead = this._queue.filter((place) => place.request.priority <= priority).length;
    return ((ahead + 1) * this._serviceTimeMs) / Math.max(1, this._slots);
  }

  private _enqueue(waiter: AdmissionRequest): void {
    const timer = this._clock.after(waiter.deadline - this._clock.now(), () => {
      if (this.withdraw(waiter.key)) {
        waiter.refuse(AdmissionQueue._createDeadlineRefusal());
      }
    });
    const index = this._queue.findIndex((place) => place.request.priority > waiter.priority);
    this._queue.splice(index < 0 ? this._queue.length : index, 0, { request: waiter, timer });
  }

  private _admitNext(): void {
    while (this._hasFreeSlot()) {
      const place = this._queue.shift();
      if (place === undefined) {
        return;
      }
      place.timer.cancel();
      this._admitOrRefuse(place.request);
    }
  }

  private _admitOrRefuse(waiter: AdmissionRequest): void {
    if (waiter.deadline <= this._clock.now()) {
      waiter.refuse(AdmissionQueue._createDeadlineRefusal());
      return;
    }
    this._inUse += 1;
    waiter.admit();
  }

  private _createOverloadedRefusal(waitMs: number): Refusal {
    const seconds = Math.ceil(waitMs / MS_PER_SECOND);
    return {
      code: "overloaded",
      verdict: "not-run",
      detail: `${this._queue.length} requests wait for ${this._slots} slots`,
      retryAfterSeconds: Math.max(MIN_RETRY_AFTER_SECONDS, seconds),
    };
  }

  private static _createDrainingRefusal(): Refusal {
    return {
      code: "draining",
      verdict: "not-run",
      detail: "the backend server is shutting down",
      retryAfterSeconds: MIN_RETRY_AFTER_SECONDS,
    };
  }

  private static _createDeadlineRefusal(): Refusal {
    return {
      code: "deadline-exceeded",
      verdict: "not-run",
      detail: "the budget ended before a slot was free",
      retryAfterSeconds: MIN_RETRY_AFTER_SECONDS,
    };
  }
}
