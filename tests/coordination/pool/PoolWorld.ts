/**
 * A pool in virtual time for tests: a store, entries that compete for the scheduling, agents with
 * worker stand-ins, and faults between all of them. A journal shows what really ran.
 */
import { PoolCoordinator } from "../../../src/coordination/pool/PoolCoordinator.ts";
import type { PoolTerms } from "../../../src/coordination/pool/PoolTerms.ts";
import { SubmissionDesk, type DeskOutcome } from "../../../src/coordination/pool/SubmissionDesk.ts";
import {
  AgentChannel,
  type AgentOutcome,
  type AgentReport,
  type ObserveCall,
  type OrderCall,
  type OrderReport,
} from "../../../src/coordination/pool/AgentChannel.ts";
import { WorkerKeeper } from "../../../src/coordination/pool/WorkerKeeper.ts";
import type { JobDefinition } from "../../../src/protocol/pool/JobDefinition.ts";
import type { QueueConfig } from "../../../src/protocol/pool/QueueConfig.ts";
import { getAgentKey } from "../../../src/state/pool/PoolKeys.ts";
import { MemoryStore } from "../../../standins/store/MemoryStore.ts";
import { StoreModel } from "../../../standins/store/StoreModel.ts";
import {
  PoolWorkerModel,
  type JournalRun,
  type TaskNeed,
} from "../../../standins/pool/PoolWorkerModel.ts";
import { ManualClock } from "../../support/ManualClock.ts";
import { MemoryLog } from "../../support/MemoryLog.ts";
import { POOL } from "../../support/poolFixtures.ts";
import { SeededRandom } from "../../support/SeededRandom.ts";

const HEARTBEAT_MS = 1_000;

