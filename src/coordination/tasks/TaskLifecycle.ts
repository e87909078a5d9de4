/**
 * State machine of an attempt on one VM. An order to stop leads from `starting` or `running` to
 * `stopping`; every other transition out of `starting` or `stopping` needs a confirmation by the
 * worker. No transition leaves an end phase.
 */
import { createMachine, transition } from "xstate";
import type { TaskPhase } from "./TaskRecord.ts";

/** Event of an attempt. */
export type TaskEventType =
  /** The worker accepted the start. */
  | "accepted"
  /**
   * The attempt must stop: by order, because its lease expired, or because the outcome of its start
   * is unknown.
   */
  | "stop"
  /** The worker confirmed that the attempt was stopped. */
  | "stopped"
  /** The worker reported that the attempt completed. */
  | "completed"
  /** The worker reported that the attempt failed. */
  | "failed";

const END_TRANSITIONS = { stopped: "stopped", completed: "completed", failed: "failed" } as const;

const taskMachine = createMachine({
  id: "task",
  initial: "starting",
  types: {} as { events: { type: TaskEventType } },
  states: {
    starting: { on: { accepted: "running", stop: "stopping", ...END_TRANSITIONS } },
    running: { on: { stop: "stopping", ...END_TRANSITIONS } },
    stopping: { on: END_TRANSITIONS },
    stopped: { type: "final" },
    completed: { type: "final" },
    failed: { type: "final" },
  },
});

/**
 * Returns the phase after an event; an event that does not apply leaves the phase unchanged.
 * @param phase - Current phase.
 * @param event - The event.
 */
export function getNextPhase(phase: TaskPhase, event: TaskEventType): TaskPhase {
  const [next] = transition(taskMachine, taskMachine.resolveState({ value: phase }), {
    type: event,
  });
  return next.value as TaskPhase;
}
