/**
 * An owner's order to start a task, and the reasons for which an agent refuses it.
 */
import type { Resources } from "../../protocol/Resources.ts";
import type { TaskKey } from "./TaskKey.ts";

/** Order to start an attempt. */
export interface StartOrder extends TaskKey {
  readonly partition: number;
  readonly epoch: number;
  readonly ownerAddress: string;
  readonly resources: Resources;
  readonly kind: string;
  readonly tenant: string;
  /** Incarnation of the agent that the owner means. */
  readonly incarnation: string;
  /** Number of the heartbeat on which the start was decided. */
  readonly sequence: number;
  /** Longest time from that heartbeat to the arrival of the order, in milliseconds. */
  readonly expiresMs: number;
  /** Lease, counted from that heartbeat, in milliseconds. */
  readonly leaseMs: number;
}

/** Why a start was refused; a refused attempt does not run on this VM, now or later. */
export type StartRefusal =
  | "agent-not-ready"
  | "draining"
  | "wrong-incarnation"
  | "start-expired"
  | "stale-epoch"
  | "stale-attempt"
  | "earlier-attempt-present"
  | "no-room"
  | "held-back"
  | "worker-refused";
