/**
 * Expected latency of a request at a server: the moving average of the latency, increased in
 * proportion to the slots in use, and further by the queue that the request would join.
 */
import type { ServerState } from "../ServerState.ts";

/** Weight of the share of slots in use; above full occupancy the queue adds to it in full. */
const OCCUPANCY_WEIGHT = 0.5;

/**
 * Returns the expected latency, in milliseconds.
 * @param server - The server.
 */
export function getExpectedLatencyMs(server: ServerState): number {
  const occupancy = (server.load + 1) / server.slots;
  return server.latencyMs * (1 + OCCUPANCY_WEIGHT * occupancy + Math.max(0, occupancy - 1));
}
