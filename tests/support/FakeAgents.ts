/**
 * In-process agents for tests of partition owners. They follow the agents' rules on leases, epochs
 * and incarnations, each on its own clock. They can be paused, disconnected and restarted, and can
 * lose replies. Every start is recorded, so that a task that runs twice at the same time is found.
 */
import {
  AgentGateway,
  type StartOrder,
  type StartOutcome,
  type StopOrder,
  type StopOutcome,
} from "../../src/coordination/batch/AgentGateway.ts";
import type { PartitionOwner } from "../../src/coordination/batch/PartitionOwner.ts";
import type { ReportAnswer, ReportedPhase } from "../../src/coordination/batch/ReportHandler.ts";
import type { Clock } from "../../src/protocol/platform/Clock.ts";
import type { VmRecord } from "../../src/state/FleetView.ts";

const CALL_TIMEOUT_MS = 1_000;
const CAPACITY = { processorsMilli: 8_000, memoryBytes: 8_000, accelerators: 0 };

/** Run of an attempt on a fake agent. */
export interface FakeRun {
  readonly agent: string;
  readonly task: string;
  readonly attempt: number;
  readonly partition: number;
  /** Checkpoint from which the run started; empty for none. */
  readonly startCheckpoint: string;
  phase: ReportedPhase;
  leaseUntil: number;
  checkpoint: string;
  /** Whether the run ended because its VM was replaced. */
  isLost: boolean;
}

/** Faults of a fake agent. */
export interface FakeAgentFaults {
  /** Orders are executed when the agent resumes; reports are not sent. */
  isPaused: boolean;
  /** No order arrives, and reports are not sent. */
  isOffline: boolean;
  /** Number of further orders that are executed while the reply is lost. */
  lostReplies: number;
  /** Whether the agent is disconnected together with the next lost reply. */
  disconnectsWithLostReply: boolean;
}

interface FakeAgent {
  readonly name: string;
  /** Rate of the agent's clock; 1 is real time. */
  readonly clockRate: number;
  readonly faults: FakeAgentFaults;
  readonly epochs: Map<number, number>;
  readonly runs: Map<string, FakeRun>;
  readonly stopped: Set<string>;
  readonly delayedOrders: (() => void)[];
  incarnation: number;
}

/** Fake agents behind the gateway of partition owners. */
export class FakeAgents extends AgentGateway {
  /** All runs that were ever started. */
  readonly history: FakeRun[] = [];
  /** Starts of tasks of which another attempt was still running. */
  readonly violations: string[] = [];
  private readonly _clock: Clock;
  private readonly _agents: readonly FakeAgent[];

  /**
   * Creates agents.
   * @param clock - Clock of real time.
   * @param rates - Rate of each agent's clock.
   */
  constructor(clock: Clock, rates: readonly number[]) {
    super();
    this._clock = clock;
    this._agents = rates.map((rate, index) => ({
      name: `vm-${index}`,
      clockRate: rate,
      faults: {
        isPaused: false,
        isOffline: false,
        lostReplies: 0,
        disconnectsWithLostReply: false,
      },
      epochs: new Map(),
      runs: new Map(),
      stopped: new Set(),
      delayedOrders: [],
      incarnation: 1,
    }));
  }

  /** Names of the agents. */
  get names(): readonly string[] {
    return this._agents.map((agent) => agent.name);
  }

  /**
   * Gets the faults of an agent; they can be changed.
   * @param name - Name of the agent.
   */
  getFaults(name: string): FakeAgentFaults {
    return this._get(name).faults;
  }

  /**
   * Gets the record of an agent as a heartbeat sent now would create it.
   * @param name - Name of the agent.
   */
  getVm(name: string): VmRecord {
    const agent = this._get(name);
    const tasks = this._getLive(agent).length;
    return {
      agent: name,
      incarnation: String(agent.incarnation),
      sequence: this._getTime(agent),
      region: "r",
      zone: "z",
      rack: "k",
      requestAddress: "",
      controlAddress: name,
      capacity: CAPACITY,
      committed: { processorsMilli: tasks * 1_000, memoryBytes: 0, accelerators: 0 },
      used: { processorsMilli: 0, memoryBytes: 0, accelerators: 0 },
      servers: [],
      draining: false,
      configRevision: 1,
      tasks,
      heatLevel: undefined,
      reportedAt: this._clock.now(),
    };
  }

