/**
 * Choice of a backend server among candidates. Each way to choose is a small subclass, so that the
 * bench can lay them side by side.
 */
import type { ServerState } from "../ServerState.ts";

/** Chooses one backend server for one request. */
export abstract class ServerPicker {
  /**
   * Chooses a server.
   * @param candidates - Servers that may take the request; at least one.
   */
  abstract pick(candidates: readonly ServerState[]): ServerState | undefined;
}
