/**
 * Bounds the evictions for each service on one VM within any minute.
 */

const WINDOW_MS = 60_000;

/** Evictions of the last minute. */
export class EvictionBudget {
  private _evictions: readonly { readonly service: string; readonly at: number }[] = [];

  /**
   * Tells whether a service may have another task evicted.
   * @param service - The service.
   * @param maxPerMinute - Most evictions in a minute.
   * @param now - Time, in milliseconds.
   */
  allows(service: string, maxPerMinute: number, now: number): boolean {
    this._evictions = this._evictions.filter(({ at }) => now - at < WINDOW_MS);
    const count = this._evictions.filter((eviction) => eviction.service === service).length;
    return count < maxPerMinute;
  }

  /**
   * Notes an eviction.
   * @param service - Service for which a task is evicted.
   * @param now - Time, in milliseconds.
   */
  record(service: string, now: number): void {
    this._evictions = [...this._evictions, { service, at: now }];
  }
}
