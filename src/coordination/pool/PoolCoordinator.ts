/**
 * Scheduling of all pools at one entry: follows the store, maintains the catalog of jobs, takes
 * part in the election of each pool's scheduler, and runs the schedulers for which the entry is
 * elected.
 */
import type { Clock } from "../../protocol/platform/Clock.ts";
import type { Log } from "../../protocol/platform/Log.ts";
import type { RandomSource } from "../../protocol/platform/RandomSource.ts";
import type { Store, StoreChange } from "../../protocol/platform/Store.ts";
import { applyEach } from "../../state/pool/applyEach.ts";
import { JobCatalog, type CatalogJob } from "../../state/pool/JobCatalog.ts";
import {
  AGENT_PREFIX,
  getSchedulerKey,
  LEASE_END_PREFIX,
  SCHEDULER_PREFIX,
} from "../../state/pool/PoolKeys.ts";
import {
  parseAgentRecord,
  type AgentRecord,
  type PairInterference,
  type RecordError,
  type SchedulerRecord,
} from "../../state/pool/records.ts";
import { RejectionLog } from "../RejectionLog.ts";
import type { AgentChannel } from "./AgentChannel.ts";
import { ConfirmationGuard } from "./ConfirmationGuard.ts";
import { JobFollower } from "./JobFollower.ts";
import { LeaseEndReceipts } from "./LeaseEndReceipts.ts";
import { PoolScheduler } from "./PoolScheduler.ts";
import type { PoolTimings } from "./PoolTimings.ts";
import { readInterference } from "./readInterference.ts";
import { readLeaseEnds, type KnownLeaseEnds } from "./readLeaseEnds.ts";
import { SchedulerElection } from "./SchedulerElection.ts";
import { StoreFollower } from "./StoreFollower.ts";

/**
 * Time after an election within which the changes before it must be known, in milliseconds. Other
 * entries take over well within the time that a takeover may take.
 */
const MAX_TAKEOVER_MS = 1_500;

/** Dependencies of PoolCoordinator. */
export interface PoolCoordinatorDependencies {
  readonly identity: SchedulerRecord;
  readonly store: Store;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: Log;
  readonly timings: PoolTimings;
  readonly channel: AgentChannel;
  /** Gets the time of day in Unix milliseconds. */
  readonly getTimeOfDay: () => number;
}

/** What former schedulers of a pool have stored beside the jobs. */
interface StoredKnowledge {
  readonly priors: readonly PairInterference[];
  readonly leaseEnds: KnownLeaseEnds;
}

/** Takes part in the scheduling of all pools for one entry. */
export class PoolCoordinator {
  readonly catalog: JobCatalog;
  private readonly _deps: PoolCoordinatorDependencies;
  private readonly _rejections: RejectionLog;
  private readonly _confirmationGuard: ConfirmationGuard;
  private readonly _jobFollower: JobFollower;
  private readonly _leaseEndReceipts: LeaseEndReceipts;
  private readonly _followers: readonly StoreFollower[];
  private readonly _elections = new Map<string, SchedulerElection>();
  private readonly _schedulers = new Map<string, PoolScheduler>();
  private readonly _agents = new Map<string, AgentRecord>();
  private _schedulerChanges: ReadonlyMap<string, StoreChange> | undefined;
  private _schedulerListingRevision = 0;
  private _isStopped = false;

  /**
   * Creates a coordinator; it is inactive until `start` is called.
   * @param deps - Dependencies.
   */
  constructor(deps: PoolCoordinatorDependencies) {
    this._deps = deps;
    this._rejections = new RejectionLog(deps.log, "error");
    this._confirmationGuard = new ConfirmationGuard(deps.clock, deps.getTimeOfDay);
    this.catalog = new JobCatalog({
      onAccepted: (job) => this._schedulers.get(job.pool)?.addJob(job),
      onCancelled: (job) => this._schedulers.get(job.pool)?.cancelJob(job.id),
      onUnreadable: this._logUnreadable.bind(this),
    });
    this._jobFollower = new JobFollower({
      ...this._followerDependencies,
      catalog: this.catalog,
      onListed: () => {
        this._elections.forEach((election) => {
          election.reconsider();
        });
      },
    });
    this._leaseEndReceipts = new LeaseEndReceipts(deps.clock);
    this._followers = this._createFollowers();
  }

