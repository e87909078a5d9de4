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
import { PoolWorkerAgent } from "../../../src/coordination/pool/PoolWorkerAgent.ts";
import type { JobDefinition } from "../../../src/protocol/pool/JobDefinition.ts";
import type { PoolWorker, WorkerAnnouncement } from "../../../src/protocol/platform/PoolWorker.ts";
import { MemoryStore } from "../../../standins/store/MemoryStore.ts";
import { StoreModel } from "../../../standins/store/StoreModel.ts";
import { PoolWorkerAddress } from "../../../standins/pool/PoolWorkerAddress.ts";
import type { JournalCapacity, JournalRun } from "../../../standins/pool/poolJournal.ts";
import { PoolWorkerModel } from "../../../standins/pool/PoolWorkerModel.ts";
import type { TaskRequirements } from "../../../standins/pool/PoolWorkerModelDependencies.ts";
import { ManualClock } from "../../support/ManualClock.ts";
import { MemoryLog } from "../../support/MemoryLog.ts";
import { POOL } from "../../support/poolFixtures.ts";
import { SeededRandom } from "../../support/SeededRandom.ts";
import type { SharedLink } from "../../support/SharedLink.ts";
import { findOverCapacity, findOverlaps, findStartsAfterEnd } from "./runViolations.ts";
import type { EntryConnections, EntryFaults } from "./EntryConnections.ts";
import { getAgentAddress, registerAgent } from "./registerAgent.ts";
import { SimulatedChannel } from "./SimulatedChannel.ts";
import {
  QUEUE,
  TIMINGS,
  type SimulatedAgent,
  type SimulatedEntry,
  type SimulatedJob,
} from "./simulatedPool.ts";

const HEARTBEAT_MS = 1_000;

/** A pool with its store, entries, agents and workers. */
export class PoolSimulation {
  readonly clock = new ManualClock();
  readonly log = new MemoryLog();
  readonly storeModel = new StoreModel(this.clock);
  readonly journal: JournalRun[] = [];
  readonly capacityJournal: JournalCapacity[] = [];
  readonly entries: SimulatedEntry[] = [];
  readonly agents: SimulatedAgent[] = [];
  /** Link that all orders to agents share; undefined for one without limits. */
  orderLink: SharedLink | undefined;
  /** Time from a crash under a task to the next incarnation, in milliseconds. */
  workerRestartMs = 3_000;
  /** Whether the incarnation after a crash under a task has an id of its own. */
  changesWorkerIds = false;
  /** By how much longer each task of a step runs than the one before it, in milliseconds. */
  extraWorkMs = 0;
  /** Longest lease that the workers accept, in milliseconds. */
  maxLeaseMs = Number.POSITIVE_INFINITY;
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
   * @param ownStore - Its connection to the store; a new one by default.
   */
  addEntry(name: string, ownStore?: MemoryStore): SimulatedEntry {
    this._processCount += 1;
    const getTimeOfDay = (): number => this.clock.now();
    const cutAgents = new Set<string>();
    const entry: EntryFaults = { isDisconnected: false, isStopped: false, cutAgents };
    const { log } = this;
    const connections = this.createConnections(name, entry);
    const { clock, channel } = connections;
    const store = ownStore ?? connections.store;
    const silenceMonitor = new StoreSilenceMonitor({ store, clock, log });
    const monitored = new MonitoredStore(store, silenceMonitor);
    const coordinator = new PoolCoordinator({
      identity: { entry: name, process: `${name}-${this._processCount}` },
      store: monitored,
      clock,
      random: this._random,
      log: this.log.child(name),
      timings: this._timings,
      channel,
      getTimeOfDay,
    });
    const submissions = new SubmissionService({
      store: monitored,
      silenceMonitor,
      clock,
      log,
      catalog: coordinator.catalog,
      getPools: () => [POOL],
      getTimeOfDay,
    });
    const added = Object.assign(entry, { name, store, coordinator, submissions });
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
    const worker = this._createWorker(name, name, processorsMilli);
    const address = new PoolWorkerAddress(worker);
    const agent = {
      ...{ name, worker, address },
      workerAgent: this.createWorkerAgent(name, this.createCaller(name, address)),
      isDisconnected: false,
    };
    this.agents.push(agent);
    await this.register(agent);
    this._sendHeartbeats(agent);
    return agent;
  }

