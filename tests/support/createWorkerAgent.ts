/**
 * Creates agents of a worker for tests that drive them directly.
 */
import { FencingToken } from "../../src/coordination/pool/FencingToken.ts";
import { PoolWorkerAgent } from "../../src/coordination/pool/PoolWorkerAgent.ts";
import type { Clock } from "../../src/protocol/platform/Clock.ts";
import type { Log } from "../../src/protocol/platform/Log.ts";
import type { PoolWorker } from "../../src/protocol/platform/PoolWorker.ts";
import { MemoryLog } from "./MemoryLog.ts";
import { createAnnouncement } from "./poolFixtures.ts";

/**
 * Announces an incarnation of the worker "i-1" to its agent.
 * @param agent - The agent.
 * @param startedAtMs - Start of the incarnation, in Unix milliseconds.
 */
export function announceWorker(agent: PoolWorkerAgent, startedAtMs: number): void {
  agent.handleAnnouncement(createAnnouncement({ startedAtMs }));
}

/**
 * Creates the fencing token of an agent whose process is registered.
 * @param revision - Revision of the registration.
 */
export function createFencingToken(revision = 1): FencingToken {
  const fencingToken = new FencingToken(() => undefined);
  fencingToken.register(revision);
  return fencingToken;
}

/** What tests may choose of an agent. */
interface WorkerAgentOptions {
  readonly log?: Log;
  /** Revision of its registration. */
  readonly revision?: number;
  readonly onRegistrationDue?: () => void;
}

/**
 * Creates an agent whose process is registered in the store.
 * @param worker - Its worker.
 * @param clock - Its clock.
 * @param options - Its other properties.
 */
export function createWorkerAgent(
  worker: PoolWorker,
  clock: Clock,
  { log = new MemoryLog(), revision = 1, onRegistrationDue }: WorkerAgentOptions = {},
): PoolWorkerAgent {
  const agent = new PoolWorkerAgent({
    ...{ worker, clock, log, process: `p-${revision}` },
    onRegistrationDue: onRegistrationDue ?? (() => undefined),
  });
  agent.register(revision);
  return agent;
}
