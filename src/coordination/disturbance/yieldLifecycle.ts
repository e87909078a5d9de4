/**
 * The phases of yielding on one VM. Evictions happen only in the phase "floored": throttling has
 * been tried as far as it goes.
 */
import { createMachine } from "xstate";

/** Event of the yielding of a VM. */
export interface YieldEvent {
  readonly type: "LOWERED" | "FLOORED" | "RAISED" | "RELEASED";
}

/** Phases of yielding; used through xstate's pure transition function. */
export const yieldMachine = createMachine({
  types: {} as { events: YieldEvent },
  id: "yield",
  initial: "calm",
  states: {
    calm: { on: { LOWERED: "throttled", FLOORED: "floored" } },
    throttled: { on: { FLOORED: "floored", RAISED: "recovering", RELEASED: "calm" } },
    floored: { on: { LOWERED: "throttled", RAISED: "recovering", RELEASED: "calm" } },
    recovering: { on: { LOWERED: "throttled", FLOORED: "floored", RELEASED: "calm" } },
  },
});
