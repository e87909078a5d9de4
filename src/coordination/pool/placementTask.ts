/**
 * A task that is to be placed on a worker in one scheduling cycle.
 */
import type { StepDefinition } from "../../protocol/pool/JobDefinition.ts";

/** Whether a task is suspected of crashing the workers that start it. */
export type Suspicion =
  | "none"
  /** Of one crash soon after its start: it is tried on a worker on which no other task starts. */
  | "once"
  /** Of crashes at the same time after several starts: it is tried alone. */
  | "repeatedly"
  /** After some time of work: it is kept apart from others that are suspected. */
  | "later";

/** A task to be placed. */
export interface PlacementTask {
  /** Job, occurrence and step. */
  readonly stepKey: string;
  readonly definition: StepDefinition;
  /** Agents on which a run of the task is active, has failed or has stalled. */
  readonly avoidedAgents: ReadonlySet<string>;
  /** Rack on which the task must run; undefined for any. */
  readonly rack: string | undefined;
  /**
   * Whether no task of its step is running: a worker that tolerates little of it is then better
   * than none.
   */
  readonly isFirstOfStep: boolean;
  readonly suspicion: Suspicion;
}

/**
 * Returns whether a suspected task is tried apart from others.
 * @param suspicion - How the task is suspected.
 */
export function isTrial(suspicion: Suspicion): boolean {
  return suspicion === "once" || suspicion === "repeatedly";
}
