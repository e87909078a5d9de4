/**
 * Creates a controller of runs with its order sender, one agent and one task, in virtual time.
 */
import {
  AgentChannel,
  type AgentOutcome,
  type AgentReport,
  type OrderCall,
  type OrderReport,
} from "../../../src/coordination/pool/AgentChannel.ts";
import { OrderSender } from "../../../src/coordination/pool/OrderSender.ts";
import { PoolState } from "../../../src/coordination/pool/PoolState.ts";
import { RunController } from "../../../src/coordination/pool/RunController.ts";
import { JobState } from "../../../src/state/pool/JobState.ts";
import type { TaskState } from "../../../src/state/pool/TaskState.ts";
import { ManualClock } from "../../support/ManualClock.ts";
import { MemoryLog } from "../../support/MemoryLog.ts";
import { createJobRecord, createWorkerReport, POOL } from "../../support/poolFixtures.ts";
import { TIMINGS } from "./simulatedPool.ts";

/** Agent of the worker. */
export const AGENT = "agent-a";
/** Process of the agent that reported first. */
export const PROCESS = "p-1";
/** Number of the run that `addRun` adds. */
export const RUN = 1;
/** Time after which an order without a result is repeated, with some margin, in milliseconds. */
export const REPEATED_MS = 900;
/** Time in which an order that was created has been sent, in milliseconds. */
export const SENT_MS = 10;
const JOB = "0000000000000001";

/** Channel to an agent that records orders and answers none of them. */
class RecordingChannel extends AgentChannel {
  readonly calls: OrderCall[] = [];

  override observe(): Promise<AgentOutcome<AgentReport>> {
    return Promise.resolve({ kind: "unreachable", detail: "" });
  }

  override order(_: string, call: OrderCall): Promise<AgentOutcome<OrderReport>> {
    this.calls.push(call);
    return Promise.resolve({ kind: "unreachable", detail: "" });
  }

  override reset(): void {
    // There is no connection.
  }
}

/** A controller with what it acts on. */
export interface RunControllerFixture {
  readonly clock: ManualClock;
  readonly channel: RecordingChannel;
  readonly state: PoolState;
  readonly job: JobState;
  readonly task: TaskState;
  /** Incarnation of the worker. */
  readonly worker: string;
  readonly controller: RunController;
  /** Reasons for which runs were found lost, which are removed. */
  readonly lost: readonly string[];
  /** Whether the worker may be given a lease. */
  grants: { mayGrant: boolean };
  /** Adds a run of the task, whose start is being recorded. */
  readonly addRun: () => void;
  /** Hands in a report of the worker by a process of its agent. */
  readonly report: (process: string, clockMs?: number, worker?: string) => void;
}

/** Creates a controller whose agent has reported once. */
export function createRunController(): RunControllerFixture {
  const clock = new ManualClock();
  const log = new MemoryLog();
  const channel = new RecordingChannel();
  const state = new PoolState(POOL, TIMINGS);
  const { workerTable, activeRuns } = state;
  workerTable.setAgent(AGENT, { address: AGENT, zone: "zone-a", pool: POOL, process: PROCESS });
  const { worker } = createWorkerReport();
  const report: RunControllerFixture["report"] = (process, clockMs = 1_000, present = worker) => {
    const reported = createWorkerReport({ clockMs, worker: present });
    const others = { process, version: 1, formerEnds: [], crashes: [] };
    workerTable.applyReport(AGENT, { ...others, worker: reported }, clock.now());
  };
  report(PROCESS);
  const job = new JobState(JOB, createJobRecord(), undefined, clock.now());
  state.addJob(job);
  const [task] = [...job.tasks];
  if (task === undefined) {
    throw new Error("the job has no task");
  }
  const grants = { mayGrant: true };
  const ignore = (): void => undefined;
  const orders = new OrderSender({
    ...{ channel, clock, log, workerTable, epoch: 1, grants: { mayGrant: () => grants.mayGrant } },
    createStart: (sentTo, order) => controller.createStart(sentTo, order),
    onLeaseMissing: (sentTo, order) => {
      controller.handleMissingLease(sentTo, order);
    },
    ...{ onPacesUnconfirmed: ignore, onReport: ignore, onSuperseded: ignore },
  });
  const lost: string[] = [];
  const controller: RunController = new RunController({
    ...{ state, orders, clock, log, grants: { getFormerLeaseEnd: () => 0 } },
    onRunLost: (taskRun, reason) => {
      lost.push(reason);
      activeRuns.remove(taskRun.task, taskRun.active);
    },
    ...{ onRunStalled: ignore, onSuperseded: ignore },
  });
  const addRun = (): void => {
    activeRuns.add(task, task.addRun({ agent: AGENT, worker }, clock.now(), RUN));
  };
  return {
    ...{ clock, channel, state, job, task, worker, controller, lost, grants, addRun, report },
  };
}
