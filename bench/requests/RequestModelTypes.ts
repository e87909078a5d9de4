/**
 * Shape, parts and result of a run of the model.
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

/** Shape of the deployment and its traffic. */
export interface RequestModelShape {
  readonly servers: number;
  readonly slots: number;
  readonly entries: number;
  readonly zones: number;
  /** One-way delay between zones, in milliseconds. */
  readonly crossZoneMs: number;
  readonly meanServiceMs: number;
  readonly durationMs: number;
}

/** What a run measured. */
export interface RequestModelResult {
  readonly latencyUs: Histogram;
  readonly refusalUs: Histogram;
  /** Requests answered by a server without a failure, in each second. */
  readonly goodput: number;
  readonly offered: number;
  readonly failed: number;
  readonly refused: number;
}

export interface ModelAgent {
  readonly index: number;
  readonly zone: string;
  readonly incarnation: string;
  readonly admission: AgentAdmission;
  sequence: number;
  gone: boolean;
}

export interface ModelEntry {
  readonly zone: string;
  readonly table: ServerTable;
  readonly router: RequestRouter;
  alive: boolean;
}

export interface ModelRequest {
  readonly id: string;
  readonly entry: ModelEntry;
  readonly routed: RoutedRequest;
  readonly progress: RequestProgress;
  readonly startedAt: number;
}

/** A request at its server. */
export interface ModelService {
  readonly server: ServerState;
  readonly agent: ModelAgent;
  readonly local: LocalServer;
  readonly key: string;
  readonly sentAt: number;
}
