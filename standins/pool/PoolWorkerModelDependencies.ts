/**
 * What a worker stand-in is constructed with, and the faults that a test can give it.
 */
import type { Clock } from "../../src/protocol/platform/Clock.ts";
import type { Resources } from "../../src/protocol/Resources.ts";
import type { JournalCapacity, JournalRun } from "./poolJournal.ts";

/** Faults of a worker; each can be changed at any time. */
export interface PoolWorkerFaults {
  /** No call is executed or gets a response. */
  isUnresponsive: boolean;
  /** Number of further orders that get no response and are executed after the delay below. */
  lateOrders: number;
  /** Delay of late orders, in milliseconds. */
  lateMs: number;
  /** Every run ends with the outcome "failed". */
  failEveryRun: boolean;
  /** Number of ended runs that a response lists at most, beginning with the first one. */
  maxListedEnds: number;
  /** Runs are started although the worker lacks room for them. */
  startsWithoutRoom: boolean;
  /** Whether a late order stalls it: it responds to nothing until the order is executed. */
  stallsWithLateOrders: boolean;
}

/** Resources and duration of a task, as set by the test. */
export interface TaskRequirements {
  readonly resources: Resources;
  /** Duration of the work in milliseconds; undefined for a task that does not end by itself. */
  readonly workMs: number | undefined;
  /** Time after which each run crashes its worker, in milliseconds; undefined for none. */
  readonly crashesWorkerAfterMs?: number | undefined;
}

/** Dependencies of a worker model. */
export interface PoolWorkerModelDependencies {
  readonly clock: Clock;
  readonly id: string;
  /** Start time of the incarnation, as announced. */
  readonly startedAtMs: number;
  readonly pool: string;
  readonly rack: string;
  readonly capacity: Resources;
  /** Rate of the worker's own clock; 1 is real time. */
  readonly clockRate: number;
  /** Longest lease that is accepted, in milliseconds; undefined for any. */
  readonly maxLeaseMs?: number;
  readonly getRequirements: (task: string) => TaskRequirements;
  /** Journal to which every run is appended. */
  readonly journal: JournalRun[];
  /** Journal to which every announced capacity is appended; undefined for none. */
  readonly capacityJournal?: JournalCapacity[];
  /** Called after a task has crashed the worker. */
  readonly onCrashed?: () => void;
}
