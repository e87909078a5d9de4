/**
 * Lifecycle of an attempt on one VM. An attempt leaves `starting` or `stopping` only by what the
 * worker confirms, and nothing leads from an ended phase back to a running one.
 */
import { createMachine, transition } from "xstate";
import type { TaskPhase } from "./TaskRecord.ts";

/** What happens to an attempt. */
export type TaskEventType =
  /** The worker accepted the start. */
  | "accepted"
  /** The attempt must stop: ordered, lapsed, or its start is of unknown outcome. */
  | "stop"
  /** The worker confirmed that the attempt was stopped. */
  | "stopped"
  /** The worker reports that the attempt completed. */
  | "completed"
  /** The worker reports that the attempt failed. */
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
 * Gives the phase after an event; an event that does not apply leaves the phase as it is.
 * @param phase - Present phase.
 * @param event - What happened.
 */
export function getNextPhase(phase: TaskPhase, event: TaskEventType): TaskPhase {
  const [next] = transition(taskMachine, taskMachine.resolveState({ value: phase }), {
    type: event,
  });
  return next.value as TaskPhase;
}
