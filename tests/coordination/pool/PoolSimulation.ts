/**
 * Simulates a pool in virtual time: a store, entries that compete to schedule the pool, agents with
 * worker stand-ins, and faults between all of them. A journal records which runs the workers really
 * executed.
 */
import { PoolCoordinator } from "../../../src/coordination/pool/PoolCoordinator.ts";
import type { PoolTimings } from "../../../src/coordination/pool/PoolTimings.ts";
import { MonitoredStore } from "../../../src/coordination/pool/MonitoredStore.ts";
import { StoreSilenceMonitor } from "../../../src/coordination/pool/StoreSilenceMonitor.ts";
import {
  SubmissionService,
  type SubmissionOutcome,
} from "../../../src/coordination/pool/SubmissionService.ts";
import {
  AgentChannel,
  type AgentOutcome,
  type AgentReport,
  type ObserveCall,
  type OrderCall,
  type OrderReport,
} from "../../../src/coordination/pool/AgentChannel.ts";
import { PoolWorkerAgent } from "../../../src/coordination/pool/PoolWorkerAgent.ts";
import type { JobDefinition } from "../../../src/protocol/pool/JobDefinition.ts";
import type { QueueConfig } from "../../../src/protocol/pool/QueueConfig.ts";
import { getAgentKey } from "../../../src/state/pool/PoolKeys.ts";
import { MemoryStore } from "../../../standins/store/MemoryStore.ts";
import { StoreModel } from "../../../standins/store/StoreModel.ts";
import {
  PoolWorkerModel,
  type JournalRun,
  type TaskRequirements,
} from "../../../standins/pool/PoolWorkerModel.ts";
import { PoolWorkerAddress } from "../../../standins/pool/PoolWorkerAddress.ts";
import { ManualClock } from "../../support/ManualClock.ts";
import { MemoryLog } from "../../support/MemoryLog.ts";
import { POOL } from "../../support/poolFixtures.ts";
import { SeededRandom } from "../../support/SeededRandom.ts";
import type { SharedLink } from "../../support/SharedLink.ts";

const HEARTBEAT_MS = 1_000;

/** Timings of the simulated pool. */
export const TIMINGS: PoolTimings = {
  workerLeaseMs: 5_000,
  grantHorizonMs: 4_000,
  observeWaitMs: 1_000,
  measureWaitMs: 400,
  agentTimeoutMs: 1_000,
  commitIntervalMs: 20,
  retentionMs: 600_000,
  schedulerLeaseMs: 2_000,
  claimDelayMs: 0,
};

/** Queue of the tests' jobs. */
export const QUEUE: QueueConfig = {
  name: "queue-a",
  host: "host-a",
  pathPrefix: "/a/",
  pool: POOL,
  priority: 0,
  maxAttempts: 3,
  stretch: 2,
  latencyTargetMs: 500,
};

/** A simulated entry. */
export interface SimulatedEntry {
  readonly name: string;
  readonly store: MemoryStore;
  readonly coordinator: PoolCoordinator;
  readonly submissions: SubmissionService;
  /** Whether its calls to agents are lost. */
  isDisconnected: boolean;
  /** Names of agents to which its calls are lost. */
  readonly cutAgents: Set<string>;
  isStopped: boolean;
}

/** A simulated agent with its worker. */
export interface SimulatedAgent {
  readonly name: string;
  workerAgent: PoolWorkerAgent;
  worker: PoolWorkerModel;
  /** Where its agent calls its worker. */
  readonly address: PoolWorkerAddress;
  isDisconnected: boolean;
}

/** A pool with its store, entries, agents and workers. */
export class PoolSimulation {
  readonly clock = new ManualClock();
  readonly log = new MemoryLog();
  readonly storeModel = new StoreModel(this.clock);
  readonly journal: JournalRun[] = [];
  readonly entries: SimulatedEntry[] = [];
  readonly agents: SimulatedAgent[] = [];
  /** Link that all orders to agents share; undefined for one without limits. */
  orderLink: SharedLink | undefined;
  private readonly _random: SeededRandom;
  private readonly _requirements = new Map<string, TaskRequirements>();
  private readonly _timings: PoolTimings;
  private _processCount = 0;

  /**
   * Creates a simulation without entries and agents.
   * @param seed - Seed of the random choices.
   * @param timings - Timings that differ from the defaults.
   */
  constructor(seed = 1, timings: Partial<PoolTimings> = {}) {
    this._timings = { ...TIMINGS, ...timings };
    this._random = new SeededRandom(seed);
  }

