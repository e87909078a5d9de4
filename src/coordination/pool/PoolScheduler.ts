/**
 * The scheduler of one pool, from its election to the end of its epoch: it asks the agents, takes
 * in what they report, places waiting tasks, and has every start and every end recorded before it
 * is ordered or acknowledged.
 */
import type { Timer } from "../../protocol/platform/Clock.ts";
import type { CatalogEntry } from "../../state/pool/JobCatalog.ts";
import { JobState } from "../../state/pool/JobState.ts";
import { formatJobKey, getSchedulerKey } from "../../state/pool/PoolKeys.ts";
import type { AgentRecord, ProgressRecord } from "../../state/pool/records.ts";
import { WorkerQuarantine } from "../placement/WorkerQuarantine.ts";
import { AgentSession } from "./AgentSession.ts";
import { CommitQueue } from "./CommitQueue.ts";
import { JobRetention } from "./JobRetention.ts";
import { JobUpdater } from "./JobUpdater.ts";
import { OrderSender } from "./OrderSender.ts";
import { PaceDirector } from "./PaceDirector.ts";
import { PoolState } from "./PoolState.ts";
import type { PoolSchedulerParts, StoredProgress } from "./PoolSchedulerParts.ts";
import { PressureKeeper } from "./PressureKeeper.ts";
import { getTakeoverWaitMs } from "./PoolTerms.ts";
import { ReportIntake } from "./ReportIntake.ts";
import type { PlannedRun } from "./RoundPlanner.ts";
import { RoundRunner } from "./RoundRunner.ts";
import type { BookedRun } from "./RunBook.ts";
import { RunDirector } from "./RunDirector.ts";

/** Delay of a round after what calls for it, so that one round serves several events. */
const ROUND_DELAY_MS = 3;
/** Time between looks at what has become due. */
const TICK_MS = 150;

/** Scheduler of one pool in one epoch. */
export class PoolScheduler {
  private readonly _parts: PoolSchedulerParts;
  private readonly _state: PoolState;
  private readonly _commits: CommitQueue;
  private readonly _orders: OrderSender;
  private readonly _director: RunDirector;
  private readonly _updater: JobUpdater;
  private readonly _reports: ReportIntake;
  private readonly _retention: JobRetention;
  private readonly _pressures: PressureKeeper;
  private readonly _rounds: RoundRunner;
  private readonly _quarantine = new WorkerQuarantine();
  private readonly _paces: PaceDirector;
  private readonly _sessions = new Map<string, AgentSession>();
  private _round: Timer | undefined;
  private _ticker: Timer | undefined;
  private _isStopped = false;

  /**
   * Creates the scheduler of an epoch.
   * @param parts - What it needs.
   * @param progress - Progress of the pool's jobs as it was read after the election.
   */
  constructor(parts: PoolSchedulerParts, progress: ReadonlyMap<string, StoredProgress>) {
    this._parts = parts;
    const { pool, terms, clock, log } = parts;
    this._state = new PoolState(pool, terms);
    this._commits = this._createCommits(progress);
    this._orders = this._createOrders();
    const shared = { state: this._state, clock, log };
    const stop = (booked: BookedRun, reason: string): void => {
      this._director.stop(booked, reason);
    };
    const { learnt } = parts;
    this._paces = new PaceDirector({ state: this._state, orders: this._orders, log, learnt });
    this._updater = new JobUpdater({
      ...shared,
      commits: this._commits,
      quarantine: this._quarantine,
      stop,
    });
    this._director = new RunDirector({
      ...shared,
      orders: this._orders,
      takeoverLapsesAt: clock.now() + getTakeoverWaitMs(terms),
      onVoid: (booked, reason) => {
        this._updater.handleVoid(booked, reason);
        this._roundSoon();
      },
      onStalled: (booked) => {
        this._updater.noteStalled(booked);
      },
      onDeposed: () => {
        this._depose();
      },
    });
    this._rounds = new RoundRunner(this._state, this._quarantine, this._paces);
    this._retention = new JobRetention({
      ...shared,
      pool,
      store: parts.store,
      retentionMs: terms.retentionMs,
      onRemoved: (job) => {
        this._commits.forget(job);
      },
    });
    this._pressures = new PressureKeeper({
      pool,
      store: parts.store,
      clock,
      log,
      getPairs: () => this._paces.getPairs(),
    });
    this._reports = new ReportIntake({
      ...shared,
      epoch: parts.epoch,
      terms,
      updater: this._updater,
      director: this._director,
      paces: this._paces,
      mayGrant: () => this._mayGrant,
    });
  }

  /** What the scheduler knows. */
  get state(): PoolState {
    return this._state;
  }

  /** Begins to look after what becomes due. */
  start(): void {
    this._tickLater();
    this._roundSoon();
  }

  /** Ends; nothing is ordered or recorded any more. */
  stop(): void {
    this._isStopped = true;
    this._commits.close();
    this._orders.close();
    this._sessions.forEach((session) => {
      session.stop();
    });
    this._round?.cancel();
    this._ticker?.cancel();
  }

  /**
   * Takes in an accepted job; one that is known is left alone.
   * @param entry - The job.
   * @param progress - What is recorded of it; undefined where nothing is.
   */
  addJob(entry: CatalogEntry, progress?: ProgressRecord): void {
    const { record, id, isCancelled } = entry;
    if (record === undefined || this._state.getJob(id) !== undefined || this._isStopped) {
      return;
    }
    const job = new JobState(id, record, progress, this._parts.clock.now());
    this._state.addJob(job);
    if (isCancelled && !job.isEnded) {
      this._updater.cancel(job);
    }
    this._roundSoon();
  }

