/**
 * Registers the processes of simulated agents.
 */
import { AgentRegistration } from "../../../src/coordination/pool/AgentRegistration.ts";
import type { Clock } from "../../../src/protocol/platform/Clock.ts";
import type { Store } from "../../../src/protocol/platform/Store.ts";
import { MemoryLog } from "../../support/MemoryLog.ts";
import { POOL } from "../../support/poolFixtures.ts";

/**
 * Registers a process of an agent, in place of the one before.
 * @param store - The store.
 * @param clock - Clock of the process.
 * @param name - Name of the agent.
 * @param process - Identity of the process.
 * @returns The revision of the registration.
 */
export async function registerAgent(
  store: Store,
  clock: Clock,
  name: string,
  process: string,
): Promise<number> {
  const record = { address: getAgentAddress(name), zone: "zone-a", pool: POOL, process };
  const registration = new AgentRegistration({
    ...{ store, clock, log: new MemoryLog(), name, record },
    onReplaced: () => undefined,
  });
  return (await registration.renew()) ?? 0;
}

/** Returns the address at which an agent is registered. */
export function getAgentAddress(name: string): string {
  return `${name}:7000`;
}
