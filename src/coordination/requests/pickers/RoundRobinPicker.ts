/**
 * Round-robin load balancing, used as a baseline in benchmarks.
 */
import type { ServerState } from "../ServerState.ts";
import { ServerPicker } from "./ServerPicker.ts";

/** Picks the candidates in rotation. */
export class RoundRobinPicker extends ServerPicker {
  private _next = 0;

  override pick(candidates: readonly ServerState[]): ServerState | undefined {
    this._next += 1;
    return candidates[this._next % candidates.length];
  }
}
