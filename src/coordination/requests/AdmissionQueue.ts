/**
 * Admission control for one backend server: at most as many requests in flight as the server has
 * slots, a bounded queue ordered by class priority, and an immediate rejection of requests that
 * cannot be served within their time budget. A queued request is rejected as soon as its budget
 * ends.
 */
import type { Clock, Timer } from "../../protocol/platform/Clock.ts";
import type { Refusal } from "../../protocol/Refusal.ts";

/** A request that needs a slot at the backend server. */
export interface AdmissionRequest {
  readonly key: string;
  /** Lower values are served first. */
  readonly priority: number;
  /** Queue length from which this request is rejected. */
  readonly queueLimit: number;
  /** End of the time budget, in monotonic milliseconds. */
  readonly deadline: number;
  /** Called once when the request is admitted to a slot. */
  readonly admit: () => void;
  /** Called once if the request is rejected or its deadline passes in the queue. */
  readonly refuse: (refusal: Refusal) => void;
}

interface QueuedRequest {
  readonly request: AdmissionRequest;
  readonly timer: Timer;
}

/** Weight of a new sample in the moving average of the service time. */
const SERVICE_TIME_WEIGHT = 0.05;
const INITIAL_SERVICE_TIME_MS = 5;
const MIN_RETRY_AFTER_SECONDS = 1;
const MS_PER_SECOND = 1_000;
/** Maximum number of queued requests per slot: a longer queue adds latency but no throughput. */
const MAX_QUEUED_PER_SLOT = 2;

/** Admission queue of one backend server. */
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

  /** Number of slots in use by requests that this agent admitted. */
  get inUse(): number {
    return this._inUse;
  }

  /** Number of slots in use by requests that this agent did not admit. */
  get externalSlots(): number {
    return this._externalSlots;
  }

  /** Number of queued requests. */
  get queued(): number {
    return this._queue.length;
  }

  /** Number of requests that are admitted or queued. */
  get load(): number {
    return this._inUse + this._queue.length;
  }

  /** Moving average of the time for which a request occupies a slot, in milliseconds. */
  get serviceTimeMs(): number {
    return this._serviceTimeMs;
  }

  /**
   * Sets the number of slots and admits queued requests to free ones.
   * @param slots - Slots of the backend server.
   */
  setSlots(slots: number): void {
    this._slots = slots;
    this._admitNext();
  }

  /**
   * Sets how many slots are in use by requests that this agent did not admit, for example requests
   * of an earlier incarnation of the agent that are still running.
   * @param externalSlots - Number of slots.
   */
  setExternalSlots(externalSlots: number): void {
    this._externalSlots = externalSlots;
    this._admitNext();
  }

  /** Rejects all queued requests and all further ones. */
  drain(): void {
    this._draining = true;
    this._queue.splice(0).forEach((queued) => {
      queued.timer.cancel();
      queued.request.refuse(AdmissionQueue._createDrainingRefusal());
    });
  }

  /** Accepts requests again after a drain was cancelled. */
  resume(): void {
    this._draining = false;
  }

  /**
   * Admits a request, queues it or rejects it.
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
   * Removes a queued request without calling back.
   * @param key - Key of the request.
   * @returns Whether the request was queued.
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
   * Frees a slot and admits the next queued request.
   * @param inUseMs - Time for which the slot was in use, in milliseconds.
   */
  release(inUseMs: number): void {
    this._inUse -= 1;
    this._serviceTimeMs += (inUseMs - this._serviceTimeMs) * SERVICE_TIME_WEIGHT;
    this._admitNext();
  }

  private _hasFreeSlot(): boolean {
    return this._inUse + this._externalSlots < this._slots;
  }

  private _findRefusal(request: AdmissionRequest): Refusal | undefined {
    if (this._draining) {
      return AdmissionQueue._createDrainingRefusal();
    }
    const remainingMs = request.deadline - this._clock.now();
    if (remainingMs <= 0) {
      return AdmissionQueue._createDeadlineRefusal();
    }
    if (this._hasFreeSlot() && this._queue.length === 0) {
      return undefined;
    }
    const waitMs = this._getExpectedWaitMs(request.priority);
    if (
      this._queue.length >= Math.min(request.queueLimit, this._slots * MAX_QUEUED_PER_SLOT) ||
      waitMs >= remainingMs
    ) {
      return this._createOverloadedRefusal(waitMs);
    }
    return undefined;
  }

  private _getExpectedWaitMs(priority: number): number {
    const ahead = this._queue.filter((queued) => queued.request.priority <= priority).length;
    return ((ahead + 1) * this._serviceTimeMs) / Math.max(1, this._slots);
  }

  private _enqueue(request: AdmissionRequest): void {
    const timer = this._clock.after(request.deadline - this._clock.now(), () => {
      if (this.withdraw(request.key)) {
        request.refuse(AdmissionQueue._createDeadlineRefusal());
      }
    });
    const index = this._queue.findIndex((queued) => queued.request.priority > request.priority);
    this._queue.splice(index < 0 ? this._queue.length : index, 0, { request, timer });
  }

  private _admitNext(): void {
    while (this._hasFreeSlot()) {
      const next = this._queue.shift();
      if (next === undefined) {
        return;
      }
      next.timer.cancel();
      this._admitOrRefuse(next.request);
    }
  }

  private _admitOrRefuse(request: AdmissionRequest): void {
    if (request.deadline <= this._clock.now()) {
      request.refuse(AdmissionQueue._createDeadlineRefusal());
      return;
    }
    this._inUse += 1;
    request.admit();
  }

  private _createOverloadedRefusal(waitMs: number): Refusal {
    const seconds = Math.ceil(waitMs / MS_PER_SECOND);
    return {
      code: "overloaded",
      verdict: "not-run",
      detail: `${this._queue.length} requests are queued for ${this._slots} slots`,
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
      detail: "the time budget ended before a slot became free",
      retryAfterSeconds: MIN_RETRY_AFTER_SECONDS,
    };
  }
}
