/**
 * Simulated pool whose processes call each other over a network with delays. Entries can be frozen,
 * and an agent can be away for a while between two of its processes.
 */
import type { PoolWorker, WorkerAnnouncement } from "../../../src/protocol/platform/PoolWorker.ts";
import type { PoolWorkerAddress } from "../../../standins/pool/PoolWorkerAddress.ts";
import { SeededRandom } from "../../support/SeededRandom.ts";
import { DelayedChannel } from "./DelayedChannel.ts";
import { DelayedStore } from "./DelayedStore.ts";
import { DelayedWorkerAddress } from "./DelayedWorkerAddress.ts";
import { FreezableClock } from "./FreezableClock.ts";
import type { EntryConnections, EntryFaults } from "./EntryConnections.ts";
import { PoolSimulation } from "./PoolSimulation.ts";
import { TIMINGS, type SimulatedAgent } from "./simulatedPool.ts";
import { SimulatedNetwork } from "./SimulatedNetwork.ts";

/** How the next incarnation of a worker differs from the one before. */
export interface NextWorker {
  readonly id: string;
  /** Difference of its announced start to the time at which it starts, in milliseconds. */
  readonly bornShiftMs: number;
}

/** A pool over a network with delays. */
export class DelayedPoolSimulation extends PoolSimulation {
  readonly network: SimulatedNetwork;
  private readonly _clocks = new Map<string, FreezableClock>();
  /** By agent, the connection of its present process to the worker. */
  private readonly _callers = new Map<string, DelayedWorkerAddress>();
  /** By agent, what ends the calls in progress to its present process. */
  private readonly _openCalls = new Map<string, Set<() => void>>();
  private readonly _downAgents = new Set<string>();

  /**
   * Creates a simulation without entries and agents.
   * @param seed - Seed of the random choices and of the delays.
   */
  constructor(seed = 1) {
    super(seed);
    this.network = new SimulatedNetwork(this.clock, new SeededRandom(seed + 1));
  }

  /**
   * Freezes an entry.
   * @param name - Its name.
   * @param durationMs - For how long, in milliseconds.
   */
  freezeEntry(name: string, durationMs: number): void {
    this._clocks.get(name)?.freeze(durationMs);
  }

  /**
   * Returns whether the process of an agent has ended and the next one has not begun.
   * @param name - Name of the agent.
   */
  isDown(name: string): boolean {
    return this._downAgents.has(name);
  }

  /**
   * Calls back once the present process of an agent ends, if calls in progress fail then.
   * @param name - Name of the agent.
   * @param end - The callback.
   */
  whenEnded(name: string, end: () => void): void {
    if (this.network.resetsConnections) {
      const known = this._openCalls.get(name) ?? new Set();
      this._openCalls.set(name, known.add(end));
    }
  }

  /**
   * Ends the process of an agent.
   * @param agent - The agent.
   */
  endAgent(agent: SimulatedAgent): void {
    this._downAgents.add(agent.name);
    agent.workerAgent.stop();
    this._callers.get(agent.name)?.close();
    const openCalls = this._openCalls.get(agent.name) ?? [];
    this._openCalls.delete(agent.name);
    openCalls.forEach((end) => {
      end();
    });
  }

  /**
   * Starts the next process of an agent.
   * @param agent - The agent.
   */
  async startAgent(agent: SimulatedAgent): Promise<void> {
    this._downAgents.delete(agent.name);
    const { name, address } = agent;
    agent.workerAgent = this.createWorkerAgent(name, this.createCaller(name, address));
    await this.register(agent);
  }

  override async restartAgent(agent: SimulatedAgent): Promise<void> {
    this.endAgent(agent);
    await this.startAgent(agent);
  }

  /**
   * Replaces a worker by a new incarnation that announces itself later; its agent continues.
   * @param agent - The agent.
   * @param next - The new incarnation.
   */
  replaceWorkerBy(agent: SimulatedAgent, { id, bornShiftMs }: NextWorker): void {
    agent.worker.crash();
    this.startNextWorker(agent, id, agent.worker.capacity.processorsMilli, bornShiftMs);
  }

  /**
   * Sends an announcement to the process of an agent that is there when it arrives.
   * @param agent - The agent.
   * @param announcement - The announcement.
   */
  sendHeartbeat(agent: SimulatedAgent, announcement: WorkerAnnouncement): void {
    this.announce(agent, announcement);
  }

  protected override announce(agent: SimulatedAgent, announcement: WorkerAnnouncement): void {
    void this.network.transfer("heartbeat", [agent.name]).then(() => {
      if (!this.isDown(agent.name)) {
        agent.workerAgent.handleAnnouncement(announcement);
      }
    });
  }

  protected override createConnections(name: string, faults: EntryFaults): EntryConnections {
    const { network } = this;
    const clock = new FreezableClock(this.clock);
    this._clocks.set(name, clock);
    const { agentTimeoutMs: timeoutMs } = TIMINGS;
    return {
      clock,
      store: new DelayedStore(clock, this.storeModel, name, network),
      channel: new DelayedChannel({
        ...{ simulation: this, network, clock, timeoutMs },
        entry: name,
        // Orders that an entry sent before it crashed still arrive.
        isDisconnected: (agent) => faults.isDisconnected || faults.cutAgents.has(agent),
      }),
    };
  }

  protected override createCaller(agent: string, address: PoolWorkerAddress): PoolWorker {
    const caller = new DelayedWorkerAddress(address, agent, this.network, this.clock);
    this._callers.set(agent, caller);
    return caller;
  }
}
