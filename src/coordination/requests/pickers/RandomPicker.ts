/**
 * Uniformly random choice: a baseline.
 */
import type { RandomSource } from "../../../protocol/platform/RandomSource.ts";
import type { ServerState } from "../ServerState.ts";
import { ServerPicker } from "./ServerPicker.ts";

/** Chooses at random. */
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
    return candidates[this._random.below(candidates.length)];
  }
}
