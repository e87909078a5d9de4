/**
 * What the agent knows of one attempt at a task on its VM.
 */
import type { Resources } from "../../protocol/Resources.ts";
import type { TaskKey } from "./TaskKey.ts";

/** Phase of an attempt on this VM. */
export type TaskPhase =
  /** The worker has been asked to start it and has not answered. */
  | "starting"
  | "running"
  /** The worker has been, or is to be, asked to stop it and has not confirmed. */
  | "stopping"
  | "stopped"
  | "completed"
  | "failed";

/** Phases in which the worker has confirmed that the attempt does not run. */
export type EndPhase = "stopped" | "completed" | "failed";

/** One attempt at a task. */
export interface TaskRecord extends TaskKey {
  readonly partition: number;
  readonly epoch: number;
  readonly ownerAddress: string;
  readonly kind: string;
  readonly tenant: string;
  readonly phase: TaskPhase;
  /** Amount declared at the start. */
  readonly resources: Resources;
  /** Last usage that the worker reported. */
  readonly used: Resources;
  readonly checkpoint: string;
  readonly progress: number;
  readonly throttlePercent: number;
  /** Why the attempt ended or is to stop. */
  readonly reason: string;
  /** Whether a checkpoint is to be taken before the attempt is stopped. */
  readonly checkpointFirst: boolean;
  /** End of the lease on the agent's monotonic clock, in milliseconds. */
  readonly leaseUntil: number;
  /** When the phase last changed, on the agent's monotonic clock, in milliseconds. */
  readonly changedAt: number;
}

/** What the end of an attempt leaves behind. */
export interface TaskEnd {
  readonly phase: EndPhase;
  readonly checkpoint: string;
  readonly progress: number;
  readonly reason: string;
}

/**
 * Tells whether the worker has confirmed that an attempt does not run.
 * @param phase - Phase of the attempt.
 */
export function isEndPhase(phase: TaskPhase): phase is EndPhase {
  return phase === "stopped" || phase === "completed" || phase === "failed";
}