/** Times of the tests' pool. */
export const TERMS: PoolTerms = {
  workerLeaseMs: 5_000,
  grantHorizonMs: 4_000,
  observeWaitMs: 1_000,
  measureWaitMs: 400,
  agentTimeoutMs: 1_000,
  commitIntervalMs: 20,
  retentionMs: 600_000,
  schedulerLeaseMs: 2_000,
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

/** One entry of the world. */
export interface WorldEntry {
  readonly name: string;
  readonly store: MemoryStore;
  readonly coordinator: PoolCoordinator;
  readonly desk: SubmissionDesk;
  /** Whether its calls reach agents. */
  isCut: boolean;
  isStopped: boolean;
}

/** One agent of the world. */
export interface WorldAgent {
  readonly name: string;
  keeper: WorkerKeeper;
  worker: PoolWorkerModel;
  isCut: boolean;
}

/** A pool with its surroundings. */
export class PoolWorld {
  readonly clock = new ManualClock();
  readonly log = new MemoryLog();
  readonly model = new StoreModel(this.clock);
  readonly journal: JournalRun[] = [];
  readonly entries: WorldEntry[] = [];
  readonly agents: WorldAgent[] = [];
  private readonly _random: SeededRandom;
  private readonly _needs = new Map<string, TaskNeed>();
  private readonly _terms: PoolTerms;
  private _processes = 0;

  /**
   * Creates an empty world.
   * @param seed - Seed of the random choices.
   * @param terms - Times that differ from the usual ones.
   */
  constructor(seed = 1, terms: Partial<PoolTerms> = {}) {
    this._terms = { ...TERMS, ...terms };
    this._random = new SeededRandom(seed);
  }

  /**
   * Adds an entry.
   * @param name - Its name.
   */
  addEntry(name: string): WorldEntry {
    this._processes += 1;
    const store = new MemoryStore(this.clock, this.model);
    const getTimeOfDay = (): number => this.clock.now();
    const entry: { isCut: boolean; isStopped: boolean } = { isCut: false, isStopped: false };
    const coordinator = new PoolCoordinator({
      identity: { entry: name, process: `${name}-${this._processes}` },
      store,
      clock: this.clock,
      random: this._random,
      log: this.log.part(name),
      terms: this._terms,
      channel: new WorldChannel(this, () => entry.isCut || entry.isStopped),
      getTimeOfDay,
    });
    const { clock, log } = this;
    const desk = new SubmissionDesk({
      store,
      clock,
      log,
      catalog: coordinator.catalog,
      getTimeOfDay,
    });
    const added = Object.assign(entry, { name, store, coordinator, desk });
    this.entries.push(added);
    coordinator.start();
    coordinator.setPools([POOL]);
    return added;
  }

  /**
   * Ends an entry without any farewell.
   * @param entry - The entry.
   */
  killEntry(entry: WorldEntry): void {
    entry.isStopped = true;
    entry.store.startOutage();
    entry.coordinator.schedulers.forEach((scheduler) => {
      scheduler.stop();
    });
  }

  /**
   * Adds an agent with a worker.
   * @param name - Its name.
   * @param processorsMilli - What the worker has.
   */
  async addAgent(name: string, processorsMilli = 4_000): Promise<WorldAgent> {
    const worker = this._createWorker(name, processorsMilli);
    const agent = { name, worker, keeper: this._createKeeper(worker), isCut: false };
    this.agents.push(agent);
    await this._register(name);
    this._beat(agent);
    return agent;
  }

  /**
   * Replaces the process of an agent.
   * @param agent - The agent.
   */
  async restartAgent(agent: WorldAgent): Promise<void> {
    agent.keeper.stop();
    agent.keeper = this._createKeeper(agent.worker);
    await this._register(agent.name);
  }

  /**
   * Replaces a worker by a new incarnation with the same id.
   * @param agent - Its agent.
   */
  async crashWorker(agent: WorldAgent): Promise<void> {
    agent.worker.crash();
    agent.worker = this._createWorker(agent.name, 4_000);
    await this.restartAgent(agent);
  }

  /**
   * Hands a job in.
   * @param entry - Where.
   * @param id - Its id.
   * @param definition - The job.
   * @param workMs - Time that each task works; undefined for work without end.
   */
  async submit(
    entry: WorldEntry,
    id: string,
    definition: JobDefinition,
    workMs: number | undefined,
  ): Promise<DeskOutcome> {
    definition.steps.forEach((step, position) => {
      this._needs.set(`${id}.${position}`, { resources: step.resources, workMs });
    });
    const outcome = entry.desk.submit(QUEUE, id, definition, this.clock.now() + 2_500);
    await this.clock.advance(3_000);
    return outcome;
  }

  /**
   * Gives the agent at an address.
   * @param address - The address.
   */
  getAgent(address: string): WorldAgent | undefined {
    return this.agents.find(({ name }) => name === address);
  }

  /** Runs of one task that were at work at the same time, and starts after an end that was noted. */
  findViolations(): readonly string[] {
    const byTask = Map.groupBy(this.journal, ({ task }) => task);
    return [...byTask].flatMap(([task, runs]) => [
      ...findOverlaps(task, runs),
      ...findRepeats(task, runs),
    ]);
  }

  private _createWorker(id: string, processorsMilli: number): PoolWorkerModel {
    return new PoolWorkerModel({
      clock: this.clock,
      id,
      bornAtMs: 1_000 + Math.floor(this.clock.now()) + this._processes,
      pool: POOL,
      rack: "rack-1",
      capacity: { processorsMilli, memoryBytes: 1_000_000, accelerators: 0 },
      clockRate: 0.98,
      getNeed: (task) => this._getNeed(task),
      journal: this.journal,
    });
  }

  private _getNeed(task: string): TaskNeed {
    const [job, , step] = task.split(".");
    return (
      this._needs.get(`${job ?? ""}.${step ?? ""}`) ?? {
        resources: { processorsMilli: 0, memoryBytes: 0, accelerators: 0 },
        workMs: 0,
      }
    );
  }

  private _createKeeper(worker: PoolWorkerModel): WorkerKeeper {
    this._processes += 1;
    const { clock, log } = this;
    const process = `agent-${this._processes}`;
    const keeper = new WorkerKeeper({ worker, clock, log: log.part("agent"), process });
    keeper.start();
    return keeper;
  }

  private async _register(name: string): Promise<void> {
    const store = new MemoryStore(this.clock, this.model);
    const key = getAgentKey(name);
    this._processes += 1;
    const record = { address: name, zone: "zone-a", pool: POOL, process: `p-${this._processes}` };
    const expected = (await store.read(key)).unwrapOr(undefined)?.revision ?? 0;
    await store.write({ key, value: JSON.stringify(record), expected });
  }

  private _beat(agent: WorldAgent): void {
    if (!agent.worker.faults.silent) {
      agent.keeper.announce(agent.worker.announce());
    }
    this.clock.after(HEARTBEAT_MS, () => {
      this._beat(agent);
    });
  }
}

/** Channel within the process; a call that is cut off gets no answer in time. */
class WorldChannel extends AgentChannel {
  private readonly _world: PoolWorld;
  private readonly _isCut: () => boolean;

  constructor(world: PoolWorld, isCut: () => boolean) {
    super();
    this._world = world;
    this._isCut = isCut;
  }

  override observe(address: string, call: ObserveCall): Promise<AgentOutcome<AgentReport>> {
    return this._call(address, call.waitMs, (keeper) => keeper.observe(call));
  }

  override order(address: string, call: OrderCall): Promise<AgentOutcome<OrderReport>> {
    return this._call(address, 0, (keeper) => keeper.order(call));
  }

  override reset(): void {
    // Calls within the process need no connection.
  }

  private async _call<T>(
    address: string,
    waitMs: number,
    send: (keeper: WorkerKeeper) => Promise<AgentOutcome<T>>,
  ): Promise<AgentOutcome<T>> {
    const { clock } = this._world;
    const agent = this._world.getAgent(address);
    const lost = { kind: "unreachable", detail: "no answer in time" } as const;
    if (agent === undefined || this._isLost(agent)) {
      await clock.sleep(TERMS.agentTimeoutMs);
      return lost;
    }
    const timeout = clock.sleep(TERMS.agentTimeoutMs + waitMs).then(() => lost);
    const outcome = await Promise.race([send(agent.keeper), timeout]);
    return this._isLost(agent) ? lost : outcome;
  }

  private _isLost(agent: WorldAgent): boolean {
    return agent.isCut || this._isCut();
  }
}

function findOverlaps(task: string, runs: readonly JournalRun[]): readonly string[] {
  const inOrder = runs.toSorted((a, b) => a.startedAt - b.startedAt);
  return inOrder.slice(1).flatMap((run, position) => {
    const before = inOrder[position];
    const endedAt = before?.endedAt ?? Number.POSITIVE_INFINITY;
    return run.startedAt < endedAt
      ? [`${task}: run ${run.run} on ${run.worker} began beside run ${before?.run ?? 0}`]
      : [];
  });
}

function findRepeats(task: string, runs: readonly JournalRun[]): readonly string[] {
  const doneAt = runs
    .filter(({ outcome, isNoted }) => outcome === "done" && isNoted === true)
    .map(({ endedAt }) => endedAt ?? 0);
  return runs
    .filter(({ startedAt }) => doneAt.some((at) => startedAt > at))
    .map(({ run, worker }) => `${task}: run ${run} on ${worker} began after the task was done`);
}