  /** Whether all followed keys of the store have been received once. */
  get isSynced(): boolean {
    return this._jobFollower.isSynced && this._followers.every((follower) => follower.isSynced);
  }

  /** Schedulers that run at this entry, by pool. */
  get schedulers(): ReadonlyMap<string, PoolScheduler> {
    return this._schedulers;
  }

  /** Starts following the store. */
  start(): void {
    this._jobFollower.start();
    this._followers.forEach((follower) => {
      follower.start();
    });
  }

  /**
   * Stops the schedulers and releases their keys, so that other entries can take over; the catalog
   * continues to follow the store.
   */
  async handOver(): Promise<void> {
    this._isStopped = true;
    this._schedulers.forEach((scheduler) => {
      scheduler.stop();
    });
    this._schedulers.clear();
    await Promise.all([...this._elections.values()].map((election) => election.stop()));
  }

  /** Stops following the store. */
  stop(): void {
    this._jobFollower.stop();
    this._followers.forEach((follower) => {
      follower.stop();
    });
  }

  /**
   * Takes part in the elections of the given pools.
   * @param pools - Names of the pools. A pool that is no longer named is still scheduled, since it
   * may have jobs.
   */
  setPools(pools: readonly string[]): void {
    pools
      .filter((pool) => !this._elections.has(pool) && !this._isStopped)
      .forEach((pool) => {
        const election = this._createElection(pool);
        this._elections.set(pool, election);
        if (this._schedulerChanges !== undefined) {
          const change = this._schedulerChanges.get(getSchedulerKey(pool));
          election.applyListing(change, this._schedulerListingRevision);
        }
      });
  }

  private get _followerDependencies(): Pick<
    PoolCoordinatorDependencies,
    "store" | "clock" | "random" | "log"
  > {
    const { store, clock, random, log } = this._deps;
    return { store, clock, random, log };
  }

  private _createFollowers(): readonly StoreFollower[] {
    const shared = this._followerDependencies;
    return [
      new StoreFollower({
        ...shared,
        prefix: SCHEDULER_PREFIX,
        minIntervalMs: 0,
        onListing: (entries, revision) => {
          this._applySchedulerListing(entries, revision);
        },
        onChanges: (changes) => {
          const apply = this._applySchedulerChange.bind(this);
          applyEach(changes, apply, this._logUnreadable.bind(this));
        },
      }),
      new StoreFollower({
        ...shared,
        prefix: AGENT_PREFIX,
        minIntervalMs: 0,
        onListing: (entries) => {
          this._applyAgentChanges(entries);
        },
        onChanges: (changes) => {
          this._applyAgentChanges(changes);
        },
      }),
      new StoreFollower({
        ...shared,
        prefix: LEASE_END_PREFIX,
        minIntervalMs: 0,
        onListing: (entries) => {
          this._leaseEndReceipts.apply(entries);
        },
        onChanges: (changes) => {
          this._leaseEndReceipts.apply(changes);
        },
      }),
    ];
  }

  private _applySchedulerListing(entries: readonly StoreChange[], revision: number): void {
    const changes = new Map(entries.map((entry) => [entry.key, entry]));
    this._schedulerChanges = changes;
    this._schedulerListingRevision = revision;
    this._elections.forEach((election, pool) => {
      election.applyListing(changes.get(getSchedulerKey(pool)), revision);
    });
  }

  private _applySchedulerChange(change: StoreChange): void {
    this._schedulerChanges = new Map([...(this._schedulerChanges ?? []), [change.key, change]]);
    this._elections.get(change.key.slice(SCHEDULER_PREFIX.length))?.applyChange(change);
  }

