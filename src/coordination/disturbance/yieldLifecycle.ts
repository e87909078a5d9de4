/**
 * State machine of yielding on one VM. In the phase "floored", throttling has reached its floor. If
 * a profile includes throttling, tasks are evicted for disturbance only in this phase or once all
 * are throttled to the floor.
 */
import { createMachine } from "xstate";

/** Event of the state machine. */
export interface YieldEvent {
  readonly type: "LOWERED" | "FLOORED" | "RAISED" | "RELEASED";
}

/** State machine of yielding; evaluated with xstate's pure transition function. */
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
