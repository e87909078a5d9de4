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
 */
export async function registerAgent(store: Store, name: string, process: string): Promise<void> {
  const key = getAgentKey(name);
  const record = { address: getAgentAddress(name), zone: "zone-a", pool: POOL, process };
  const expected = (await store.read(key)).unwrapOr(undefined)?.revision ?? 0;
  await store.write({ key, value: JSON.stringify(record), expected });
}

/** Returns the address at which an agent is registered. */
export function getAgentAddress(name: string): string {
  return `${name}:7000`;
}
