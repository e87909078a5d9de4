/**
 * Interface through which a partition owner sends orders to agents.
 */
import type { Resources } from "../../protocol/Resources.ts";

/** Order to start an attempt of a task. Its fields are sent to the agent under these names. */
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
  /** Agent incarnation and heartbeat number on which the owner's view of the VM is based. */
  readonly incarnation: string;
  readonly sequence: number;
  /** Duration of the lease, counted from that heartbeat, in milliseconds. */
  readonly leaseMs: number;
  /** Time after that heartbeat from which the agent refuses the order, in milliseconds. */
  readonly expiresMs: number;
}

/** Order to stop an attempt of a task. Its fields are sent to the agent under these names. */
export interface StopOrder {
  readonly task: string;
  readonly attempt: number;
  readonly partition: number;
  readonly epoch: number;
  readonly checkpoint: boolean;
  readonly reason: string;
}

/** Outcome of a start order; "unknown" if the task may be running. */
export type StartOutcome =
  | { readonly kind: "accepted" }
  | { readonly kind: "refused"; readonly reason: string }
  | { readonly kind: "unknown" };

/** Outcome of a stop order; "stopped" only if the attempt certainly no longer runs. */
export type StopOutcome =
  | {
      readonly kind: "stopped";
      /** How the attempt ended on its own; undefined if it was stopped. */
      readonly ended: "completed" | "failed" | undefined;
      readonly checkpoint: string;
      readonly reason: string;
    }
  | { readonly kind: "unknown" };

/** Sends orders to agents. */
export abstract class AgentGateway {
  /**
   * Sends a start order to an agent.
   * @param controlAddress - Control address of the agent.
   * @param order - The order.
   */
  abstract startTask(controlAddress: string, order: StartOrder): Promise<StartOutcome>;

  /**
   * Sends a stop order to an agent.
   * @param controlAddress - Control address of the agent.
   * @param order - The order.
   */
  abstract stopTask(controlAddress: string, order: StopOrder): Promise<StopOutcome>;
}
