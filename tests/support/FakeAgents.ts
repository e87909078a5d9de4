/**
 * Agents within the process, for tests of partition owners: they keep the agents' contract on
 * leases, epochs and incarnations on clocks of their own, can be frozen, cut off and restarted, can
 * lose answers, and note every start, so that a task in two places at once is seen.
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

/** A run of an attempt on one fake agent. */
export interface FakeRun {
  readonly agent: string;
  readonly task: string;
  readonly attempt: number;
  readonly partition: number;
  /** Checkpoint from which the run started. */
  readonly startCheckpoint: string;
  phase: ReportedPhase;
  leaseUntil: number;
  checkpoint: string;
  /** Whether an agent that was restarted has lost the run. */
  isLost: boolean;
}

/** Faults of one fake agent. */
export interface FakeAgentFaults {
  /** Orders wait and are carried out late; reports are not sent. */
  isPaused: boolean;
  /** No order arrives. */
  isOffline: boolean;
  /** Number of next orders that are carried out while the answer is lost. */
  lostReplies: number;
  /** Whether the agent is cut off with the next answer that is lost. */
  disconnectsWithLostReply: boolean;
}

interface FakeAgent {
  readonly name: string;
  /** Rate of the agent's clock. */
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
  /** Every run that was ever started. */
  readonly history: FakeRun[] = [];
  /** Tasks that were started while they ran elsewhere, and starts beyond the capacity. */
  readonly violations: string[] = [];
  private readonly _clock: Clock;
  private readonly _agents: readonly FakeAgent[];

  /**
   * Creates agents.
   * @param clock - Real time.
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
   * Gives the faults of an agent.
   * @param name - Name of the agent.
   */
  getFaults(name: string): FakeAgentFaults {
    return this._get(name).faults;
  }

  /**
   * Gives the record of an agent as a heartbeat sent now would make it.
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

  /** Gives the runs that run now. */
  getRunning(): readonly FakeRun[] {
    return this._agents.flatMap((agent) => this._getLive(agent));
  }

  /**
   * Carries out what waited for a frozen agent.
   * @param name - Name of the agent.
   */
  resume(name: string): void {
    const agent = this._get(name);
    agent.faults.isPaused = false;
    agent.delayedOrders.splice(0).forEach((carryOut) => {
      carryOut();
    });
  }

  /**
   * Replaces a VM: its runs end and its agent knows nothing.
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
   * Ends a run by itself.
   * @param run - The run.
   * @param phase - How it ends.
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
   * @param isReplyLost - Whether the answer is lost.
   */
  report(name: string, owner: PartitionOwner, isReplyLost = false): void {
    this.composeReport(name, owner)(isReplyLost);
  }

  /**
   * Composes a report that arrives later.
   * @param name - Name of the agent.
   * @param owner - The owner.
   * @returns Delivers the report.
   */
  composeReport(name: string, owner: PartitionOwner): (isAnswerLost: boolean) => void {
    const agent = this._get(name);
    const { epochs, faults, incarnation } = agent;
    const known = epochs.get(owner.partition) ?? 0;
    const sentAt = this._getTime(agent);
    const runs = [...agent.runs.values()].filter((run) => run.partition === owner.partition);
    const states = runs.map((run) => ({ ...run, phase: this._getPhase(agent, run), reason: "" }));
    const isSent = !faults.isPaused && !faults.isOffline && known <= owner.epoch;
    return (isAnswerLost) => {
      if (!isSent || owner.state !== "owning") {
        return;
      }
      const answer = owner.handleReport(name, states, known === owner.epoch);
      const isCurrent = (agent.epochs.get(owner.partition) ?? 0) <= owner.epoch;
      if (!isAnswerLost && isCurrent && agent.incarnation === incarnation) {
        agent.epochs.set(owner.partition, owner.epoch);
        this._applyReply(agent, runs, answer, sentAt);
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
    answer: ReportAnswer,
    sentAt: number,
  ): void {
    answer.verdicts.forEach((verdict, index) => {
      const run = runs[index];
      if (run === undefined) {
        return;
      }
      if (verdict.recorded) {
        agent.runs.delete(getKey(run));
      } else if (verdict.stop) {
        this._stopRun(agent, run);
      } else if (this._isLive(agent, run)) {
        run.leaseUntil = Math.max(run.leaseUntil, sentAt + answer.leaseMs);
      }
    });
  }

  private async _call<T>(agent: FakeAgent, carryOut: () => T): Promise<T | { kind: "unknown" }> {
    if (agent.faults.isOffline || agent.faults.isPaused) {
      if (agent.faults.isPaused) {
        agent.delayedOrders.push(carryOut);
      }
      await this._clock.sleep(CALL_TIMEOUT_MS);
      return { kind: "unknown" };
    }
    const outcome = carryOut();
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
      this.violations.push(`${task}#${attempt} on ${agent.name}, #${before} still on ${other}`);
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
      throw new Error(`no agent ${name}`);
    }
    return agent;
  }
}

function getKey(run: { readonly task: string; readonly attempt: number }): string {
  return `${run.task}#${run.attempt}`;
}
