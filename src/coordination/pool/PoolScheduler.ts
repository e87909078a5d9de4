/**
 * The scheduler of one pool, from its election to the end of its epoch. It polls the agents,
 * processes their reports and places waiting tasks. Every start is recorded before it is ordered,
 * and every end before it is acknowledged.
 */
import type { Timer } from "../../protocol/platform/Clock.ts";
import type { CatalogJob } from "../../state/pool/JobCatalog.ts";
import { isProgressOf, JobState } from "../../state/pool/JobState.ts";
import { formatJobKey, getSchedulerKey } from "../../state/pool/PoolKeys.ts";
import { formatProgress, readOwnProgress } from "../../state/pool/progressValue.ts";
import type { AgentRecord } from "../../state/pool/records.ts";
import { WorkerQuarantine } from "../placement/WorkerQuarantine.ts";
import { AgentSessionTable } from "./AgentSessionTable.ts";
import { CrashHandler } from "./CrashHandler.ts";
import { CommitQueue } from "./CommitQueue.ts";
import { JobRetention } from "./JobRetention.ts";
import { JobUpdater } from "./JobUpdater.ts";
import { OrderSender } from "./OrderSender.ts";
import { PaceController } from "./PaceController.ts";
import { PoolLoadLog } from "./PoolLoadLog.ts";
import { PoolState } from "./PoolState.ts";
import type { PoolSchedulerDependencies } from "./PoolSchedulerDependencies.ts";
import { InterferenceWriter } from "./InterferenceWriter.ts";
import { LeaseGrants } from "./LeaseGrants.ts";
import { AgentReportHandler } from "./AgentReportHandler.ts";
import type { PlannedRun } from "./taskPlacement.ts";
import { CyclePlanner } from "./CyclePlanner.ts";
import { CycleTimer } from "./CycleTimer.ts";
import { getRunKey, type ActiveTaskRun } from "./ActiveRunTable.ts";
import { getSchedulerRequirements } from "./schedulerRequirements.ts";
import { SchedulerWatch } from "./SchedulerWatch.ts";
import { RunController } from "./RunController.ts";

/**
 * Delay of a scheduling cycle after the event that triggers it, in milliseconds, so that one cycle
 * handles several events.
 */
const CYCLE_DELAY_MS = 3;
/**
 * The same after a report of progress and measurements only, in milliseconds. With many workers such
 * reports come all the time, and few of them make room for a task.
 */
const MEASUREMENT_CYCLE_DELAY_MS = 30;
/** Interval of the checks for overdue orders, due occurrences and due writes, in milliseconds. */
const TICK_INTERVAL_MS = 150;

/** Scheduler of one pool in one epoch. */
export class PoolScheduler {
  private readonly _deps: PoolSchedulerDependencies;
  private readonly _state: PoolState;
  private readonly _commitQueue: CommitQueue;
  private readonly _orders: OrderSender;
  private readonly _runController: RunController;
  private readonly _jobUpdater: JobUpdater;
  private readonly _crashHandler: CrashHandler;
  private readonly _reportHandler: AgentReportHandler;
  private readonly _retention: JobRetention;
  private readonly _interferenceWriter: InterferenceWriter;
  private readonly _grants: LeaseGrants;
  private readonly _cyclePlanner: CyclePlanner;
  private readonly _watch: SchedulerWatch;
  private readonly _quarantine = new WorkerQuarantine();
  private readonly _pacing: PaceController;
  private readonly _sessions: AgentSessionTable;
  private readonly _cycleTimer: CycleTimer;
  private readonly _loadLog: PoolLoadLog;
  private _tickTimer: Timer | undefined;
  private _isStopped = false;
  /** Whether the last cycle left runs that start once earlier orders have results. */
  private _isPlanLimited = false;

