/**
 * The contract of placement: from the tasks that wait and the VMs that are known, which tasks to
 * start where, and why the others wait.
 */
import type { Resources } from "../../protocol/Resources.ts";
import type { ConfigDocument } from "../../protocol/config/ConfigDocument.ts";
import type { VmRecord } from "../../state/FleetView.ts";

/** A task that waits for a start. */
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

/** A task that holds resources of its tenant's quota: starting, running or stopping. */
export interface AllocatedTask {
  readonly task: string;
  readonly tenant: string;
  readonly kind: string;
  readonly agent: string;
  readonly resources: Resources;
  readonly urgent: boolean;
}

/** Everything that one round of placement looks at. */
export interface PlacementInput {
  readonly now: number;
  readonly pending: readonly PendingTask[];
  readonly active: readonly AllocatedTask[];
  readonly vms: readonly VmRecord[];
  readonly cfg: ConfigDocument;
  /** Most tasks to start in this round. */
  readonly limit: number;
}

/** A task with the VM that it is to start on. */
export interface Placement {
  readonly task: string;
  readonly agent: string;
}

/** Why a task waits; a parked task can never run as things are and blocks nobody. */
export interface WaitingReason {
  readonly task: string;
  readonly unschedulable: boolean;
  readonly reason: string;
}

/** Result of one round. */
export interface PlacementPlan {
  readonly placements: readonly Placement[];
  readonly waiting: readonly WaitingReason[];
}

/** How an attempt on a VM went, as far as it is known. */
export interface AttemptResult {
  readonly agent: string;
  readonly kind: string;
  /** "refused" only tells that the agent did not admit the start, as for lack of room. */
  readonly outcome: "accepted" | "refused" | "completed" | "failed";
  /** Monotonic time in milliseconds. */
  readonly now: number;
}

/** Decides where waiting tasks start. */
export abstract class Placer {
  /**
   * Plans one round.
   * @param input - Everything that the round looks at.
   */
  abstract plan(input: PlacementInput): PlacementPlan;

  /**
   * Learns how a start ended.
   * @param agent - VM on which the task was started.
   * @param started - Whether the task ran there without an immediate failure.
   * @param now - Monotonic time in milliseconds.
   */
  abstract recordOutcome(agent: string, started: boolean, now: number): void;

  /**
   * Learns how an attempt went; placers that tell kinds of jobs apart override it.
   * @param note - The attempt.
   */
  recordAttempt(note: AttemptResult): void {
    const { agent, outcome, now } = note;
    if (outcome === "completed" || outcome === "failed") {
      this.recordOutcome(agent, outcome === "completed", now);
    }
  }
}
