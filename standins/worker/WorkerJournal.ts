/**
 * Entries of the worker stand-in's journal, from which tests check the complete history.
 */
import type { Resources } from "../../src/protocol/Resources.ts";

/** Work that a task did in one step. */
export interface TaskStep {
  readonly task: string;
  readonly attempt: number;
  /** Work done before and after the step, in milliseconds at full speed. */
  readonly workFromMs: number;
  readonly workToMs: number;
}

/** Journal entry; times are milliseconds of the machine's monotonic clock. */
export type WorkerEvent =
  | {
      readonly event: "worker-start";
      readonly at: number;
      readonly vm: string;
      readonly capacity: Resources;
    }
  | {
      readonly event: "start";
      readonly at: number;
      readonly vm: string;
      readonly task: string;
      readonly attempt: number;
      readonly partition: number;
      readonly epoch: number;
      readonly workFromMs: number;
      /** Sum of the declared resources of all running tasks, including this one. */
      readonly committed: Resources;
    }
  | {
      readonly event: "refuse-start";
      readonly at: number;
      readonly vm: string;
      readonly task: string;
      readonly attempt: number;
      readonly reason: string;
    }
  | {
      readonly event: "step";
      readonly at: number;
      readonly vm: string;
      readonly steps: readonly TaskStep[];
    }
  | {
      readonly event: "checkpoint";
      readonly at: number;
      readonly vm: string;
      readonly task: string;
      readonly attempt: number;
      readonly workMs: number;
    }
  | {
      readonly event: "end";
      readonly at: number;
      readonly vm: string;
      readonly task: string;
      readonly attempt: number;
      readonly phase: "stopped" | "completed" | "failed";
      readonly reason: string;
      readonly workMs: number;
      readonly committed: Resources;
    };
