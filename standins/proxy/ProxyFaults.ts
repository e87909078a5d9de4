/**
 * Faults of the proxy. "Up" is the direction from the caller to the target, "down" the opposite.
 */
import { z } from "zod";

const Direction = z.enum(["none", "up", "down", "both"]);
const Bytes = z.number().int().min(0).nullable();

/** Change of the faults; omitted fields keep their value. */
export const ProxyFaultsChange = z
  .object({
    /** "refuse" refuses new connections, "reset" resets them. */
    newConnections: z.enum(["accept", "refuse", "reset"]),
    /** Direction in which bytes are held back until the fault is cleared. */
    hold: Direction,
    /** Direction in which bytes are discarded. */
    drop: Direction,
    /** Delay of bytes in each direction, in milliseconds. */
    delayUpMs: z.number().min(0),
    delayDownMs: z.number().min(0),
    /** Bytes after which a connection is reset; null for never, 0 for before the first byte. */
    cutAfterUpBytes: Bytes,
    cutAfterDownBytes: Bytes,
    /** Share of the connections to which the limits of bytes apply. */
    cutShare: z.number().min(0).max(1),
    /** Seed of the choice of these connections. */
    seed: z.number().int(),
  })
  .partial()
  .strict();

/** Change of the faults. */
export type ProxyFaultsChange = z.infer<typeof ProxyFaultsChange>;

/** Faults in effect. */
export type ProxyFaults = Required<ProxyFaultsChange>;

/** Default faults: none. */
export const NO_PROXY_FAULTS: ProxyFaults = {
  newConnections: "accept",
  hold: "none",
  drop: "none",
  delayUpMs: 0,
  delayDownMs: 0,
  cutAfterUpBytes: null,
  cutAfterDownBytes: null,
  cutShare: 1,
  seed: 1,
};
