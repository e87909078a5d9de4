/**
 * Lifecycle of a held task as its owner follows it, from the queued start record to the queued end
 * record. The ledger holds what is certain; this holds what is under way.
 */
import { createMachine, transition } from "xstate";

/** State of a held task. */
export type TaskState =
  /** The start record is not in the log yet; no agent knows of the attempt. */
  | "recording"
  /** The agent was told to start the attempt and has not answered. */
  | "starting"
  /** The agent runs the attempt under a lease of this owner. */
  | "running"
  /** A former owner started the attempt; its agent has not reported it to this owner. */
  | "unconfirmed"
  /**
   * The answer to the start was lost; the agent is asked to stop the attempt, unless it reports
   * first that it runs.
   */
  | "unanswered"
  /** Nobody knows whether the attempt runs; the agent is asked to stop it. */
  | "settling"
  /** The agent is asked to take a checkpoint and to stop the attempt. */
  | "evicting"
  /** The attempt certainly does not run; the end record is not in the log yet. */
  | "ending";

/** What happens to a held task. */
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
 * Gives the state after an event; an event without meaning in a state leaves it as it is.
 * @param state - State before.
 * @param event - What happens.
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
