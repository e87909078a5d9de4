/**
 * Uniformly random load balancing, used as a baseline in benchmarks.
 */
import type { RandomSource } from "../../../protocol/platform/RandomSource.ts";
import type { ServerState } from "../ServerState.ts";
import { ServerPicker } from "./ServerPicker.ts";

/** Picks a random candidate. */
export class RandomPicker extends ServerPicker {
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
    return candidates[this._random.nextInt(candidates.length)];
  }
}
