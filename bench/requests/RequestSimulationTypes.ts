/**
 * Options, state and result of the request simulation.
 */
import type { Histogram } from "hdr-histogram-js";
import type { AgentAdmission } from "../../src/coordination/requests/AgentAdmission.ts";
import type { LocalServer } from "../../src/coordination/requests/LocalServer.ts";
import type {
  RequestProgress,
  RequestRouter,
  RoutedRequest,
} from "../../src/coordination/requests/RequestRouter.ts";
import type { ServerState } from "../../src/coordination/requests/ServerState.ts";
import type { ServerTable } from "../../src/coordination/requests/ServerTable.ts";

/** Options of the simulated deployment and its traffic. */
export interface RequestSimulationOptions {
  readonly servers: number;
  readonly slots: number;
  readonly entries: number;
  readonly zones: number;
  /** One-way delay between zones, in milliseconds. */
  readonly crossZoneMs: number;
  readonly meanServiceMs: number;
  readonly durationMs: number;
}

/** Result of a simulation. */
export interface RequestSimulationResult {
  readonly latencyUs: Histogram;
  readonly refusalUs: Histogram;
  /** Successful requests per second. */
  readonly goodput: number;
  readonly offered: number;
  readonly failed: number;
  readonly refused: number;
}

export interface SimulatedAgent {
  readonly index: number;
  readonly zone: string;
  readonly incarnation: string;
  readonly admission: AgentAdmission;
  sequence: number;
  isStopped: boolean;
}

export interface SimulatedEntry {
  readonly zone: string;
  readonly table: ServerTable;
  readonly router: RequestRouter;
  isRunning: boolean;
}

export interface SimulatedRequest {
  readonly id: string;
  readonly entry: SimulatedEntry;
  readonly routed: RoutedRequest;
  readonly progress: RequestProgress;
  readonly startedAt: number;
}

/** An attempt of a request that a server is processing. */
export interface SimulatedAttempt {
  readonly server: ServerState;
  readonly agent: SimulatedAgent;
  readonly local: LocalServer;
  readonly key: string;
  readonly sentAt: number;
}
