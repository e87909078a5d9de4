/**
 * Lifecycle of the ownership of one partition on one entry.
 */
import { createMachine, transition } from "xstate";

/** State of a partition on this entry. */
export type OwnerState = "follower" | "acquiring" | "recovering" | "owning" | "deposed";

/** Event in the ownership of a partition on this entry. */
export type OwnerEvent = "ACQUIRE" | "ACQUIRED" | "RECOVERED" | "DEPOSED" | "RELEASED" | "FAILED";

const machine = createMachine({
  id: "owner",
  initial: "follower",
  states: {
    follower: { on: { ACQUIRE: "acquiring" } },
    acquiring: { on: { ACQUIRED: "recovering", FAILED: "follower" } },
    recovering: { on: { RECOVERED: "owning", FAILED: "follower", RELEASED: "follower" } },
    owning: { on: { DEPOSED: "deposed", RELEASED: "follower" } },
    deposed: { on: { RELEASED: "follower" } },
  },
});

/**
 * Gets the state after an event; an event that does not apply leaves the state unchanged.
 * @param state - State before the event.
 * @param event - The event.
 */
export function getNextOwnerState(state: OwnerState, event: OwnerEvent): OwnerState {
  const [next] = transition(machine, machine.resolveState({ value: state }), { type: event });
  return next.value as OwnerState;
}