  /**
   * Replaces the process of an agent.
   * @param agent - The agent.
   */
  async restartAgent(agent: SimulatedAgent): Promise<void> {
    agent.workerAgent.stop();
    const { name, address } = agent;
    agent.workerAgent = this.createWorkerAgent(name, this.createCaller(name, address));
    await this.register(agent);
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
    agent.worker.crash();
    this.startNextWorker(agent, id, 4_000);
  }

  /**
   * Lets a worker crash by itself; its agent lives on, and the next incarnation is up after the
   * time of a restart.
   * @param agent - Its agent.
   */
  crashWorkerOnly(agent: SimulatedAgent): void {
    agent.worker.crash();
    this._scheduleRestart(agent);
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
    const [outcome] = await this.submitAll(entry, [{ id, definition, workMs }]);
    return outcome ?? { kind: "not-found" };
  }

  /**
   * Submits jobs at the same time.
   * @param entry - Entry to which they are submitted.
   * @param jobs - The jobs.
   */
  async submitAll(
    entry: SimulatedEntry,
    jobs: readonly SimulatedJob[],
  ): Promise<readonly SubmissionOutcome[]> {
    const outcomes = jobs.map(({ id, definition, workMs, crashesWorkerAfterMs }) => {
      this.setRequirements(id, definition, workMs, crashesWorkerAfterMs);
      return entry.submissions.submit(QUEUE, id, definition, this.clock.now() + 2_500);
    });
    await this.clock.advance(3_000);
    return Promise.all(outcomes);
  }

  /**
   * Sets what the tasks of a job take on the workers; `submit` and `submitAll` do so themselves.
   * @param id - Id of the job.
   * @param definition - The job.
   * @param workMs - Run time of each task, in milliseconds; undefined for tasks that never end.
   * @param crashesWorkerAfterMs - Time after which each run crashes its worker, in milliseconds;
   *   undefined for none.
   */
  setRequirements(
    id: string,
    definition: JobDefinition,
    workMs: number | undefined,
    crashesWorkerAfterMs?: number,
  ): void {
    definition.steps.forEach(({ resources }, position) => {
      this._requirements.set(`${id}.${position}`, { resources, workMs, crashesWorkerAfterMs });
    });
  }

  /**
   * Gets an agent.
   * @param name - Its name.
   */
  getAgent(name: string): SimulatedAgent | undefined {
    return this.agents.find((agent) => agent.name === name);
  }

