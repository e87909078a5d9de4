/**
 * Power of two choices by expected latency: the moving average of latency, stretched by the queue
 * that the request would join.
 */
import type { ServerState } from "../ServerState.ts";
import { TwoChoicesPicker } from "./TwoChoicesPicker.ts";

/** Chooses the faster of two random candidates. */
export class TwoChoicesLatencyPicker extends TwoChoicesPicker {
  protected override getCost(server: ServerState): number {
    return server.latencyMs * Math.max(1, (server.load + 1) / server.slots);
  }
}