  /**
   * Creates the scheduler of an epoch.
   * @param deps - Dependencies.
   * @param jobs - Accepted jobs of the pool with their progress, complete up to the epoch.
   */
  constructor(deps: PoolSchedulerDependencies, jobs: readonly CatalogJob[]) {
    this._deps = deps;
    const { pool, timings, clock, log } = deps;
    this._state = new PoolState(pool, timings);
    this._cycleTimer = new CycleTimer(clock, this._runCycle.bind(this));
    this._commitQueue = this._createCommitQueue(jobs);
    this._grants = new LeaseGrants(deps, {
      state: this._state,
      getWrittenAt: () => this._commitQueue.confirmedAt,
      getSilentSince: (agent) => this._sessions.getSilentSince(agent),
    });
    this._orders = this._createOrderSender();
    const shared = { state: this._state, clock, log };
    const stopRun = (taskRun: ActiveTaskRun, reason: string): void => {
      this._runController.stop(taskRun, reason);
    };
    const { priors } = deps;
    this._pacing = new PaceController({ state: this._state, orders: this._orders, log, priors });
    this._jobUpdater = new JobUpdater({
      ...shared,
      commits: this._commitQueue,
      quarantine: this._quarantine,
      stopRun,
    });
    const { _commitQueue: commits, _jobUpdater: updater } = this;
    this._crashHandler = new CrashHandler({ ...shared, commits, updater });
    this._runController = this._createRunController();
    this._cyclePlanner = new CyclePlanner({
      ...{ state: this._state, quarantine: this._quarantine, paceController: this._pacing },
      grants: this._grants,
    });
    this._retention = this._createRetention();
    this._interferenceWriter = new InterferenceWriter({
      ...{ pool, store: deps.store, clock, log },
      getPairs: () => this._pacing.getPairs(),
    });
    this._reportHandler = new AgentReportHandler({
      ...shared,
      epoch: deps.epoch,
      timings,
      updater: this._jobUpdater,
      runController: this._runController,
      crashHandler: this._crashHandler,
      paceController: this._pacing,
      grants: this._grants,
    });
    this._sessions = this._createSessionTable();
    this._watch = this._createWatch();
    this._loadLog = new PoolLoadLog({ pool, ...shared });
  }

  /** State of the pool. */
  get state(): PoolState {
    return this._state;
  }

  /** Starts the scheduling cycles and the periodic checks. */
  start(): void {
    this._watch.start();
    this._scheduleTick();
    this._scheduleCycle();
  }

  /** Stops the scheduler; no more orders are sent and no more progress is recorded. */
  stop(): void {
    this._isStopped = true;
    this._watch.stop();
    this._grants.stop();
    this._commitQueue.close();
    this._orders.close();
    this._sessions.stop();
    this._cycleTimer.stop();
    this._tickTimer?.cancel();
  }

  /**
   * Adds an accepted job; a known job is ignored.
   * @param catalogJob - The job with its progress.
   */
  addJob(catalogJob: CatalogJob): void {
    const { record, id, isCancelled, progress, isProgressUnreadable } = catalogJob;
    if (record === undefined || this._state.getJob(id) !== undefined || this._isStopped) {
      return;
    }
    if (isProgressUnreadable || !isProgressOf(record, progress)) {
      this._deps.log.error("Progress of a job cannot be parsed; only this job is not scheduled.", {
        job: id,
      });
      return;
    }
    const job = new JobState(id, record, progress, this._deps.clock.now());
    this._state.addJob(job);
    if (isCancelled && !job.isEnded) {
      this._jobUpdater.cancel(job);
    }
    this._scheduleCycle();
  }

  /**
   * Cancels a job.
   * @param id - Id of the job.
   */
  cancelJob(id: string): void {
    const job = this._state.getJob(id);
    if (job !== undefined && !this._isStopped) {
      this._jobUpdater.cancel(job);
    }
  }

  /**
   * Updates the registration of an agent; it is polled as long as its worker belongs to the pool.
   * @param name - Name of the agent.
   * @param record - The registration.
   */
  setAgent(name: string, record: AgentRecord): void {
    this._sessions.setAgent(name, record);
  }

  private _createRunController(): RunController {
    const { clock, log } = this._deps;
    return new RunController({
      ...{ state: this._state, orders: this._orders, grants: this._grants, clock, log },
      onRunLost: (taskRun, reason) => {
        this._jobUpdater.handleLostRun(taskRun, reason);
        this._scheduleCycle();
      },
      onRunStalled: (taskRun) => {
        this._jobUpdater.handleStalledRun(taskRun);
      },
      onSuperseded: this._handleSuperseded.bind(this),
    });
  }

  private _createRetention(): JobRetention {
    const { pool, store, clock, log, timings } = this._deps;
    return new JobRetention({
      ...{ pool, store, clock, log, state: this._state, retentionMs: timings.retentionMs },
      onRemoved: this._commitQueue.removeJob.bind(this._commitQueue),
    });
  }

  private _createCommitQueue(jobs: readonly CatalogJob[]): CommitQueue {
    const { store, clock, log, pool, epoch, timings } = this._deps;
    const { onRecorded, onJobsOutdated, onUnable } = this._deps;
    const recorded = jobs.filter(({ progressRevision }) => progressRevision > 0);
    const revisions = new Map(recorded.map(({ id, progressRevision }) => [id, progressRevision]));
    const queueDeps = {
      ...{ store, clock, log, epoch },
      schedulerKey: getSchedulerKey(pool),
      intervalMs: timings.commitIntervalMs,
      getKey: (job: string) => formatJobKey({ kind: "progress", pool, job }),
      getValue: (job: string) => formatProgress(this._state.getJobOrThrow(job).toRecord()),
      onWritten: (job: string, value: string, revision: number) => {
        onRecorded(job, readOwnProgress(value), revision);
      },
      onSuperseded: this._handleSuperseded.bind(this),
      onForeignProgress: (reason: string) => {
        onJobsOutdated();
        onUnable(reason);
      },
    };
    return new CommitQueue(queueDeps, revisions);
  }

