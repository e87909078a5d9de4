/**
 * Input and result of the decisions on how batch work on one VM yields to its services.
 */
import type { Profile } from "../../protocol/config/ConfigDocument.ts";
import type { LatencyReport } from "./DisturbanceEstimator.ts";
import type { HeatDecision } from "./HeatTracker.ts";

const DEFAULT_UTILISATION = 0.5;

/** Service with a backend server on the VM. */
export interface YieldService {
  readonly service: string;
  readonly profile: Profile;
  /** Last latency report; undefined if there is none. */
  readonly report: LatencyReport | undefined;
}

/**
 * Returns the last reported utilisation of a service, from 0 to 1; one half if it is unknown.
 * @param service - The service.
 */
export function getUtilisation(service: YieldService): number {
  return service.report?.utilisation ?? DEFAULT_UTILISATION;
}

/** Batch task running on the VM. */
export interface YieldTask {
  readonly task: string;
  readonly kind: string;
  readonly processorsMilli: number;
  /** Share of its processors that the task may currently use, in percent. */
  readonly throttlePercent: number;
  /** When the task started on this VM, in milliseconds. */
  readonly startedAt: number;
  /** When its last checkpoint was taken, in milliseconds; undefined if there is none. */
  readonly checkpointedAt: number | undefined;
}

/** State of a VM on which one decision is based. */
export interface YieldInput {
  readonly now: number;
  readonly capacityMilli: number;
  readonly services: readonly YieldService[];
  readonly tasks: readonly YieldTask[];
  readonly heat: HeatDecision;
}

/** Action on one task. */
export interface YieldAction {
  readonly kind: "throttle" | "checkpoint" | "evict";
  readonly task: string;
  /** Share of its processors that the task may use, in percent; for "throttle" only. */
  readonly percent?: number;
  /** Whether a checkpoint is taken on eviction; for "evict" only. */
  readonly checkpoint?: boolean;
  readonly reason: string;
}

/** Decision for one VM. */
export interface YieldDecision {
  readonly actions: readonly YieldAction[];
  /** Whether any batch task may start. */
  readonly startTasks: boolean;
  /** Why tasks may not start; empty if they may. */
  readonly reason: string;
}
