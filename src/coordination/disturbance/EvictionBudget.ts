/**
 * Limits the number of evictions per service on one VM within any minute.
 */

const WINDOW_MS = 60_000;

/** Eviction budget of one VM. */
export class EvictionBudget {
  private _evictions: readonly { readonly service: string; readonly at: number }[] = [];

  /**
   * Returns whether another task may be evicted for a service.
   * @param service - The service.
   * @param maxPerMinute - Maximum number of evictions per minute.
   * @param now - Time, in milliseconds.
   */
  allows(service: string, maxPerMinute: number, now: number): boolean {
    this._evictions = this._evictions.filter(({ at }) => now - at < WINDOW_MS);
    const count = this._evictions.filter((eviction) => eviction.service === service).length;
    return count < maxPerMinute;
  }

  /**
   * Records an eviction.
   * @param service - Service for which the task is evicted.
   * @param now - Time, in milliseconds.
   */
  record(service: string, now: number): void {
    this._evictions = [...this._evictions, { service, at: now }];
  }
}
