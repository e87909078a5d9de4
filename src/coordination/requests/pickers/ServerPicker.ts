/**
 * Load-balancing policy: selects a backend server among candidates. Each policy is a subclass, so
 * that the benchmarks can compare them.
 */
import type { ServerState } from "../ServerState.ts";

/** Picks one backend server for one request. */
export abstract class ServerPicker {
  /**
   * Picks a server.
   * @param candidates - Servers that may receive the request; at least one.
   */
  abstract pick(candidates: readonly ServerState[]): ServerState | undefined;
}