  private _createSessionTable(): AgentSessionTable {
    const { pool, channel, clock, log } = this._deps;
    return new AgentSessionTable({
      ...{ pool, channel, clock, log, workerTable: this._state.workerTable },
      createCall: (agent) => this._reportHandler.createObserveCall(agent),
      onReport: (agent, report) => {
        const isNews = this._reportHandler.handleReport(agent, report);
        this._grants.handleResponse(agent);
        this._scheduleCycle(isNews ? CYCLE_DELAY_MS : MEASUREMENT_CYCLE_DELAY_MS);
      },
      onSuperseded: this._handleSuperseded.bind(this),
    });
  }

  private _createWatch(): SchedulerWatch {
    const { clock, getConfirmedAt, getIntakeBehindSince, onUnable } = this._deps;
    const requirements = getSchedulerRequirements({
      getIntakeBehindSince,
      getWritesFailingSince: () => this._commitQueue.failingSince,
      getAgentsSilentSince: () => this._sessions.silentSince,
    });
    return new SchedulerWatch({ clock, getConfirmedAt, onUnable, requirements });
  }

  private _createOrderSender(): OrderSender {
    const { channel, clock, log, epoch } = this._deps;
    return new OrderSender({
      channel,
      clock,
      log,
      workerTable: this._state.workerTable,
      epoch,
      grants: this._grants,
      createStart: (worker, order) => this._runController.createStart(worker, order),
      onLeaseMissing: (worker, order) => {
        this._runController.handleMissingLease(worker, order);
      },
      onPacesUnconfirmed: (orders) => {
        this._pacing.resetPaces(orders);
      },
      onReport: (agent, worker, report) => {
        this._runController.handleOrderReport(agent, worker, report);
        if (this._isPlanLimited) {
          this._scheduleCycle();
        }
      },
      onSuperseded: this._handleSuperseded.bind(this),
    });
  }

  private _scheduleCycle(delayMs = CYCLE_DELAY_MS): void {
    this._cycleTimer.schedule(delayMs);
  }

  private _runCycle(): void {
    // While writes to the store fail, no start could be recorded.
    if (this._isStopped || this._commitQueue.isFailing) {
      return;
    }
    const now = this._deps.clock.now();
    const plan = this._cyclePlanner.plan(now, this._deps.getTimeOfDay());
    const { starts, moves, isLimited } = plan;
    this._isPlanLimited = isLimited;
    starts.forEach((planned) => {
      this._recordStart(planned, now);
    });
    moves.forEach((taskRun) => {
      this._runController.stop(taskRun, "another worker tolerates a larger share of it");
    });
  }

  private _recordStart({ job, task, run, target }: PlannedRun, now: number): void {
    const { agent, worker } = target;
    const active = task.addRun({ agent, worker }, now, run);
    this._state.activeRuns.add(task, active);
    job.updatePhase();
    const isProbe = target.admission !== "open";
    if (isProbe) {
      this._quarantine.recordProbe(agent, now, getRunKey({ task, active }));
    }
    this._deps.log.info("Run is placed on a worker; its start is being recorded.", {
      ...{ task: task.id, run, agent, worker },
      ...(isProbe ? { isProbe } : {}),
    });
    this._commitQueue.enqueue(job.id, () => {
      this._runController.startRecorded(task.id, run);
    });
  }

  private _scheduleTick(): void {
    this._tickTimer = this._deps.clock.after(TICK_INTERVAL_MS, () => {
      this._tick();
      if (!this._isStopped) {
        this._scheduleTick();
      }
    });
  }

  private _tick(): void {
    const timeOfDayMs = this._deps.getTimeOfDay();
    this._runController.tick();
    this._crashHandler.tick();
    this._retention.sweepIfDue();
    this._grants.tick();
    this._interferenceWriter.tick();
    this._jobUpdater.openDueOccurrences(timeOfDayMs);
    this._loadLog.tick(timeOfDayMs);
    this._scheduleCycle();
  }

  private _handleSuperseded(): void {
    if (!this._isStopped) {
      this.stop();
      this._deps.onSuperseded();
    }
  }
}
