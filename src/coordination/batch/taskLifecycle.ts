/**
 * Lifecycle of an active task as its owner tracks it, from the queued start record to the queued
 * end record. The ledger holds committed facts; this state covers what is in progress.
 */
import { createMachine, transition } from "xstate";

/** State of an active task. */
export type TaskState =
  /** The start record is not in the log yet; no agent knows about the attempt. */
  | "recording"
  /** The start order was sent and the agent has not responded yet. */
  | "starting"
  /** The agent runs the attempt under a lease of this owner. */
  | "running"
  /** A previous owner started the attempt; its agent has not reported it to this owner yet. */
  | "unconfirmed"
  /**
   * The response to the start order was lost; the agent is told to stop the attempt, unless it
   * first reports it as running.
   */
  | "unanswered"
  /**
   * It is unknown whether the attempt runs, or its job is cancelled; the agent is told to stop it.
   */
  | "settling"
  /** The agent is told to take a checkpoint and stop the attempt. */
  | "evicting"
  /** The attempt certainly no longer runs; the end record is not in the log yet. */
  | "ending";

/** Event in the lifecycle of an active task. */
export type TaskEvent =
  "RECORDED" | "ACCEPTED" | "LOST" | "REPORTED" | "MISSING" | "EVICT" | "CANCEL" | "ENDED";

const machine = createMachine({
  id: "task",
  initial: "recording",
  states: {
    recording: { on: { RECORDED: "starting", ENDED: "ending" } },
    starting: {
      on: {
        ACCEPTED: "running",
        REPORTED: "running",
        LOST: "unanswered",
        EVICT: "evicting",
        CANCEL: "settling",
        ENDED: "ending",
      },
    },
    running: {
      on: { MISSING: "settling", EVICT: "evicting", CANCEL: "settling", ENDED: "ending" },
    },
    unconfirmed: {
      on: {
        REPORTED: "running",
        MISSING: "settling",
        EVICT: "evicting",
        CANCEL: "settling",
        ENDED: "ending",
      },
    },
    unanswered: {
      on: { REPORTED: "running", EVICT: "evicting", CANCEL: "settling", ENDED: "ending" },
    },
    settling: { on: { ENDED: "ending" } },
    evicting: { on: { CANCEL: "settling", ENDED: "ending" } },
    ending: {},
  },
});

const nextStates = new Map<string, TaskState>();

/**
 * Gets the state after an event; an event that does not apply leaves the state unchanged.
 * @param state - State before the event.
 * @param event - The event.
 */
export function getNextTaskState(state: TaskState, event: TaskEvent): TaskState {
  const key = `${state} ${event}`;
  const known = nextStates.get(key);
  if (known !== undefined) {
    return known;
  }
  const [next] = transition(machine, machine.resolveState({ value: state }), { type: event });
  const value = next.value as TaskState;
  nextStates.set(key, value);
  return value;
}
