/**
 * What the yielding of batch work on one VM is decided from, and the decision.
 */
import type { Profile } from "../../protocol/config/ConfigDocument.ts";
import type { LatencyReport } from "./DisturbanceEstimator.ts";
import type { HeatDecision } from "./HeatTracker.ts";

const DEFAULT_UTILISATION = 0.5;

/** A service on the VM. */
export interface YieldService {
  readonly service: string;
  readonly profile: Profile;
  /** Last report of its latency; undefined where there is none. */
  readonly report: LatencyReport | undefined;
}

/**
 * Gives the load of a service as it was reported last, from 0 to 1; half where it is not known.
 * @param service - The service.
 */
export function getUtilisation(service: YieldService): number {
  return service.report?.utilisation ?? DEFAULT_UTILISATION;
}

/** A batch task that runs on the VM. */
export interface YieldTask {
  readonly task: string;
  readonly kind: string;
  readonly processorsMilli: number;
  /** Share of its processors that it may use now. */
  readonly throttlePercent: number;
  /** When the task started here, in milliseconds. */
  readonly startedAt: number;
  /** When its last checkpoint was taken, in milliseconds; undefined where there is none. */
  readonly checkpointedAt: number | undefined;
}

/** Everything that one decision looks at. */
export interface YieldInput {
  readonly now: number;
  readonly capacityMilli: number;
  readonly services: readonly YieldService[];
  readonly tasks: readonly YieldTask[];
  readonly heat: HeatDecision;
}

/** One step that a task has to take. */
export interface YieldAction {
  readonly kind: "throttle" | "checkpoint" | "evict";
  readonly task: string;
  /** Share of its processors that the task may use; for "throttle" only. */
  readonly percent?: number;
  /** Whether the eviction takes a checkpoint; for "evict" only. */
  readonly checkpoint?: boolean;
  readonly reason: string;
}

/** A decision about one VM. */
export interface YieldDecision {
  readonly actions: readonly YieldAction[];
  /** Whether batch tasks may start at all. */
  readonly startTasks: boolean;
  /** Why tasks may not start; empty where they may. */
  readonly reason: string;
}
