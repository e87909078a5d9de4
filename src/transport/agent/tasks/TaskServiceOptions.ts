/**
 * What the agent's side of batch work needs from its surroundings.
 */
import type { Client } from "@connectrpc/connect";
import type { ConfigSnapshot } from "../../../protocol/config/ConfigDocument.ts";
import type { EntryControl } from "../../../protocol/generated/fireflylb/v1/control_pb.ts";
import type { Clock } from "../../../protocol/platform/Clock.ts";
import type { Log } from "../../../protocol/platform/Log.ts";
import type { Resources } from "../../../protocol/Resources.ts";
import type { Worker } from "../../../protocol/platform/Worker.ts";

/** Control interface of an entry. */
export type EntryClient = Client<typeof EntryControl>;

/** A task that is to start, as far as yielding looks at it. */
export interface StartCandidate {
  readonly kind: string;
  readonly resources: Resources;
  readonly urgent: boolean;
}

/** Owner of a partition as the entries tell it by heartbeat. */
export interface OwnerAddress {
  readonly controlAddress: string;
  readonly epoch: number;
}

/** Surroundings and settings of the task service. */
export interface TaskServiceOptions {
  readonly worker: Worker;
  readonly clock: Clock;
  readonly log: Log;
  /** Name of the agent. */
  readonly agent: string;
  readonly incarnation: string;
  /** Gives a client of the entry at a control address. */
  readonly createEntryClient: (controlAddress: string) => EntryClient;
  /** Gives the owner of a partition; undefined where it is not known. */
  readonly getOwner: (partition: number) => OwnerAddress | undefined;
  /** Gives the configuration; undefined until the agent has one. */
  readonly getConfig: () => ConfigSnapshot | undefined;
  /** Why a task of a kind may not start now, as in a hot zone; undefined where it may. */
  readonly getStartHold?: (order: StartCandidate) => string | undefined;
  /** Time between two polls of the worker, in milliseconds. */
  readonly pollMs: number;
  /** Time for which starts are held back after the agent's start, in milliseconds. */
  readonly startDelayMs?: number;
  /** Longest time that a graceful shutdown waits for tasks, in milliseconds. */
  readonly drainTimeoutMs?: number;
}
