/**
 * Power of two choices by expected latency.
 */
import type { ServerState } from "../ServerState.ts";
import { getExpectedLatencyMs } from "./expectedLatency.ts";
import { TwoChoicesPicker } from "./TwoChoicesPicker.ts";

/** Chooses the faster of two random candidates. */
export class TwoChoicesLatencyPicker extends TwoChoicesPicker {
  protected override getCost(server: ServerState): number {
    return getExpectedLatencyMs(server);
  }
}