  /** Gets the runs in progress. */
  getRunning(): readonly FakeRun[] {
    return this._agents.flatMap((agent) => this._getLive(agent));
  }

  /**
   * Resumes a paused agent and executes the orders that waited for it.
   * @param name - Name of the agent.
   */
  resume(name: string): void {
    const agent = this._get(name);
    agent.faults.isPaused = false;
    agent.delayedOrders.splice(0).forEach((execute) => {
      execute();
    });
  }

  /**
   * Replaces a VM: its runs end, and its agent has a new incarnation without state.
   * @param name - Name of the agent.
   */
  replace(name: string): void {
    const agent = this._get(name);
    agent.incarnation += 1;
    agent.runs.forEach((run) => {
      run.isLost = true;
    });
    agent.runs.clear();
    agent.epochs.clear();
    agent.stopped.clear();
    agent.delayedOrders.length = 0;
  }

  /**
   * Ends a run as if its command had ended; does nothing if it is not in progress.
   * @param run - The run.
   * @param phase - Final phase.
   */
  finish(run: FakeRun, phase: "completed" | "failed"): void {
    if (this.getRunning().includes(run)) {
      run.phase = phase;
    }
  }

  /**
   * Reports the tasks of an agent to an owner.
   * @param name - Name of the agent.
   * @param owner - The owner.
   * @param isReplyLost - Whether the reply is lost.
   */
  report(name: string, owner: PartitionOwner, isReplyLost = false): void {
    this.composeReport(name, owner)(isReplyLost);
  }

  /**
   * Composes a report that is delivered later.
   * @param name - Name of the agent.
   * @param owner - The owner.
   * @returns Function that delivers the report.
   */
  composeReport(name: string, owner: PartitionOwner): (isReplyLost: boolean) => void {
    const agent = this._get(name);
    const { epochs, faults, incarnation } = agent;
    const known = epochs.get(owner.partition) ?? 0;
    const sentAt = this._getTime(agent);
    const runs = [...agent.runs.values()].filter((run) => run.partition === owner.partition);
    const states = runs.map((run) => ({ ...run, phase: this._getPhase(agent, run), reason: "" }));
    const isSent = !faults.isPaused && !faults.isOffline && known <= owner.epoch;
    return (isReplyLost) => {
      if (!isSent || owner.state !== "owning") {
        return;
      }
      const reply = owner.handleReport(name, states, known === owner.epoch);
      const isCurrent = (agent.epochs.get(owner.partition) ?? 0) <= owner.epoch;
      if (!isReplyLost && isCurrent && agent.incarnation === incarnation) {
        agent.epochs.set(owner.partition, owner.epoch);
        this._applyReply(agent, runs, reply, sentAt);
      }
    };
  }

  override async startTask(controlAddress: string, order: StartOrder): Promise<StartOutcome> {
    const agent = this._get(controlAddress);
    return this._call(agent, () => this._start(agent, order));
  }

  override async stopTask(controlAddress: string, order: StopOrder): Promise<StopOutcome> {
    const agent = this._get(controlAddress);
    return this._call(agent, () => this._stop(agent, order));
  }

  private _applyReply(
    agent: FakeAgent,
    runs: readonly FakeRun[],
    reply: ReportAnswer,
    sentAt: number,
  ): void {
    reply.verdicts.forEach((verdict, index) => {
      const run = runs[index];
      if (run === undefined) {
        return;
      }
      if (verdict.recorded) {
        agent.runs.delete(getKey(run));
      } else if (verdict.stop) {
        this._stopRun(agent, run);
      } else if (this._isLive(agent, run)) {
        run.leaseUntil = Math.max(run.leaseUntil, sentAt + reply.leaseMs);
      }
    });
  }

