/**
 * Load balancing by the power of two choices, with the load per slot as the cost.
 */
import type { ServerState } from "../ServerState.ts";
import { TwoChoicesPicker } from "./TwoChoicesPicker.ts";

/** Picks the less loaded of two random candidates. */
export class TwoChoicesLoadPicker extends TwoChoicesPicker {
  protected override getCost(server: ServerState): number {
    return (server.load + 1) / server.slots;
  }
}
