/**
 * Choice of the server with the least known load: a baseline that herds when reports are old.
 */
import type { ServerState } from "../ServerState.ts";
import { ServerPicker } from "./ServerPicker.ts";

/** Chooses the least load. */
export class LeastLoadedPicker extends ServerPicker {
  override pick(candidates: readonly ServerState[]): ServerState | undefined {
    return candidates.reduce((best, server) =>
      server.load / server.slots < best.load / best.slots ? server : best,
    );
  }
}
