/**
 * Record of one attempt at a task, as the agent knows it.
 */
import type { Resources } from "../../protocol/Resources.ts";
import type { TaskKey } from "./TaskKey.ts";

/** Phase of an attempt on this VM. */
export type TaskPhase =
  /** The worker has been asked to start the attempt and has not replied. */
  | "starting"
  | "running"
  /** The worker has been or will be asked to stop the attempt and has not confirmed. */
  | "stopping"
  | "stopped"
  | "completed"
  | "failed";

/** Phases in which the worker has confirmed that the attempt is not running. */
export type EndPhase = "stopped" | "completed" | "failed";

/** One attempt at a task. */
export interface TaskRecord extends TaskKey {
  readonly partition: number;
  readonly epoch: number;
  readonly ownerAddress: string;
  readonly kind: string;
  readonly tenant: string;
  readonly phase: TaskPhase;
  /** Resources declared in the start order. */
  readonly resources: Resources;
  /** Usage last reported by the worker. */
  readonly used: Resources;
  readonly checkpoint: string;
  readonly progress: number;
  readonly throttlePercent: number;
  /** Why the attempt ended or must stop. */
  readonly reason: string;
  /** Whether to take a checkpoint before the attempt is stopped. */
  readonly checkpointFirst: boolean;
  /** End of the lease, on the agent's monotonic clock, in milliseconds. */
  readonly leaseUntil: number;
  /** Time of the last phase change, on the agent's monotonic clock, in milliseconds. */
  readonly changedAt: number;
}

/** Outcome of an ended attempt. */
export interface TaskEnd {
  readonly phase: EndPhase;
  readonly checkpoint: string;
  readonly progress: number;
  readonly reason: string;
}

/**
 * Returns whether the worker has confirmed that an attempt is not running.
 * @param phase - Phase of the attempt.
 */
export function isEndPhase(phase: TaskPhase): phase is EndPhase {
  return phase === "stopped" || phase === "completed" || phase === "failed";
}
