/**
 * Checks the history of tasks in the journals of the workers.
 */
import type { Resources } from "../../src/protocol/Resources.ts";
import { fits } from "../../src/protocol/Resources.ts";
import type { WorkerEvent } from "../worker/WorkerJournal.ts";

type StartEvent = Extract<WorkerEvent, { event: "start" }>;

interface StepLocation {
  readonly vm: string;
  readonly attempt: number;
}

/**
 * Finds overcommitted VMs, tasks that ran twice and tasks that lost their progress.
 * @param events - Journals of all workers, ordered by time.
 * @returns One sentence for each violation.
 */
export function findTaskViolations(events: readonly WorkerEvent[]): readonly string[] {
  return [...findOvercommitted(events), ...findStaleSteps(events), ...findLostProgress(events)];
}

function findOvercommitted(events: readonly WorkerEvent[]): readonly string[] {
  const capacities = new Map<string, Resources>();
  return events.flatMap((event) => {
    if (event.event === "worker-start") {
      capacities.set(event.vm, event.capacity);
    }
    const capacity = capacities.get(event.vm);
    if (event.event !== "start" || capacity === undefined || fits(event.committed, capacity)) {
      return [];
    }
    return [`${event.vm}: ${event.task}#${event.attempt} exceeded the capacity`];
  });
}

/** Finds steps after a step of a later attempt, or of the same attempt on another VM. */
function findStaleSteps(events: readonly WorkerEvent[]): readonly string[] {
  const last = new Map<string, StepLocation>();
  return events
    .filter((event) => event.event === "step")
    .flatMap((event) => event.steps.map((step) => ({ ...step, vm: event.vm })))
    .flatMap(({ task, attempt, vm }) => {
      const before = last.get(task);
      last.set(task, { vm, attempt });
      if (before === undefined || attempt > before.attempt) {
        return [];
      }
      if (attempt === before.attempt && vm === before.vm) {
        return [];
      }
      return [
        `${task} ran as attempt ${attempt} on ${vm} after attempt ${before.attempt} on ${before.vm}`,
      ];
    });
}

/** Finds starts from a point that is neither the beginning nor a checkpoint of the task. */
function findLostProgress(events: readonly WorkerEvent[]): readonly string[] {
  const checkpoints = new Map<string, readonly number[]>();
  return events.flatMap((event) => {
    if (event.event === "checkpoint") {
      checkpoints.set(event.task, [...(checkpoints.get(event.task) ?? []), event.workMs]);
    }
    if (event.event !== "start" || isKnownCheckpoint(event, checkpoints.get(event.task) ?? [])) {
      return [];
    }
    return [
      `${event.task}#${event.attempt} started from ${event.workFromMs} ms, which is no checkpoint`,
    ];
  });
}

function isKnownCheckpoint(start: StartEvent, checkpoints: readonly number[]): boolean {
  return start.workFromMs === 0 || checkpoints.includes(start.workFromMs);
}
