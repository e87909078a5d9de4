/**
 * Least-load balancing, used as a baseline in benchmarks. When load reports are old, all entries
 * pick the same server at once (herding).
 */
import type { ServerState } from "../ServerState.ts";
import { ServerPicker } from "./ServerPicker.ts";

/** Picks the candidate with the lowest known load per slot. */
export class LeastLoadedPicker extends ServerPicker {
  override pick(candidates: readonly ServerState[]): ServerState | undefined {
    return candidates.reduce((best, server) =>
      server.load / server.slots < best.load / best.slots ? server : best,
    );
  }
}
