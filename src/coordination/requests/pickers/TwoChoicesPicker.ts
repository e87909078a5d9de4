/**
 * Load balancing by the power of two choices: picks two random candidates and takes the one with
 * the lower cost. Subclasses define the cost.
 */
import type { RandomSource } from "../../../protocol/platform/RandomSource.ts";
import type { ServerState } from "../ServerState.ts";
import { ServerPicker } from "./ServerPicker.ts";

/** Picks the cheaper of two random candidates. */
export abstract class TwoChoicesPicker extends ServerPicker {
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
    const first = this._random.nextInt(candidates.length);
    const other = this._random.nextInt(Math.max(1, candidates.length - 1));
    const second = other >= first ? other + 1 : other;
    const a = candidates[first];
    const b = candidates[second] ?? a;
    if (a === undefined || b === undefined) {
      return a;
    }
    return this.getCost(b) < this.getCost(a) ? b : a;
  }

  /**
   * Returns the cost of sending a request to a server.
   * @param server - The server.
   */
  protected abstract getCost(server: ServerState): number;
}
