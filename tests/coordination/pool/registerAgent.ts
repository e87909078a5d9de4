/**
 * Registers the processes of simulated agents.
 */
import type { Store } from "../../../src/protocol/platform/Store.ts";
import { getAgentKey } from "../../../src/state/pool/PoolKeys.ts";
import { POOL } from "../../support/poolFixtures.ts";

/**
 * Registers a process of an agent, in place of the one before.
 * @param store - The store.
 * @param name - Name of the agent.
 * @param process - Identity of the process.
 * @returns The revision of the registration.
 */
export async function registerAgent(store: Store, name: string, process: string): Promise<number> {
  const key = getAgentKey(name);
  const record = { address: getAgentAddress(name), zone: "zone-a", pool: POOL, process };
  const expected = (await store.read(key)).unwrapOr(undefined)?.revision ?? 0;
  const written = await store.write({ key, value: JSON.stringify(record), expected });
  const result = written._unsafeUnwrap();
  return result.kind === "written" ? result.revision : 0;
}

/** Returns the address at which an agent is registered. */
export function getAgentAddress(name: string): string {
  return `${name}:7000`;
}
