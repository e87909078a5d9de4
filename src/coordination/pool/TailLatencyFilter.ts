/**
 * Recovers the tail latency of the moment from measures that cover the past: what a worker reports
 * falls slowly after its cause has gone. The difference of two measures shows what came in between.
 */

/** Time in which the weight of the past in a measure falls to a third, in milliseconds. */
const DECAY_MS = 310;

/** Most tasks whose last measures are kept; the ones that were measured longest ago go first. */
const MAX_SAMPLES = 20_000;

interface Sample {
  readonly tailMs: number;
  readonly at: number;
}

/** Filter over the measures of many tasks. */
export class TailLatencyFilter {
  private readonly _samples = new Map<string, Sample>();

  /**
   * Takes a measure in.
   * @param key - Task that was measured.
   * @param tailMs - Measured tail latency in milliseconds.
   * @param now - Monotonic time in milliseconds.
   * @returns Tail latency since the last measure, in milliseconds.
   */
  update(key: string, tailMs: number, now: number): number {
    const last = this._samples.get(key);
    this._samples.delete(key);
    this._samples.set(key, { tailMs, at: now });
    const [oldest] = this._samples.keys();
    if (oldest !== undefined && this._samples.size > MAX_SAMPLES) {
      this._samples.delete(oldest);
    }
    if (last === undefined || now <= last.at) {
      return tailMs;
    }
    const past = Math.exp((last.at - now) / DECAY_MS);
    return Math.max(0, (tailMs - past * last.tailMs) / (1 - past));
  }
}
