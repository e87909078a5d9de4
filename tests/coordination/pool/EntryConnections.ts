/**
 * Through what a simulated entry sees the rest of the pool.
 */
import type { AgentChannel } from "../../../src/coordination/pool/AgentChannel.ts";
import type { Clock } from "../../../src/protocol/platform/Clock.ts";
import type { MemoryStore } from "../../../standins/store/MemoryStore.ts";

/** Connections of an entry. */
export interface EntryConnections {
  readonly clock: Clock;
  readonly store: MemoryStore;
  readonly channel: AgentChannel;
}

/** Faults of the calls of an entry to agents. */
export interface EntryFaults {
  /** Whether all of them are lost. */
  isDisconnected: boolean;
  isStopped: boolean;
  /** Names of agents to which they are lost. */
  readonly cutAgents: Set<string>;
}
