/**
 * Dependencies and settings of the agent's task service.
 */
import type { Client } from "@connectrpc/connect";
import type { ConfigSnapshot } from "../../../protocol/config/ConfigDocument.ts";
import type { EntryControl } from "../../../protocol/generated/fireflylb/v1/control_pb.ts";
import type { Clock } from "../../../protocol/platform/Clock.ts";
import type { Log } from "../../../protocol/platform/Log.ts";
import type { Resources } from "../../../protocol/Resources.ts";
import type { Worker } from "../../../protocol/platform/Worker.ts";

/** Client of an entry's control service. */
export type EntryClient = Client<typeof EntryControl>;

/** Properties of a task by which yielding decides whether it may start. */
export interface StartCandidate {
  readonly kind: string;
  readonly resources: Resources;
  readonly urgent: boolean;
}

/** Owner of a partition, as heartbeat replies name it. */
export interface OwnerAddress {
  readonly controlAddress: string;
  readonly epoch: number;
}

/** Dependencies and settings of the task service. */
export interface TaskServiceOptions {
  readonly worker: Worker;
  readonly clock: Clock;
  readonly log: Log;
  /** Name of the agent. */
  readonly agent: string;
  readonly incarnation: string;
  /** Returns a client of the entry at a control address. */
  readonly createEntryClient: (controlAddress: string) => EntryClient;
  /** Returns the owner of a partition; undefined if it is not known. */
  readonly getOwner: (partition: number) => OwnerAddress | undefined;
  /** Returns the configuration; undefined until the agent has one. */
  readonly getConfig: () => ConfigSnapshot | undefined;
  /** Returns why a task may not start now, for example because of heat; undefined if it may. */
  readonly getStartHold?: (order: StartCandidate) => string | undefined;
  /** Time between two polls of the worker, in milliseconds. */
  readonly pollMs: number;
  /** Time after the agent's start during which no task is started, in milliseconds. */
  readonly startDelayMs?: number;
  /** Longest time that a graceful shutdown waits for tasks, in milliseconds. */
  readonly drainTimeoutMs?: number;
}