  /**
   * Ends a job that was cancelled.
   * @param id - Id of the job.
   */
  cancelJob(id: string): void {
    const job = this._state.getJob(id);
    if (job !== undefined && !this._isStopped) {
      this._updater.cancel(job);
    }
  }

  /**
   * Takes in the registration of an agent and begins to ask it.
   * @param name - Name of the agent.
   * @param record - The registration.
   */
  setAgent(name: string, record: AgentRecord): void {
    const known = this._state.table.getAgent(name)?.record;
    this._state.table.setAgent(name, record);
    if (known !== undefined && known.process !== record.process) {
      this._parts.channel.reset(known.address);
    }
    if (!this._sessions.has(name) && !this._isStopped) {
      const session = this._createSession(name);
      this._sessions.set(name, session);
      session.start();
    }
  }

  /**
   * Stops asking an agent whose worker is of another pool now.
   * @param name - Name of the agent.
   */
  removeAgent(name: string): void {
    this._sessions.get(name)?.stop();
    this._sessions.delete(name);
  }

  private get _mayGrant(): boolean {
    const { guard, terms, getConfirmedAt } = this._parts;
    const confirmedAt = Math.max(getConfirmedAt(), this._commits.confirmedAt);
    return !this._isStopped && guard.isRecent(confirmedAt, terms.grantHorizonMs);
  }

  private _createCommits(progress: ReadonlyMap<string, StoredProgress>): CommitQueue {
    const { store, clock, log, pool, epoch, terms, onRecorded } = this._parts;
    const revisions = new Map([...progress].map(([job, { revision }]) => [job, revision]));
    const parts = {
      store,
      clock,
      log,
      schedulerKey: getSchedulerKey(pool),
      epoch,
      intervalMs: terms.commitIntervalMs,
      getKey: (job: string) => formatJobKey({ kind: "progress", pool, job }),
      getValue: (job: string) => JSON.stringify(this._state.getJob(job)?.toRecord()),
      onWritten: (job: string, value: string, revision: number) => {
        onRecorded(job, (JSON.parse(value) as ProgressRecord).phase, revision);
      },
      onDeposed: () => {
        this._depose();
      },
    };
    return new CommitQueue(parts, revisions);
  }

  private _createOrders(): OrderSender {
    const { channel, clock, log, epoch } = this._parts;
    return new OrderSender({
      channel,
      clock,
      log,
      table: this._state.table,
      epoch,
      mayGrant: () => this._mayGrant,
      onPacesLost: (orders) => {
        this._paces.noteLost(orders);
      },
      onReport: (agent, worker, report) => {
        this._director.handle(agent, worker, report);
      },
      onDeposed: () => {
        this._depose();
      },
    });
  }

  private _createSession(agent: string): AgentSession {
    const { channel, clock, log } = this._parts;
    return new AgentSession({
      agent,
      channel,
      clock,
      log,
      getAddress: () => this._state.table.getAgent(agent)?.record.address ?? "",
      createCall: () => this._reports.createObserve(agent),
      onReport: (report) => {
        this._reports.handle(agent, report);
        this._roundSoon();
      },
      onDeposed: () => {
        this._depose();
      },
    });
  }

  private _roundSoon(): void {
    if (this._round === undefined && !this._isStopped) {
      this._round = this._parts.clock.after(ROUND_DELAY_MS, () => {
        this._round = undefined;
        this._runRound();
      });
    }
  }

  private _runRound(): void {
    // While the store takes nothing, no start could be recorded.
    if (this._isStopped || this._commits.isFailing) {
      return;
    }
    const now = this._parts.clock.now();
    const { starts, moves } = this._rounds.plan(now, this._parts.getTimeOfDay());
    starts.forEach((planned) => {
      this._record(planned, now);
    });
    moves.forEach((booked) => {
      this._director.stop(booked, "another worker bears more of it");
    });
  }

  private _record({ job, task, run, target }: PlannedRun, now: number): void {
    const { agent, worker } = target;
    const active = task.addRun({ agent, worker }, now, run);
    this._state.book.add(task, active);
    job.refreshPhase();
    if (target.admission === "probe") {
      this._quarantine.noteProbe(agent, now);
    }
    this._parts.log.info("Run is placed.", { task: task.id, run, agent });
    this._commits.enqueue(job.id, () => {
      this._director.startRecorded(task.id, run);
    });
  }

  private _tickLater(): void {
    this._ticker = this._parts.clock.after(TICK_MS, () => {
      this._tick();
      if (!this._isStopped) {
        this._tickLater();
      }
    });
  }

  private _tick(): void {
    const timeOfDayMs = this._parts.getTimeOfDay();
    this._director.tick();
    this._retention.tick();
    this._pressures.tick();
    this._state.jobs
      .filter((job) => !job.isEnded && job.openDue(timeOfDayMs))
      .forEach((job) => {
        this._commits.enqueue(job.id);
      });
    this._roundSoon();
  }

  private _depose(): void {
    if (!this._isStopped) {
      this.stop();
      this._parts.onDeposed();
    }
  }
}
