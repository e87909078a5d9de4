/**
 * Selects the entries to which an agent reports: the first responsive ones of a list that begins
 * with the entries of the agent's own availability zone. Each report thus goes to few entries,
 * regardless of the size of the fleet.
 */

/** Maximum number of entries to which an agent sends a report. */
const MAX_TARGETS = 2;
/** Time for which an entry that did not respond is avoided, in milliseconds. */
const FAILURE_AVOIDANCE_MS = 3_000;

/** Selects the targets of one agent's reports. */
export class ReportTargets {
  private readonly _seeds: readonly string[];
  private readonly _avoidUntil = new Map<string, number>();
  private _known: readonly string[] = [];

  /**
   * Creates a selection.
   * @param seeds - Control addresses from the settings, those of the agent's zone first.
   */
  constructor(seeds: readonly string[]) {
    this._seeds = seeds;
  }

  /**
   * Updates the live entries as reported by an entry.
   * @param addresses - Control addresses, those of the agent's zone first.
   */
  updateKnown(addresses: readonly string[]): void {
    if (addresses.length > 0) {
      this._known = addresses;
    }
  }

  /**
   * Records that an entry did not respond.
   * @param address - Its control address.
   * @param now - Monotonic time in milliseconds.
   */
  recordFailure(address: string, now: number): void {
    this._avoidUntil.set(address, now + FAILURE_AVOIDANCE_MS);
  }

  /**
   * Records that an entry responded.
   * @param address - Its control address.
   */
  recordSuccess(address: string): void {
    this._avoidUntil.delete(address);
  }

  /**
   * Gets the control addresses of the entries to report to.
   * @param now - Monotonic time in milliseconds.
   */
  getTargets(now: number): readonly string[] {
    const all = [...new Set([...this._known, ...this._seeds])];
    const available = all.filter((address) => (this._avoidUntil.get(address) ?? 0) <= now);
    return (available.length > 0 ? available : all).slice(0, MAX_TARGETS);
  }
}
