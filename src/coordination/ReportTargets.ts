/**
 * Choice of the entries to which an agent reports: the first of the list that answer, those of its
 * own availability zone first, so that a report goes to few entries whatever the size of the fleet.
 */

/** Entries to which an agent reports at once. */
const MAX_TARGETS = 2;
/** Time for which an entry that did not answer is left out, in milliseconds. */
const FAILURE_AVOIDANCE_MS = 3_000;

/** Targets of one agent's reports. */
export class ReportTargets {
  private readonly _seeds: readonly string[];
  private readonly _avoidUntil = new Map<string, number>();
  private _known: readonly string[] = [];

  /**
   * Creates the targets.
   * @param seeds - Control addresses from the settings, those of the own zone first.
   */
  constructor(seeds: readonly string[]) {
    this._seeds = seeds;
  }

  /**
   * Takes in the entries that an entry knows to live.
   * @param addresses - Control addresses, those of the agent's zone first.
   */
  updateKnown(addresses: readonly string[]): void {
    if (addresses.length > 0) {
      this._known = addresses;
    }
  }

  /**
   * Notes that an entry did not answer.
   * @param address - Its control address.
   * @param now - Monotonic time in milliseconds.
   */
  recordFailure(address: string, now: number): void {
    this._avoidUntil.set(address, now + FAILURE_AVOIDANCE_MS);
  }

  /**
   * Notes that an entry answered.
   * @param address - Its control address.
   */
  recordSuccess(address: string): void {
    this._avoidUntil.delete(address);
  }

  /**
   * Gives the entries to report to.
   * @param now - Monotonic time in milliseconds.
   */
  getTargets(now: number): readonly string[] {
    const all = [...new Set([...this._known, ...this._seeds])];
    const good = all.filter((address) => (this._avoidUntil.get(address) ?? 0) <= now);
    return (good.length > 0 ? good : all).slice(0, MAX_TARGETS);
  }
}
