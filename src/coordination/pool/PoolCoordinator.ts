/**
 * One entry's part in the scheduling of all pools: it follows the store, keeps the catalog of jobs,
 * takes part in the election of each pool's scheduler, and runs the schedulers that it is elected
 * for.
 */
import type { Clock } from "../../protocol/platform/Clock.ts";
import type { Log } from "../../protocol/platform/Log.ts";
import type { RandomSource } from "../../protocol/platform/RandomSource.ts";
import type {
  Store,
  StoreChange,
  StoreEntry,
  StoreListing,
} from "../../protocol/platform/Store.ts";
import { JobCatalog, type CatalogEntry } from "../../state/pool/JobCatalog.ts";
import {
  AGENT_PREFIX,
  getPressureKey,
  getSchedulerKey,
  INTAKE_PREFIX,
  parseJobKey,
  PROGRESS_PREFIX,
  SCHEDULER_PREFIX,
} from "../../state/pool/PoolKeys.ts";
import {
  readAgentRecord,
  readPressureRecord,
  readProgressRecord,
  type AgentRecord,
  type PairPressure,
  type SchedulerRecord,
} from "../../state/pool/records.ts";
import type { AgentChannel } from "./AgentChannel.ts";
import { ConfirmationGuard } from "./ConfirmationGuard.ts";
import { PoolScheduler } from "./PoolScheduler.ts";
import type { StoredProgress } from "./PoolSchedulerParts.ts";
import type { PoolTerms } from "./PoolTerms.ts";
import { SchedulerElection } from "./SchedulerElection.ts";
import { StoreFollower } from "./StoreFollower.ts";

/** Least time between two waits for recorded progress, which only submitters ask for. */
const PROGRESS_PACE_MS = 120;
/** Wait before a pool's state is read again after the store did not give it, in milliseconds. */
const LOAD_RETRY_MS = 150;

/** What a coordinator needs. */
export interface PoolCoordinatorParts {
  readonly identity: SchedulerRecord;
  readonly store: Store;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: Log;
  readonly terms: PoolTerms;
  readonly channel: AgentChannel;
  /** Gives the time of day in Unix milliseconds. */
  readonly getTimeOfDay: () => number;
}

/** What was read of a pool after an election. */
interface PoolImage {
  readonly intake: StoreListing;
  readonly progress: ReadonlyMap<string, StoredProgress>;
  readonly learnt: readonly PairPressure[];
}

/** One entry's part in the scheduling. */
export class PoolCoordinator {
  readonly catalog: JobCatalog;
  private readonly _parts: PoolCoordinatorParts;
  private readonly _guard: ConfirmationGuard;
  private readonly _followers: readonly StoreFollower[];
  private readonly _elections = new Map<string, SchedulerElection>();
  private readonly _schedulers = new Map<string, PoolScheduler>();
  private readonly _agents = new Map<string, AgentRecord>();
  private _schedulerKeys: ReadonlyMap<string, StoreChange> | undefined;
  private _isStopped = false;

  /**
   * Creates a coordinator; it does nothing before it is started.
   * @param parts - What it needs.
   */
  constructor(parts: PoolCoordinatorParts) {
    this._parts = parts;
    this._guard = new ConfirmationGuard(parts.clock, parts.getTimeOfDay);
    this.catalog = new JobCatalog({
      onJob: (entry) => this._schedulers.get(entry.pool)?.addJob(entry),
      onCancel: (entry) => this._schedulers.get(entry.pool)?.cancelJob(entry.id),
      onUnreadable: (key, { detail }) => {
        parts.log.error("A stored value cannot be read.", { key, reason: detail });
      },
    });
    this._followers = this._createFollowers();
  }

  /** Whether all that the store has for entries has been received once. */
  get isCurrent(): boolean {
    return this._followers.every((follower) => follower.isCurrent);
  }

  /** Schedulers that run here, by pool. */
  get schedulers(): ReadonlyMap<string, PoolScheduler> {
    return this._schedulers;
  }

  /** Begins to follow the store. */
  start(): void {
    this._followers.forEach((follower) => {
      follower.start();
    });
  }