  /**
   * Adds an entry.
   * @param name - Its name.
   * @param store - Its connection to the store.
   */
  addEntry(
    name: string,
    store: MemoryStore = new MemoryStore(this.clock, this.storeModel),
  ): SimulatedEntry {
    this._processCount += 1;
    const getTimeOfDay = (): number => this.clock.now();
    const entry: { isDisconnected: boolean; isStopped: boolean } = {
      isDisconnected: false,
      isStopped: false,
    };
    const cutAgents = new Set<string>();
    const { clock, log } = this;
    const silenceMonitor = new StoreSilenceMonitor({ store, clock, log });
    const monitored = new MonitoredStore(store, silenceMonitor);
    const coordinator = new PoolCoordinator({
      identity: { entry: name, process: `${name}-${this._processCount}` },
      store: monitored,
      clock: this.clock,
      random: this._random,
      log: this.log.child(name),
      timings: this._timings,
      channel: new SimulatedChannel(
        this,
        (agent) => entry.isDisconnected || entry.isStopped || cutAgents.has(agent),
      ),
      getTimeOfDay,
    });
    const submissions = new SubmissionService({
      store: monitored,
      silenceMonitor,
      clock,
      log,
      catalog: coordinator.catalog,
      getTimeOfDay,
    });
    const added = Object.assign(entry, { name, store, coordinator, submissions, cutAgents });
    this.entries.push(added);
    coordinator.start();
    coordinator.setPools([POOL]);
    return added;
  }

  /**
   * Crashes an entry, so that it releases nothing.
   * @param entry - The entry.
   */
  killEntry(entry: SimulatedEntry): void {
    entry.isStopped = true;
    entry.store.startOutage();
    entry.coordinator.schedulers.forEach((scheduler) => {
      scheduler.stop();
    });
  }

  /**
   * Adds an agent with a worker.
   * @param name - Its name.
   * @param processorsMilli - Processors of the worker, in thousandths.
   */
  async addAgent(name: string, processorsMilli = 4_000): Promise<SimulatedAgent> {
    const worker = this._createWorker(name, processorsMilli);
    const address = new PoolWorkerAddress(worker);
    const agent = {
      ...{ name, worker, address },
      workerAgent: this._createWorkerAgent(address),
      isDisconnected: false,
    };
    this.agents.push(agent);
    await this._register(name);
    this._sendHeartbeats(agent);
    return agent;
  }

  /**
   * Replaces the process of an agent.
   * @param agent - The agent.
   */
  async restartAgent(agent: SimulatedAgent): Promise<void> {
    agent.workerAgent.stop();
    agent.workerAgent = this._createWorkerAgent(agent.address);
    await this._register(agent.name);
  }

  /**
   * Replaces a worker and the process of its agent; the new incarnation has the same id.
   * @param agent - The agent.
   */
  async crashWorker(agent: SimulatedAgent): Promise<void> {
    this.replaceWorker(agent);
    await this.restartAgent(agent);
  }

  /**
   * Replaces a worker by a new incarnation, which announces itself later; its agent continues.
   * @param agent - The agent.
   * @param id - Id of the new incarnation; the same by default.
   */
  replaceWorker(agent: SimulatedAgent, id = agent.name): void {
    const successor = this._createWorker(id, 4_000);
    agent.worker.crash(successor);
    agent.worker = successor;
    agent.address.worker = successor;
  }

  /**
   * Submits a job.
   * @param entry - Entry to which the job is submitted.
   * @param id - Its id.
   * @param definition - The job.
   * @param workMs - Run time of each task, in milliseconds; undefined for tasks that never end.
   */
  async submit(
    entry: SimulatedEntry,
    id: string,
    definition: JobDefinition,
    workMs: number | undefined,
  ): Promise<SubmissionOutcome> {
    this.setRequirements(id, definition, workMs);
    const outcome = entry.submissions.submit(QUEUE, id, definition, this.clock.now() + 2_500);
    await this.clock.advance(3_000);
    return outcome;
  }

  /**
   * Sets what the tasks of a job take on the workers; `submit` does so itself.
   * @param id - Id of the job.
   * @param definition - The job.
   * @param workMs - Run time of each task, in milliseconds; undefined for tasks that never end.
   */
  setRequirements(id: string, definition: JobDefinition, workMs: number | undefined): void {
    definition.steps.forEach((step, position) => {
      this._requirements.set(`${id}.${position}`, { resources: step.resources, workMs });
    });
  }

  /**
   * Gets the agent at an address.
   * @param address - The address.
   */
  getAgent(address: string): SimulatedAgent | undefined {
    return this.agents.find(({ name }) => name === address);
  }

  /**
   * Finds runs of one task that overlapped, and runs that started after a successful end of the
   * task had been acknowledged.
   */
  findViolations(): readonly string[] {
    const byTask = Map.groupBy(this.journal, ({ task }) => task);
    return [...byTask].flatMap(([task, runs]) => [
      ...findOverlaps(task, runs),
      ...findStartsAfterEnd(task, runs),
    ]);
  }

