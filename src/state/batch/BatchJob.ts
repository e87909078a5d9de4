/**
 * Jobs and tasks in the ledger of a partition.
 */
import type { JobSpec } from "../../protocol/jobs/JobSpec.ts";

/** Phase of a task. A held task may run on a VM; the last three phases are final. */
export type TaskPhase = "waiting" | "held" | "completed" | "failed" | "cancelled";

/** State of a task in the ledger. */
export interface BatchTask {
  readonly phase: TaskPhase;
  /** Number of the current attempt; 0 before the first start. */
  readonly attempt: number;
  readonly failures: number;
  /** Epoch in which the current attempt was started. */
  readonly epoch: number;
  /** VM of the current or last attempt. */
  readonly agent: string;
  /** Checkpoint from which the current or next attempt starts. */
  readonly checkpoint: string;
  /** Reason for the end of the last attempt. */
  readonly reason: string;
}

/** A job with the state of its tasks. */
export interface BatchJob {
  readonly id: string;
  readonly spec: JobSpec;
  readonly cancelled: boolean;
  readonly tasks: readonly BatchTask[];
}

/** A task that has never been started. */
export const NEW_TASK: BatchTask = {
  phase: "waiting",
  attempt: 0,
  failures: 0,
  epoch: 0,
  agent: "",
  checkpoint: "",
  reason: "",
};

/**
 * Returns whether a phase is final.
 * @param phase - The phase.
 */
export function isFinal(phase: TaskPhase): boolean {
  return phase !== "waiting" && phase !== "held";
}
