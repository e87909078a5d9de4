/**
 * Interface of task placement: given the waiting tasks and the known VMs, decides which tasks to
 * start on which VMs and explains why the others keep waiting.
 */
import type { Resources } from "../../protocol/Resources.ts";
import type { ConfigDocument } from "../../protocol/config/ConfigDocument.ts";
import type { VmRecord } from "../../state/FleetView.ts";

/** A task that is waiting to be started. */
export interface PendingTask {
  readonly task: string;
  readonly attempt: number;
  readonly tenant: string;
  readonly kind: string;
  readonly urgent: boolean;
  readonly resources: Resources;
  /** When the task became ready, on the owner's monotonic clock, in milliseconds. */
  readonly readyAt: number;
}

/** A task whose resources count towards its tenant's quota: starting, running or stopping. */
export interface AllocatedTask {
  readonly task: string;
  readonly tenant: string;
  readonly kind: string;
  readonly agent: string;
  readonly resources: Resources;
  readonly urgent: boolean;
}

/** Input of one scheduling cycle. */
export interface PlacementInput {
  readonly now: number;
  readonly pending: readonly PendingTask[];
  readonly active: readonly AllocatedTask[];
  readonly vms: readonly VmRecord[];
  readonly cfg: ConfigDocument;
  /** Maximum number of tasks to start in this cycle. */
  readonly limit: number;
}

/** A task with the VM on which to start it. */
export interface Placement {
  readonly task: string;
  readonly agent: string;
}

/**
 * Why a task is waiting. An unschedulable task cannot run with the current VMs and quotas, and
 * blocks no other task.
 */
export interface WaitingReason {
  readonly task: string;
  readonly unschedulable: boolean;
  readonly reason: string;
}

/** Result of one scheduling cycle. */
export interface PlacementPlan {
  readonly placements: readonly Placement[];
  readonly waiting: readonly WaitingReason[];
}

/** Result of an attempt on a VM as its partition owner observed it. */
export interface AttemptResult {
  readonly agent: string;
  readonly kind: string;
  /**
   * "refused" only says that the agent did not admit the start, for example for lack of capacity.
   */
  readonly outcome: "accepted" | "refused" | "completed" | "failed";
  /** Monotonic time in milliseconds. */
  readonly now: number;
}

/** Decides where waiting tasks start. */
export abstract class Placer {
  /**
   * Plans one scheduling cycle.
   * @param input - Input of the cycle.
   */
  abstract plan(input: PlacementInput): PlacementPlan;

  /**
   * Records the outcome of a start.
   * @param agent - VM on which the task was started.
   * @param started - Whether the task ran there without an immediate failure.
   * @param now - Monotonic time in milliseconds.
   */
  abstract recordOutcome(agent: string, started: boolean, now: number): void;

  /**
   * Records the result of an attempt; placers that distinguish kinds of jobs override it.
   * @param result - Result of the attempt.
   */
  recordAttempt(result: AttemptResult): void {
    const { agent, outcome, now } = result;
    if (outcome === "completed" || outcome === "failed") {
      this.recordOutcome(agent, outcome === "completed", now);
    }
  }
}