  private _createWorker(id: string, processorsMilli: number): PoolWorkerModel {
    return new PoolWorkerModel({
      clock: this.clock,
      id,
      startedAtMs: 1_000 + Math.floor(this.clock.now()) + this._processCount,
      pool: POOL,
      rack: "rack-1",
      capacity: { processorsMilli, memoryBytes: 1_000_000, accelerators: 0 },
      clockRate: 0.98,
      getRequirements: (task) => this._getRequirements(task),
      journal: this.journal,
    });
  }

  private _getRequirements(task: string): TaskRequirements {
    const [job, , step] = task.split(".");
    return (
      this._requirements.get(`${job ?? ""}.${step ?? ""}`) ?? {
        resources: { processorsMilli: 0, memoryBytes: 0, accelerators: 0 },
        workMs: 0,
      }
    );
  }

  private _createWorkerAgent(worker: PoolWorkerAddress): PoolWorkerAgent {
    this._processCount += 1;
    const { clock, log } = this;
    const process = `agent-${this._processCount}`;
    const workerAgent = new PoolWorkerAgent({ worker, clock, log: log.child("agent"), process });
    workerAgent.start();
    return workerAgent;
  }

  private async _register(name: string): Promise<void> {
    const store = new MemoryStore(this.clock, this.storeModel);
    const key = getAgentKey(name);
    this._processCount += 1;
    const record = {
      address: name,
      zone: "zone-a",
      pool: POOL,
      process: `p-${this._processCount}`,
    };
    const expected = (await store.read(key)).unwrapOr(undefined)?.revision ?? 0;
    await store.write({ key, value: JSON.stringify(record), expected });
  }

  private _sendHeartbeats(agent: SimulatedAgent): void {
    if (!agent.worker.faults.isUnresponsive) {
      agent.workerAgent.handleAnnouncement(agent.worker.announce());
    }
    this.clock.after(HEARTBEAT_MS, () => {
      this._sendHeartbeats(agent);
    });
  }
}

/** In-process channel; calls over a broken connection time out. */
class SimulatedChannel extends AgentChannel {
  private readonly _simulation: PoolSimulation;
  private readonly _isDisconnected: (agent: string) => boolean;

  constructor(simulation: PoolSimulation, isDisconnected: (agent: string) => boolean) {
    super();
    this._simulation = simulation;
    this._isDisconnected = isDisconnected;
  }

  override observe(address: string, call: ObserveCall): Promise<AgentOutcome<AgentReport>> {
    return this._call(address, call.waitMs, (workerAgent) => workerAgent.observe(call));
  }

  override async order(address: string, call: OrderCall): Promise<AgentOutcome<OrderReport>> {
    const bytes = Buffer.byteLength(JSON.stringify(call));
    const { orderLink } = this._simulation;
    const hasArrived = await (orderLink?.transfer(bytes, TIMINGS.agentTimeoutMs) ?? true);
    return hasArrived
      ? this._call(address, 0, (workerAgent) => workerAgent.order(call))
      : { kind: "unreachable", detail: "no response before the timeout" };
  }

  override reset(): void {
    // In-process calls have no connection.
  }

  private async _call<T>(
    address: string,
    waitMs: number,
    send: (workerAgent: PoolWorkerAgent) => Promise<AgentOutcome<T>>,
  ): Promise<AgentOutcome<T>> {
    const { clock } = this._simulation;
    const agent = this._simulation.getAgent(address);
    const lost = { kind: "unreachable", detail: "no response before the timeout" } as const;
    if (agent === undefined || this._isLost(agent)) {
      await clock.sleep(TIMINGS.agentTimeoutMs);
      return lost;
    }
    const timeout = clock.sleep(TIMINGS.agentTimeoutMs + waitMs).then(() => lost);
    const outcome = await Promise.race([send(agent.workerAgent), timeout]);
    return this._isLost(agent) ? lost : outcome;
  }

  private _isLost(agent: SimulatedAgent): boolean {
    return agent.isDisconnected || this._isDisconnected(agent.name);
  }
}

function findOverlaps(task: string, runs: readonly JournalRun[]): readonly string[] {
  const inOrder = runs.toSorted((a, b) => a.startedAt - b.startedAt);
  return inOrder.slice(1).flatMap((run, position) => {
    const before = inOrder[position];
    const endedAt = before?.endedAt ?? Number.POSITIVE_INFINITY;
    return run.startedAt < endedAt
      ? [`${task}: run ${run.run} on ${run.worker} started during run ${before?.run ?? 0}`]
      : [];
  });
}

function findStartsAfterEnd(task: string, runs: readonly JournalRun[]): readonly string[] {
  const doneAt = runs
    .filter(({ outcome, isAcknowledged }) => outcome === "done" && isAcknowledged === true)
    .map(({ endedAt }) => endedAt ?? 0);
  return runs
    .filter(({ startedAt }) => doneAt.some((at) => startedAt > at))
    .map(({ run, worker }) => `${task}: run ${run} on ${worker} started after the task was done`);
}