  /**
   * Gets the agent at an address.
   * @param address - The address.
   */
  getAgentAt(address: string): SimulatedAgent | undefined {
    return this.agents.find(({ name }) => getAgentAddress(name) === address);
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

  /** Finds starts that brought a worker over its capacity. */
  findOverCapacity(): readonly string[] {
    return findOverCapacity(this.journal, this.capacityJournal);
  }

  /**
   * Starts the next incarnation at the address of a worker that has crashed.
   * @param agent - Its agent.
   * @param id - Id of the incarnation.
   * @param processorsMilli - Its processors, in thousandths.
   * @param bornShiftMs - Difference of its announced start to the present time, in milliseconds.
   */
  protected startNextWorker(
    agent: SimulatedAgent,
    id: string,
    processorsMilli: number,
    bornShiftMs = 0,
  ): void {
    const next = this._createWorker(agent.name, id, processorsMilli, bornShiftMs);
    agent.worker.successor = next;
    agent.worker = next;
    agent.address.worker = next;
  }

  private _scheduleRestart(agent: SimulatedAgent): void {
    const { processorsMilli } = agent.worker.capacity;
    this.clock.after(this.workerRestartMs, () => {
      if (agent.worker.isDead) {
        this._processCount += 1;
        const id = this.changesWorkerIds ? `${agent.name}-${this._processCount}` : agent.name;
        this.startNextWorker(agent, id, processorsMilli);
      }
    });
  }

  private _createWorker(
    agent: string,
    id: string,
    processorsMilli: number,
    bornShiftMs = 0,
  ): PoolWorkerModel {
    return new PoolWorkerModel({
      clock: this.clock,
      id,
      startedAtMs: 1_000 + Math.floor(this.clock.now()) + this._processCount + bornShiftMs,
      pool: POOL,
      rack: "rack-1",
      capacity: { processorsMilli, memoryBytes: 1_000_000, accelerators: 0 },
      clockRate: 0.98,
      maxLeaseMs: this.maxLeaseMs,
      getRequirements: (task) => this._getRequirements(task),
      journal: this.journal,
      capacityJournal: this.capacityJournal,
      onCrashed: () => {
        const crashed = this.getAgent(agent);
        if (crashed !== undefined) {
          this._scheduleRestart(crashed);
        }
      },
    });
  }

  private _getRequirements(task: string): TaskRequirements {
    const [job, , step, index] = task.split(".");
    const requirements = this._requirements.get(`${job ?? ""}.${step ?? ""}`) ?? {
      resources: { processorsMilli: 0, memoryBytes: 0, accelerators: 0 },
      workMs: 0,
    };
    const { workMs } = requirements;
    return {
      ...requirements,
      workMs: workMs && workMs + Number(index) * this.extraWorkMs,
    };
  }

  /**
   * Connects an entry.
   * @param _name - Name of the entry.
   * @param faults - Faults of its calls.
   */
  protected createConnections(_name: string, faults: EntryFaults): EntryConnections {
    const isLost = (agent: string): boolean =>
      faults.isDisconnected || faults.isStopped || faults.cutAgents.has(agent);
    return {
      clock: this.clock,
      store: new MemoryStore(this.clock, this.storeModel),
      channel: new SimulatedChannel(this, TIMINGS.agentTimeoutMs, isLost),
    };
  }

  /**
   * Connects the next process of an agent with its worker.
   * @param _agent - Name of the agent.
   * @param address - Address of the worker.
   */
  protected createCaller(_agent: string, address: PoolWorkerAddress): PoolWorker {
    return address;
  }

  /**
   * Delivers an announcement to the process of an agent.
   * @param agent - The agent.
   * @param announcement - The announcement.
   */
  protected announce(agent: SimulatedAgent, announcement: WorkerAnnouncement): void {
    agent.workerAgent.handleAnnouncement(announcement);
  }

  /**
   * Starts a process of an agent. It is registered again when that is due, unless it has been replaced.
   * @param name - Name of the agent.
   * @param worker - Its worker.
   */
  protected createWorkerAgent(name: string, worker: PoolWorker): PoolWorkerAgent {
    this._processCount += 1;
    const { clock, log } = this;
    const process = `agent-${this._processCount}`;
    const workerAgent = new PoolWorkerAgent({
      ...{ worker, clock, log: log.child("agent"), process },
      onRegistrationDue: () => {
        const agent = this.agents.find((known) => known.name === name);
        if (agent?.workerAgent === workerAgent) {
          void this.register(agent);
        }
      },
    });
    workerAgent.start();
    return workerAgent;
  }

  /**
   * Registers the process of an agent in the store.
   * @param agent - The agent.
   */
  protected async register({ name, workerAgent }: SimulatedAgent): Promise<void> {
    this._processCount += 1;
    const store = new MemoryStore(this.clock, this.storeModel);
    const process = `p-${this._processCount}`;
    workerAgent.register(await registerAgent(store, this.clock, name, process));
  }

  private _sendHeartbeats(agent: SimulatedAgent): void {
    if (!agent.worker.faults.isUnresponsive && !agent.worker.isDead) {
      this.announce(agent, agent.worker.announce());
    }
    this.clock.after(HEARTBEAT_MS, () => {
      this._sendHeartbeats(agent);
    });
  }
}
