/**
 * Recovers the current tail latency from measurements that also cover the past: a reported latency
 * falls slowly after its cause has gone. The difference of two measurements shows the latency in
 * between.
 */

/** Time in which the weight of the past in a measurement falls to a third, in milliseconds. */
const DECAY_MS = 310;

/**
 * Maximum number of tasks whose last measurement is kept; the least recently measured one is
 * dropped first.
 */
const MAX_SAMPLES = 20_000;

interface Sample {
  readonly tailMs: number;
  readonly at: number;
}

/** Filter of the measurements of many tasks. */
export class TailLatencyFilter {
  private readonly _samples = new Map<string, Sample>();

  /**
   * Adds a measurement.
   * @param key - Key of the measured task.
   * @param tailMs - Measured tail latency in milliseconds.
   * @param now - Monotonic time in milliseconds.
   * @returns Tail latency since the previous measurement, in milliseconds.
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
    const pastWeight = Math.exp((last.at - now) / DECAY_MS);
    return Math.max(0, (tailMs - pastWeight * last.tailMs) / (1 - pastWeight));
  }
}