  private _applyAgentChanges(changes: readonly StoreChange[]): void {
    const logUnreadable = this._logUnreadable.bind(this);
    applyEach(changes, this._applyAgentChange.bind(this), logUnreadable);
  }

  private _applyAgentChange({ key, value }: StoreChange): void {
    const name = key.slice(AGENT_PREFIX.length);
    const record = value === undefined ? undefined : parseAgentRecord(value);
    if (record?.isOk() === true && name !== "") {
      this._agents.set(name, record.value);
      this._schedulers.forEach((scheduler) => {
        scheduler.setAgent(name, record.value);
      });
    } else if (record !== undefined) {
      this._logUnreadable(key, record.isErr() ? record.error : { detail: "the key has no name" });
    }
  }

  private _logUnreadable(key: string, { detail: reason }: RecordError): void {
    this._rejections.add("A stored value cannot be parsed; it is ignored.", "key", key, reason);
  }

  private _createElection(pool: string): SchedulerElection {
    const { store, clock, random, log, identity, timings } = this._deps;
    const { schedulerLeaseMs: leaseMs, claimDelayMs } = timings;
    return new SchedulerElection({
      ...{ store, clock, random, log, pool, identity, leaseMs, claimDelayMs },
      isEligible: () => this._jobFollower.isSynced,
      onElected: (epoch) => {
        void this._startScheduling(pool, epoch);
      },
      onSuperseded: () => {
        this._schedulers.get(pool)?.stop();
        this._schedulers.delete(pool);
      },
    });
  }

  /**
   * Starts the scheduler of a pool once all jobs and progress up to the election are known, and what
   * is recorded of leases, unless the election has been lost by then. If that takes too long, the pool
   * is given up.
   */
  private async _startScheduling(pool: string, epoch: number): Promise<void> {
    const { store, clock, log } = this._deps;
    const isElected = (): boolean => this._elections.get(pool)?.epoch === epoch && !this._isStopped;
    const deadline = clock.now() + MAX_TAKEOVER_MS;
    const receipts = this._leaseEndReceipts;
    const [isComplete, priors, leaseEnds] = await Promise.all([
      this._jobFollower.catchUp(epoch, deadline),
      readInterference(pool, store, log),
      readLeaseEnds(pool, deadline, { store, clock, log, receipts }),
    ]);
    if (!isElected()) {
      return;
    }
    if (!isComplete || leaseEnds === undefined) {
      this._elections.get(pool)?.resign("the changes before the election could not be fetched");
      return;
    }
    const jobs = this.catalog.getJobs(pool);
    const scheduler = this._createScheduler(pool, epoch, jobs, { priors, leaseEnds });
    jobs.forEach((job) => {
      scheduler.addJob(job);
    });
    this._schedulers.set(pool, scheduler);
    this._agents.forEach((record, name) => {
      scheduler.setAgent(name, record);
    });
    scheduler.start();
    log.info("Scheduling of the pool has started.", {
      pool,
      epoch,
      jobs: jobs.length,
      agents: this._agents.size,
    });
  }

  private _createScheduler(
    pool: string,
    epoch: number,
    jobs: readonly CatalogJob[],
    stored: StoredKnowledge,
  ): PoolScheduler {
    const { store, clock, log, timings, channel, getTimeOfDay } = this._deps;
    const schedulerDeps = {
      ...{ pool, epoch, store, clock, log, timings, channel, getTimeOfDay, ...stored },
      confirmationGuard: this._confirmationGuard,
      getConfirmedAt: () => this._elections.get(pool)?.confirmedAt ?? Number.NEGATIVE_INFINITY,
      getIntakeBehindSince: () => this._jobFollower.intakeBehindSince,
      onRecorded: this.catalog.updateProgress.bind(this.catalog),
      onUnable: (reason: string) => {
        this._elections.get(pool)?.resign(reason);
      },
      onJobsOutdated: () => {
        this._jobFollower.relist();
      },
      onSuperseded: () => {
        this._elections.get(pool)?.handleSuperseded();
      },
    };
    return new PoolScheduler(schedulerDeps, jobs);
  }
}
