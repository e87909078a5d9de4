/**
 * Power of two choices by load for each slot.
 */
import type { ServerState } from "../ServerState.ts";
import { TwoChoicesPicker } from "./TwoChoicesPicker.ts";

/** Chooses the less loaded of two random candidates. */
export class TwoChoicesLoadPicker extends TwoChoicesPicker {
  protected override getCost(server: ServerState): number {
    return (server.load + 1) / server.slots;
  }
}
