/**
 * Parts of a simulated pool: its timings, the queue of its jobs, and its entries, agents and jobs.
 */
import type { PoolCoordinator } from "../../../src/coordination/pool/PoolCoordinator.ts";
import type { PoolTimings } from "../../../src/coordination/pool/PoolTimings.ts";
import type { PoolWorkerAgent } from "../../../src/coordination/pool/PoolWorkerAgent.ts";
import type { SubmissionService } from "../../../src/coordination/pool/SubmissionService.ts";
import type { JobDefinition } from "../../../src/protocol/pool/JobDefinition.ts";
import type { QueueConfig } from "../../../src/protocol/pool/QueueConfig.ts";
import type { MemoryStore } from "../../../standins/store/MemoryStore.ts";
import type { PoolWorkerAddress } from "../../../standins/pool/PoolWorkerAddress.ts";
import type { PoolWorkerModel } from "../../../standins/pool/PoolWorkerModel.ts";
import { POOL } from "../../support/poolFixtures.ts";

/** Timings of the simulated pool. */
export const TIMINGS: PoolTimings = {
  workerLeaseMs: 5_000,
  grantHorizonMs: 4_000,
  observeWaitMs: 1_000,
  measureWaitMs: 400,
  agentTimeoutMs: 1_000,
  commitIntervalMs: 20,
  ...{ retentionMs: 600_000, schedulerLeaseMs: 2_000, claimDelayMs: 0 },
};

/** Timings of an entry (`getTimings` in PoolEntryProcess) where workers accept leases of 6 s. */
export const ENTRY_TIMINGS = { workerLeaseMs: 6_000, grantHorizonMs: 4_000 };

/** Queue of the tests' jobs. */
export const QUEUE: QueueConfig = {
  name: "queue-a",
  host: "host-a",
  pathPrefix: "/a/",
  pool: POOL,
  priority: 0,
  maxAttempts: 3,
  stretch: 2,
  latencyTargetMs: 500,
};

/** A simulated entry. */
export interface SimulatedEntry {
  readonly name: string;
  readonly store: MemoryStore;
  readonly coordinator: PoolCoordinator;
  readonly submissions: SubmissionService;
  /** Whether its calls to agents are lost. */
  isDisconnected: boolean;
  /** Names of agents to which its calls are lost. */
  readonly cutAgents: Set<string>;
  isStopped: boolean;
}

/** A simulated agent with its worker. */
export interface SimulatedAgent {
  readonly name: string;
  workerAgent: PoolWorkerAgent;
  worker: PoolWorkerModel;
  /** Where its agent calls its worker; leads to the incarnation above once that is up. */
  readonly address: PoolWorkerAddress;
  isDisconnected: boolean;
}

/** A job to submit. */
export interface SimulatedJob {
  readonly id: string;
  readonly definition: JobDefinition;
  /** Run time of each task, in milliseconds; undefined for tasks that never end. */
  readonly workMs: number | undefined;
  /** Time after which each run crashes its worker, in milliseconds; undefined for none. */
  readonly crashesWorkerAfterMs?: number;
}
