/**
 * Load balancing by the power of two choices, with the expected latency as the cost.
 */
import type { ServerState } from "../ServerState.ts";
import { getExpectedLatencyMs } from "./expectedLatency.ts";
import { TwoChoicesPicker } from "./TwoChoicesPicker.ts";

/** Picks the faster of two random candidates. */
export class TwoChoicesLatencyPicker extends TwoChoicesPicker {
  protected override getCost(server: ServerState): number {
    return getExpectedLatencyMs(server);
  }
}
