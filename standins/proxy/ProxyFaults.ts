/**
 * Faults of the proxy. "Up" is from the caller to the target, "down" is back.
 */
import { z } from "zod";

const Direction = z.enum(["none", "up", "down", "both"]);
const Bytes = z.number().int().min(0).nullable();

/** Faults that can be switched; what is left out stays as it is. */
export const ProxyFaultsChange = z
  .object({
    /** "refuse" refuses new connections, "reset" resets them. */
    newConnections: z.enum(["accept", "refuse", "reset"]),
    /** Direction in which bytes are held back until they are released. */
    hold: Direction,
    /** Direction in which bytes are thrown away. */
    drop: Direction,
    /** Delay of bytes in each direction, in milliseconds. */
    delayUpMs: z.number().min(0),
    delayDownMs: z.number().min(0),
    /** Bytes after which a connection is cut; null for never, 0 for before the first. */
    cutAfterUpBytes: Bytes,
    cutAfterDownBytes: Bytes,
    /** Share of the connections that are cut after so many bytes. */
    cutShare: z.number().min(0).max(1),
    /** Seed of the share. */
    seed: z.number().int(),
  })
  .partial()
  .strict();

/** A change of the faults. */
export type ProxyFaultsChange = z.infer<typeof ProxyFaultsChange>;

/** Faults in force. */
export type ProxyFaults = Required<ProxyFaultsChange>;

/** No fault at all. */
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
