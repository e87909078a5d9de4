/**
 * The agents as a partition owner reaches them.
 */
import type { Resources } from "../../protocol/Resources.ts";

/** Order to start an attempt of a task. */
export interface StartOrder {
  readonly task: string;
  readonly attempt: number;
  readonly partition: number;
  readonly epoch: number;
  readonly resources: Resources;
  readonly command: string;
  readonly checkpoint: string;
  readonly kind: string;
  readonly tenant: string;
  readonly urgent: boolean;
  /** Incarnation of the agent and number of its heartbeat from which the owner knows the VM. */
  readonly incarnation: string;
  readonly sequence: number;
  /** Lease, counted from that heartbeat, in milliseconds. */
  readonly leaseMs: number;
  /** The agent refuses the order later than this after that heartbeat, in milliseconds. */
  readonly expiresMs: number;
}

/** Order to stop an attempt of a task. */
export interface StopOrder {
  readonly task: string;
  readonly attempt: number;
  readonly partition: number;
  readonly epoch: number;
  readonly checkpoint: boolean;
  readonly reason: string;
}

/** What became of a start; "unknown" where the task may run. */
export type StartOutcome =
  | { readonly kind: "accepted" }
  | { readonly kind: "refused"; readonly reason: string }
  | { readonly kind: "unknown" };

/** What became of a stop; "stopped" only where the attempt certainly does not run any more. */
export type StopOutcome =
  | {
      readonly kind: "stopped";
      /** How the attempt had ended by itself; undefined where it was stopped. */
      readonly ended: "completed" | "failed" | undefined;
      readonly checkpoint: string;
      readonly reason: string;
    }
  | { readonly kind: "unknown" };

/** Sends orders to agents. */
export abstract class AgentGateway {
  /**
   * Starts a task.
   * @param controlAddress - Where the agent listens.
   * @param order - The order.
   */
  abstract startTask(controlAddress: string, order: StartOrder): Promise<StartOutcome>;

  /**
   * Stops a task.
   * @param controlAddress - Where the agent listens.
   * @param order - The order.
   */
  abstract stopTask(controlAddress: string, order: StopOrder): Promise<StopOutcome>;
}
