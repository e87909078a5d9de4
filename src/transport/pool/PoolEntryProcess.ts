/**
 * The role `entry` for pools of workers: accepts jobs for every pool, and schedules those pools for
 * which it is elected.
 */
import { getHeapStatistics } from "node:v8";
import { err, ok, type Result } from "neverthrow";
import { getClaimDelayMs } from "../../coordination/pool/claimDelay.ts";
import { MonitoredStore } from "../../coordination/pool/MonitoredStore.ts";
import { PoolCoordinator } from "../../coordination/pool/PoolCoordinator.ts";
import type { PoolTimings } from "../../coordination/pool/PoolTimings.ts";
import { CONFIG_WATCH_WAIT_MS, QueueRegistry } from "../../coordination/pool/QueueRegistry.ts";
import { StoreFollower } from "../../coordination/pool/StoreFollower.ts";
import { StoreSilenceMonitor } from "../../coordination/pool/StoreSilenceMonitor.ts";
import { SubmissionService } from "../../coordination/pool/SubmissionService.ts";
import type { ListenError } from "../../protocol/errors/errors.ts";
import type { Log } from "../../protocol/platform/Log.ts";
import type { Store } from "../../protocol/platform/Store.ts";
import type { QueueDecoder } from "../../protocol/pool/QueueDecoder.ts";
import type { PoolEntrySettings } from "../../protocol/settings/PoolEntrySettings.ts";
import { getProcessUsage, ProcessLoadLog } from "../platform/ProcessLoadLog.ts";
import { SystemClock } from "../platform/SystemClock.ts";
import { SystemRandom } from "../platform/SystemRandom.ts";
import { ConnectAgentChannel } from "./ConnectAgentChannel.ts";

/**
 * Longest lease granted to a worker, in milliseconds; bounds how long tasks of a lost worker wait for
 * a restart.
 */
const WORKER_LEASE_MS = 6_000;
/**
 * Time for which a scheduler that cannot reach the store continues to extend leases, in milliseconds.
 * With the lease, runs outlast an interruption of the store of 7.5 s. A takeover waits as long for
 * workers that nobody reaches and that are not on record, so that it is no longer than that needs.
 */
const GRANT_HORIZON_MS = 4_000;
/**
 * Longest time that an agent waits for a change before it responds. Ended runs are reported at
 * once; this bounds how old progress and the worker's clock may be.
 */
const OBSERVE_WAIT_MS = 1_000;
/**
 * Shorter wait for a worker on which tasks may disturb each other; its measurements cover half a
 * second.
 */
const MEASURE_WAIT_MS = 420;
/** Timeout of a call to an agent beyond the wait that it requests. */
const AGENT_TIMEOUT_MS = 1_000;
const BYTES_PER_MB = 1_048_576;
/** Time without a response from the store after which the entry is not ready. */
const STORE_SILENCE_LIMIT_MS = 4_000;

/** Server for clients that submit jobs, implemented by each platform adapter. */
export abstract class SubmissionFrontend {
  /** Starts listening. */
  abstract listen(): Promise<Result<void, ListenError>>;

  /** Asks clients to use another entry; requests are still accepted. */
  abstract drain(): void;

  /** Stops listening and waits for the requests in flight. */
  abstract close(): Promise<void>;
}

/** Dependencies of a frontend. */
export interface SubmissionFrontendDependencies {
  readonly submissions: SubmissionService;
  readonly queues: QueueRegistry;
  readonly clock: SystemClock;
  readonly log: Log;
  readonly isReady: () => boolean;
}

/** Dependencies that the platform adapter provides. */
export interface PoolEntryDependencies {
  readonly settings: PoolEntrySettings;
  readonly log: Log;
  readonly store: Store;
  readonly decoder: QueueDecoder;
  readonly createFrontend: (deps: SubmissionFrontendDependencies) => SubmissionFrontend;
}

/** Entry process that schedules pools. */
export class PoolEntryProcess {
  private readonly _deps: PoolEntryDependencies;
  private readonly _clock = new SystemClock();
  private readonly _channel = new ConnectAgentChannel(AGENT_TIMEOUT_MS);
  private readonly _coordinator: PoolCoordinator;
  private readonly _queues: QueueRegistry;
  private readonly _configFollower: StoreFollower;
  private readonly _silenceMonitor: StoreSilenceMonitor;
  private readonly _frontend: SubmissionFrontend;
  private readonly _loadLog: ProcessLoadLog;
  private _isDraining = false;

