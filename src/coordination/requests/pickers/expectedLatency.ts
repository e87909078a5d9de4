/**
 * The latency that a request is to expect at a server: the moving average of latency, raised by the
 * share of slots in use, and stretched by the queue that the request would join.
 */
import type { ServerState } from "../ServerState.ts";

/** How strongly the share of slots in use counts while slots are free. */
const OCCUPANCY_WEIGHT = 0.5;

/**
 * Gives the expected latency, in milliseconds.
 * @param server - The server.
 */
export function getExpectedLatencyMs(server: ServerState): number {
  const occupancy = (server.load + 1) / server.slots;
  return server.latencyMs * (1 + OCCUPANCY_WEIGHT * occupancy + Math.max(0, occupancy - 1));
}