  private async _call<T>(agent: FakeAgent, execute: () => T): Promise<T | { kind: "unknown" }> {
    if (agent.faults.isOffline || agent.faults.isPaused) {
      if (agent.faults.isPaused) {
        agent.delayedOrders.push(execute);
      }
      await this._clock.sleep(CALL_TIMEOUT_MS);
      return { kind: "unknown" };
    }
    const outcome = execute();
    if (agent.faults.lostReplies > 0) {
      agent.faults.lostReplies -= 1;
      agent.faults.isOffline ||= agent.faults.disconnectsWithLostReply;
      return { kind: "unknown" };
    }
    return Promise.resolve(outcome);
  }

  private _start(agent: FakeAgent, order: StartOrder): StartOutcome {
    const { task, attempt, partition, epoch, checkpoint } = order;
    const isStale =
      order.incarnation !== String(agent.incarnation) ||
      epoch < (agent.epochs.get(partition) ?? 0) ||
      agent.stopped.has(getKey(order)) ||
      agent.runs.has(getKey(order)) ||
      this._getTime(agent) - order.sequence >= order.expiresMs;
    const isFull = this._getLive(agent).length * 1_000 >= CAPACITY.processorsMilli;
    if (isStale || isFull) {
      return { kind: "refused", reason: isFull ? "full" : "stale" };
    }
    agent.epochs.set(partition, epoch);
    const elsewhere = this.getRunning().find((run) => run.task === task);
    if (elsewhere !== undefined) {
      const { agent: other, attempt: before } = elsewhere;
      this.violations.push(
        `${task}#${attempt} started on ${agent.name}, #${before} runs on ${other}`,
      );
    }
    const run: FakeRun = {
      agent: agent.name,
      task,
      attempt,
      partition,
      startCheckpoint: checkpoint,
      phase: "running",
      leaseUntil: order.sequence + order.leaseMs,
      checkpoint,
      isLost: false,
    };
    agent.runs.set(getKey(run), run);
    this.history.push(run);
    return { kind: "accepted" };
  }

  private _stop(agent: FakeAgent, order: StopOrder): StopOutcome {
    const { task, attempt, partition, epoch } = order;
    if (epoch < (agent.epochs.get(partition) ?? 0)) {
      return { kind: "unknown" };
    }
    agent.epochs.set(partition, epoch);
    agent.stopped.add(getKey(order));
    const run = agent.runs.get(getKey(order));
    if (run === undefined) {
      return { kind: "stopped", ended: undefined, checkpoint: "", reason: "" };
    }
    if (order.checkpoint && this._isLive(agent, run)) {
      run.checkpoint = `${task}#${attempt}`;
    }
    this._stopRun(agent, run);
    const ended = run.phase === "completed" || run.phase === "failed" ? run.phase : undefined;
    return { kind: "stopped", ended, checkpoint: run.checkpoint, reason: "" };
  }

  private _stopRun(agent: FakeAgent, run: FakeRun): void {
    if (run.phase === "running") {
      run.phase = "stopped";
    }
    agent.stopped.add(getKey(run));
  }

  private _getPhase(agent: FakeAgent, run: FakeRun): ReportedPhase {
    return run.phase === "running" && !this._isLive(agent, run) ? "stopped" : run.phase;
  }

  private _getLive(agent: FakeAgent): readonly FakeRun[] {
    return [...agent.runs.values()].filter((run) => this._isLive(agent, run));
  }

  private _isLive(agent: FakeAgent, run: FakeRun): boolean {
    return run.phase === "running" && !run.isLost && this._getTime(agent) < run.leaseUntil;
  }

  private _getTime(agent: FakeAgent): number {
    return this._clock.now() * agent.clockRate;
  }

  private _get(name: string): FakeAgent {
    const agent = this._agents.find((other) => other.name === name);
    if (agent === undefined) {
      throw new Error(`unknown agent ${name}`);
    }
    return agent;
  }
}

function getKey(run: { readonly task: string; readonly attempt: number }): string {
  return `${run.task}#${run.attempt}`;
}