  /**
   * Creates the entry without starting it.
   * @param deps - Dependencies that the platform adapter provides.
   */
  constructor(deps: PoolEntryDependencies) {
    this._deps = deps;
    const { settings, log, decoder } = deps;
    const random = new SystemRandom();
    this._silenceMonitor = new StoreSilenceMonitor({
      store: deps.store,
      clock: this._clock,
      log: log.child("submissions"),
    });
    const store = new MonitoredStore(deps.store, this._silenceMonitor);
    const shared = { store, clock: this._clock, random };
    const identity = { entry: settings.entry.name, process: crypto.randomUUID() };
    this._coordinator = new PoolCoordinator({
      ...shared,
      identity,
      log: log.child("pool"),
      timings: getTimings(settings),
      channel: this._channel,
      getTimeOfDay: Date.now,
    });
    this._queues = new QueueRegistry(
      decoder,
      log.child("queues"),
      ({ queues, pools }) => {
        this._coordinator.catalog.setQueues(queues);
        this._coordinator.setPools(pools.map((pool) => pool.name));
      },
      () => this._configFollower.silentBeforeMs,
    );
    const apply = this._queues.apply.bind(this._queues);
    this._configFollower = new StoreFollower({
      ...shared,
      log: log.child("queues"),
      prefix: decoder.key,
      minIntervalMs: 0,
      watchWaitMs: CONFIG_WATCH_WAIT_MS,
      onListing: apply,
      onChanges: apply,
    });
    this._loadLog = new ProcessLoadLog({ clock: this._clock, log, getUsage: getProcessUsage });
    this._frontend = deps.createFrontend({
      submissions: this._createSubmissions(store),
      queues: this._queues,
      clock: this._clock,
      log: log.child("submissions"),
      isReady: () => this._isReady(),
    });
  }

  /** Starts listening and takes part in the election of the pools' schedulers. */
  async start(): Promise<Result<void, ListenError>> {
    const { settings, log } = this._deps;
    const listening = await this._frontend.listen();
    if (listening.isErr()) {
      return err(listening.error);
    }
    this._loadLog.start();
    this._configFollower.start();
    this._coordinator.start();
    const { name, zone } = settings.entry;
    const heapLimitMb = Math.round(getHeapStatistics().heap_size_limit / BYTES_PER_MB);
    log.info("Entry started.", { name, zone, heapLimitMb });
    return ok(undefined);
  }

  /** Hands its pools over to other entries, waits for the requests in flight, then closes. */
  async stop(): Promise<void> {
    const { drainMs, drainTimeoutMs } = this._deps.settings.entry;
    this._isDraining = true;
    this._frontend.drain();
    await Promise.all([this._coordinator.handOver(), this._clock.sleep(drainMs)]);
    await Promise.race([this._frontend.close(), this._clock.sleep(drainTimeoutMs - drainMs)]);
    this._coordinator.stop();
    this._configFollower.stop();
    this._silenceMonitor.stop();
    this._loadLog.stop();
    this._channel.close();
    this._deps.log.info("Entry ended.");
  }

  private _createSubmissions(store: Store): SubmissionService {
    const { log } = this._deps;
    return new SubmissionService({
      store,
      silenceMonitor: this._silenceMonitor,
      clock: this._clock,
      log: log.child("submissions"),
      catalog: this._coordinator.catalog,
      getPools: () => this._queues.pools,
      getTimeOfDay: Date.now,
    });
  }

  private _isReady(): boolean {
    const silentMs = this._clock.now() - this._configFollower.answeredAt;
    return (
      !this._isDraining &&
      this._queues.current !== undefined &&
      this._coordinator.isSynced &&
      silentMs < STORE_SILENCE_LIMIT_MS
    );
  }
}

function getTimings({ entry, pool }: PoolEntrySettings): PoolTimings {
  const { linkMbps, processorShare, processorSpeed } = entry;
  return {
    workerLeaseMs: Math.min(pool.maxWorkerLeaseMs, WORKER_LEASE_MS),
    grantHorizonMs: GRANT_HORIZON_MS,
    observeWaitMs: OBSERVE_WAIT_MS,
    measureWaitMs: MEASURE_WAIT_MS,
    agentTimeoutMs: AGENT_TIMEOUT_MS,
    commitIntervalMs: pool.commitIntervalMs,
    retentionMs: pool.retentionMs,
    schedulerLeaseMs: pool.schedulerLeaseMs,
    claimDelayMs: getClaimDelayMs({ linkMbps, processors: processorShare * processorSpeed }),
  };
}
