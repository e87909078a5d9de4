/**
 * What a backend server or a service's headroom asks of a VM, and how much of it is granted.
 */
import type { Resources } from "../../protocol/Resources.ts";

/** State of a backend server's reservation. */
export type ReservationState =
  /** The whole amount is held. */
  | "granted"
  /** Tasks must yield first. */
  | "pending"
  /** The VM could not hold it beside its other backend servers, even without tasks. */
  | "impossible";

/** An amount wanted and the part of it that is held. */
export interface Reservation {
  readonly wanted: Resources;
  readonly granted: Resources;
}
