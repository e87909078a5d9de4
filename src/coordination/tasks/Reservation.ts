/**
 * Capacity reserved on a VM for a backend server or for the headroom of a service.
 */
import type { Resources } from "../../protocol/Resources.ts";

/** State of a backend server's reservation. */
export type ReservationState =
  /** The full amount is reserved. */
  | "granted"
  /** Tasks must be stopped before it can be granted. */
  | "pending"
  /** The amount does not fit beside the other backend servers, even without tasks. */
  | "impossible";

/** Requested amount and the part of it that is granted. */
export interface Reservation {
  readonly wanted: Resources;
  readonly granted: Resources;
}
