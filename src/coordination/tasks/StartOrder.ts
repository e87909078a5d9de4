/**
 * Order of a partition owner to start a task, and the reasons for which an agent refuses it.
 */
import type { Resources } from "../../protocol/Resources.ts";
import type { TaskKey } from "./TaskKey.ts";

/** Order to start an attempt at a task. */
export interface StartOrder extends TaskKey {
  readonly partition: number;
  readonly epoch: number;
  readonly ownerAddress: string;
  readonly resources: Resources;
  readonly kind: string;
  readonly tenant: string;
  /** Incarnation of the agent that the order is addressed to. */
  readonly incarnation: string;
  /** Sequence number of the heartbeat on which the decision to start was based. */
  readonly sequence: number;
  /** Maximum time from sending that heartbeat to the arrival of the order, in milliseconds. */
  readonly expiresMs: number;
  /** Duration of the lease from the time that heartbeat was sent, in milliseconds. */
  readonly leaseMs: number;
}

/** Why a start was refused. A refused attempt does not run on this VM, now or later. */
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