  /** Hands the schedulers over; the catalog goes on following the store. */
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
    this._followers.forEach((follower) => {
      follower.stop();
    });
  }

  /**
   * Takes in which pools there are.
   * @param pools - Their names; a pool that is left out is still looked after while it has jobs.
   */
  setPools(pools: readonly string[]): void {
    pools
      .filter((pool) => !this._elections.has(pool) && !this._isStopped)
      .forEach((pool) => {
        const election = this._createElection(pool);
        this._elections.set(pool, election);
        if (this._schedulerKeys !== undefined) {
          election.note(this._schedulerKeys.get(getSchedulerKey(pool)));
        }
      });
  }

  private _createFollowers(): readonly StoreFollower[] {
    const { store, clock, random, log } = this._parts;
    const shared = { store, clock, random, log };
    const applyJobs = (changes: readonly StoreChange[]): void => {
      this.catalog.apply(changes);
    };
    const jobs = { onListing: applyJobs, onChanges: applyJobs };
    return [
      new StoreFollower({ ...shared, ...jobs, prefix: INTAKE_PREFIX, paceMs: 0 }),
      new StoreFollower({ ...shared, ...jobs, prefix: PROGRESS_PREFIX, paceMs: PROGRESS_PACE_MS }),
      new StoreFollower({
        ...shared,
        prefix: SCHEDULER_PREFIX,
        paceMs: 0,
        onListing: (entries) => {
          this._noteSchedulers(entries);
        },
        onChanges: (changes) => {
          changes.forEach((change) => {
            this._noteScheduler(change);
          });
        },
      }),
      new StoreFollower({
        ...shared,
        prefix: AGENT_PREFIX,
        paceMs: 0,
        onListing: (entries) => {
          this._noteAgents(entries);
        },
        onChanges: (changes) => {
          this._noteAgents(changes);
        },
      }),
    ];
  }

  private _noteSchedulers(entries: readonly StoreChange[]): void {
    const keys = new Map(entries.map((entry) => [entry.key, entry]));
    this._schedulerKeys = keys;
    this._elections.forEach((election, pool) => {
      election.note(keys.get(getSchedulerKey(pool)));
    });
  }

  private _noteScheduler(change: StoreChange): void {
    this._schedulerKeys = new Map([...(this._schedulerKeys ?? []), [change.key, change]]);
    this._elections.get(change.key.slice(SCHEDULER_PREFIX.length))?.note(change);
  }

  private _noteAgents(changes: readonly StoreChange[]): void {
    changes.forEach(({ key, value }) => {
      const name = key.slice(AGENT_PREFIX.length);
      const record = value === undefined ? undefined : readAgentRecord(value);
      if (record?.isOk() === true) {
        this._agents.set(name, record.value);
        this._schedulers.forEach((scheduler, pool) => {
          setAgentOf(pool, scheduler, name, record.value);
        });
      } else if (record?.isErr() === true) {
        this._parts.log.error("A stored value cannot be read.", { key, ...record.error });
      }
    });
  }

  private _createElection(pool: string): SchedulerElection {
    const { store, clock, random, log, identity, terms } = this._parts;
    const leaseMs = terms.schedulerLeaseMs;
    return new SchedulerElection({
      ...{ store, clock, random, log, pool, identity, leaseMs },
      onElected: (epoch) => {
        void this._begin(pool, epoch);
      },
      onDeposed: () => {
        this._schedulers.get(pool)?.stop();
        this._schedulers.delete(pool);
      },
    });
  }

  /** Reads a pool's state and begins to schedule it, unless the election is over by then. */
  private async _begin(pool: string, epoch: number): Promise<void> {
    const image = await this._load(pool, epoch);
    if (image === undefined || this._elections.get(pool)?.epoch !== epoch || this._isStopped) {
      return;
    }
    this.catalog.apply(image.intake.entries);
    const scheduler = this._createScheduler(pool, epoch, image);
    const jobs = this.catalog.getJobs(pool);
    jobs.forEach((entry: CatalogEntry) => {
      scheduler.addJob(entry, image.progress.get(entry.id)?.record);
    });
    this._schedulers.set(pool, scheduler);
    this._agents.forEach((record, name) => {
      setAgentOf(pool, scheduler, name, record);
    });
    scheduler.start();
    const { log } = this._parts;
    log.info("Scheduling begins.", { pool, epoch, jobs: jobs.length, agents: this._agents.size });
  }

  private async _load(pool: string, epoch: number): Promise<PoolImage | undefined> {
    const { store, clock, log } = this._parts;
    while (this._elections.get(pool)?.epoch === epoch && !this._isStopped) {
      const [intake, progress, pressure] = await Promise.all([
        store.list(`${INTAKE_PREFIX}${pool}/`),
        store.list(`${PROGRESS_PREFIX}${pool}/`),
        store.read(getPressureKey(pool)),
      ]);
      if (intake.isOk() && progress.isOk()) {
        const learnt = this._readPressure(pressure.unwrapOr(undefined));
        return { intake: intake.value, progress: this._readProgress(progress.value), learnt };
      }
      log.warn("The state of a pool cannot be read yet.", { pool });
      await clock.sleep(LOAD_RETRY_MS);
    }
    return undefined;
  }

  /** What was learnt helps but is not needed: without it, images are tried again. */
  private _readPressure(entry: StoreEntry | undefined): readonly PairPressure[] {
    const record = entry && readPressureRecord(entry.value);
    if (record?.isErr() === true) {
      this._parts.log.error("A stored value cannot be read.", { key: entry?.key ?? "" });
    }
    return record?.unwrapOr({ pairs: [] }).pairs ?? [];
  }

  private _readProgress(listing: StoreListing): ReadonlyMap<string, StoredProgress> {
    const read = listing.entries.flatMap((entry): readonly [string, StoredProgress][] => {
      const job = parseJobKey(entry.key)?.job;
      const record = readProgressRecord(entry.value);
      if (record.isErr() || job === undefined) {
        this._parts.log.error("A stored value cannot be read.", { key: entry.key });
        return [];
      }
      return [[job, { record: record.value, revision: entry.revision }]];
    });
    return new Map(read);
  }

  private _createScheduler(
    pool: string,
    epoch: number,
    { progress, learnt }: PoolImage,
  ): PoolScheduler {
    const { store, clock, log, terms, channel, getTimeOfDay } = this._parts;
    const parts = {
      ...{ pool, epoch, store, clock, log, terms, channel, getTimeOfDay, learnt },
      guard: this._guard,
      getConfirmedAt: () => this._elections.get(pool)?.confirmedAt ?? Number.NEGATIVE_INFINITY,
      onRecorded: this.catalog.noteProgress.bind(this.catalog),
      onDeposed: () => {
        this._elections.get(pool)?.noteDeposed();
      },
    };
    return new PoolScheduler(parts, progress);
  }
}

/** Tells the scheduler of a pool of an agent, where its worker is of that pool. */
function setAgentOf(
  pool: string,
  scheduler: PoolScheduler,
  name: string,
  record: AgentRecord,
): void {
  if (record.pool === pool) {
    scheduler.setAgent(name, record);
  } else {
    scheduler.removeAgent(name);
  }
}
