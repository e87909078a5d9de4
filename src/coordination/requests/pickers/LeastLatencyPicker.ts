/**
 * Load balancing by the least expected latency among all candidates. The search starts at a random
 * candidate, so that equal servers share the load.
 */
import type { RandomSource } from "../../../protocol/platform/RandomSource.ts";
import type { ServerState } from "../ServerState.ts";
import { getExpectedLatencyMs } from "./expectedLatency.ts";
import { ServerPicker } from "./ServerPicker.ts";

/** Picks the candidate with the least expected latency. */
export class LeastLatencyPicker extends ServerPicker {
  private readonly _random: RandomSource;

  /**
   * Creates the picker.
   * @param random - Source of random numbers.
   */
  constructor(random: RandomSource) {
    super();
    this._random = random;
  }

  override pick(candidates: readonly ServerState[]): ServerState | undefined {
    const start = this._random.nextInt(candidates.length);
    const rotated = [...candidates.slice(start), ...candidates.slice(0, start)];
    return rotated.reduce((best, server) =>
      getExpectedLatencyMs(server) < getExpectedLatencyMs(best) ? server : best,
    );
  }
}
