/**
 * The agent of one pool worker: it forwards leases, acknowledgements and orders from the scheduler
 * of the highest epoch, and reports the runs that the worker lists. It has no persistent state, so
 * that a new process of the agent continues where the former one ended.
 */
import type { Clock } from "../../protocol/platform/Clock.ts";
import type { Log } from "../../protocol/platform/Log.ts";
import type { PoolWorker, WorkerAnnouncement } from "../../protocol/platform/PoolWorker.ts";
import type {
  AgentOutcome,
  AgentReport,
  ObserveCall,
  OrderCall,
  OrderReport,
  RunOrder,
} from "./AgentChannel.ts";
import { formatRunKey } from "./ActiveRunTable.ts";
import { AnnouncementVerifier, type Candidate } from "./AnnouncementVerifier.ts";
import { CrashDetector } from "./CrashDetector.ts";
import { FencingToken } from "./FencingToken.ts";
import { formatIncarnation } from "./incarnations.ts";
import { ListFetcher } from "./ListFetcher.ts";
import { ListedEnds } from "./ListedEnds.ts";
import { OrderExecutor } from "./OrderExecutor.ts";
import { Signal } from "./Signal.ts";
import { hasChanged, isNewer } from "./workerChanges.ts";
import { createWorkerReport } from "./workerReport.ts";

/** Wait time of a call for lists until a scheduler has specified one, in milliseconds. */
const DEFAULT_LIST_WAIT_MS = 400;
/**
 * Time between two calls for lists while ended runs wait for their acknowledgement, in
 * milliseconds.
 */
const ACK_POLL_INTERVAL_MS = 60;
/** Delay after a failed call for lists, or while no worker is known, in milliseconds. */
const RETRY_MS = 150;
/** Outcome of calls to a process that another one has replaced. */
const REPLACED: AgentOutcome<never> = {
  kind: "unreachable",
  detail: "another process of the agent has replaced this one",
};

/** Dependencies of PoolWorkerAgent. */
export interface PoolWorkerAgentDependencies {
  readonly worker: PoolWorker;
  readonly clock: Clock;
  readonly log: Log;
  /** Identity of the process; never reused. */
  readonly process: string;
  /** Called when the process needs a later registration for its fencing tokens. */
  readonly onRegistrationDue: () => void;
}

/** Agent of one pool worker. */
export class PoolWorkerAgent {
  private readonly _deps: PoolWorkerAgentDependencies;
  private _announced: WorkerAnnouncement | undefined;
  private _announcedAt = 0;
  private _epoch = 0;
  private readonly _fencingToken: FencingToken;
  private _isReplaced = false;
  private readonly _ends: ListedEnds;
  private readonly _lists: ListFetcher;
  private readonly _crashDetector: CrashDetector;
  private readonly _orders: OrderExecutor;
  private readonly _verifier: AnnouncementVerifier;
  private _listWaitMs = DEFAULT_LIST_WAIT_MS;
  private _version = 1;
  private _isStopped = false;
  /** Raised when the report has changed. */
  private readonly _reportChanged: Signal;
  /** Raised when the worker is to be called immediately. */
  private readonly _listDue: Signal;

  /**
   * Creates an agent; it is inactive until `start` is called.
   * @param deps - Dependencies.
   */
  constructor(deps: PoolWorkerAgentDependencies) {
    this._deps = deps;
    const { clock, log } = deps;
    const versioned = { clock, log, getNextVersion: (): number => this._version + 1 };
    this._ends = new ListedEnds(versioned);
    this._crashDetector = new CrashDetector(versioned);
    this._fencingToken = new FencingToken(deps.onRegistrationDue);
    this._lists = new ListFetcher({
      ...{ worker: deps.worker, clock, log },
      ends: this._ends,
      crashDetector: this._crashDetector,
      fencingToken: this._fencingToken,
      getWorker: () => this._announced,
      getEpoch: () => this._epoch,
      onChange: this._publishChange.bind(this),
    });
    this._orders = new OrderExecutor({
      worker: deps.worker,
      crashDetector: this._crashDetector,
      fencingToken: this._fencingToken,
      getEpoch: () => this._epoch,
      getWorker: () => this._announced,
      isResponding: () => this._lists.responds,
    });
    this._verifier = new AnnouncementVerifier({
      ...{ worker: deps.worker, log, fencingToken: this._fencingToken },
      getEpoch: () => this._epoch,
      getPresent: () => this._announced,
      onConfirmed: (candidate) => {
        this._replaceWorker(candidate);
      },
    });
    this._reportChanged = new Signal(deps.clock);
    this._listDue = new Signal(deps.clock);
  }

  /** Starts polling the worker. */
  start(): void {
    void this._pollWorker();
  }

  /** Stops polling the worker. */
  stop(): void {
    this._isStopped = true;
    this._lists.stop();
    this._listDue.raise();
    this._publishChange();
  }

  /**
   * Handles that the process is registered in the store; before, it calls no worker.
   * @param revision - Revision of its registration.
   */
  register(revision: number): void {
    this._fencingToken.register(revision);
    this._listDue.raise();
  }

  /** Handles that another process of the agent has taken the place of this one, which calls no worker. */
  handleReplacement(): void {
    this._isReplaced = true;
    this._fencingToken.withdraw();
    this.stop();
  }

  /** Whether another process of the agent has taken the place of this one. */
  get isReplaced(): boolean {
    return this._isReplaced;
  }

  /** Incarnation of the worker; undefined if none has announced itself. */
  get incarnation(): string | undefined {
    return this._announced && formatIncarnation(this._announced.id, this._announced.startedAtMs);
  }

  /**
   * Handles an announcement. One of the present incarnation that is not newer than the last is
   * ignored; one of another incarnation counts once the worker has confirmed it.
   * @param announcement - The announcement.
   */
  handleAnnouncement(announcement: WorkerAnnouncement): void {
    const known = this._announced;
    const announcedAt = this._deps.clock.now();
    const isSame = known?.id === announcement.id && known.startedAtMs === announcement.startedAtMs;
    if (!isSame) {
      if (this._verifier.add({ announcement, announcedAt })) {
        // Whatever is under way was not meant for the incarnation that may be there now.
        this._fencingToken.expire();
      }
      void this._verifier.verify();
      this._listDue.raise();
      return;
    }
    if (!isNewer(announcement, known)) {
      return;
    }
    this._announced = announcement;
    this._announcedAt = announcedAt;
    if (hasChanged(announcement, known)) {
      this._publishAnnouncement(announcement, undefined);
    }
    this._listDue.raise();
  }

  /**
   * Extends the lease, acknowledges ended runs, and responds with the report once it differs from
   * the version that the scheduler knows, or after the requested wait.
   * @param call - The request.
   */
  async observe(call: ObserveCall): Promise<AgentOutcome<AgentReport>> {
    const rejection = this._findRejection(call.epoch);
    if (rejection !== undefined) {
      return rejection;
    }
    this._followEpoch(call.epoch);
    if (call.worker === this.incarnation) {
      this._lists.extendLease(call.leaseUntilMs);
      this._acknowledge(call.ackedEnd);
    }
    this._listWaitMs = call.waitMs;
    // An entry of a former version does not name the process whose report it knows.
    const isKnownProcess = ["", this._deps.process].includes(call.knownProcess);
    if (isKnownProcess && call.knownVersion === this._version) {
      await this._reportChanged.wait(call.waitMs);
    }
    return this._findRejection(call.epoch) ?? { kind: "answered", value: this._createReport(call) };
  }

  /**
   * Executes orders.
   * @param call - The orders.
   */
  async order(call: OrderCall): Promise<AgentOutcome<OrderReport>> {
    const rejection = this._findRejection(call.epoch);
    if (rejection !== undefined) {
      return rejection;
    }
    this._followEpoch(call.epoch);
    if (call.worker === this.incarnation && call.leaseUntilMs > 0) {
      this._lists.extendLease(call.leaseUntilMs);
    }
    const results = await this._orders.execute(call);
    const { process } = this._deps;
    const { callNumber } = this._lists;
    if (call.stops.length > 0) {
      void this._reportStops(call.stops);
    }
    return { kind: "answered", value: { process, callNumber, ...results } };
  }

  /**
   * Reports lists that were made after stops. They may be the same as before, if a run had not
   * started, but the scheduler waits for them: the call in progress waits for a change. The end of a
   * run that is still listed will be one.
   */
  private async _reportStops(stops: readonly RunOrder[]): Promise<void> {
    const hasListed = await this._lists.fetch(0);
    const running = new Set(
      this._lists.present?.running.map(({ task, run }) => formatRunKey(task, run)),
    );
    if (hasListed && stops.some(({ task, run }) => !running.has(formatRunKey(task, run)))) {
      this._publishChange();
    }
  }

  /** Finds why a call of a scheduler is rejected; undefined if it is not. */
  private _findRejection(epoch: number): AgentOutcome<never> | undefined {
    if (this._isReplaced) {
      return REPLACED;
    }
    return epoch < this._epoch ? { kind: "deposed" } : undefined;
  }

  /** Follows a scheduler of an epoch that is not earlier than the present one. */
  private _followEpoch(epoch: number): void {
    if (epoch === this._epoch) {
      return;
    }
    this._epoch = epoch;
    this._fencingToken.advance(epoch);
    this._lists.expire();
    this._deps.log.info("Agent follows a scheduler of a later epoch.", { epoch });
    void this._lists.fetch(0);
    this._listDue.raise();
  }

  /** Follows an incarnation that has confirmed its announcement. */
  private _replaceWorker({ announcement, announcedAt }: Candidate): void {
    const former = this.incarnation;
    this._crashDetector.replaceWorker(this._announced);
    this._ends.replaceWorker(announcement);
    this._announced = announcement;
    this._announcedAt = announcedAt;
    this._lists.reset();
    this._publishAnnouncement(announcement, former);
    void this._lists.fetch(0);
    this._listDue.raise();
  }

  private _publishAnnouncement(
    { id: worker, startedAtMs, sequence, draining, capacity }: WorkerAnnouncement,
    former: string | undefined,
  ): void {
    this._deps.log.info("Worker announced itself.", {
      ...{ worker, startedAtMs, sequence, draining, ...capacity, former },
    });
    this._publishChange();
  }

  private _acknowledge(ackedEnd: number): void {
    if (this._ends.acknowledge(ackedEnd)) {
      this._listDue.raise();
    }
  }

  private async _pollWorker(): Promise<void> {
    while (!this._isStopped) {
      const verified = this._verifier.verify();
      if (this._announced === undefined || this._epoch === 0) {
        await verified;
        await this._listDue.wait(this._epoch > 0 ? RETRY_MS : undefined);
      } else if (await this._lists.fetch(this._listWaitMs)) {
        const hasUnackedEnds = this._lists.present?.ended.some(
          ({ number }) => number > this._ends.ackedEnd,
        );
        await (hasUnackedEnds === true ? this._listDue.wait(ACK_POLL_INTERVAL_MS) : undefined);
      } else {
        await this._listDue.wait(RETRY_MS);
      }
    }
  }

  private _createReport({ knownProcess, knownVersion }: ObserveCall): AgentReport {
    const { process, clock } = this._deps;
    const announced = this._announced;
    const { present, listedAt, responds } = this._lists;
    const known = {
      ...{ announcedAt: this._announcedAt, lists: present, listedAt },
      ...{ responds, ended: this._ends.ends },
    };
    const reportedVersion = knownProcess === process ? knownVersion : 0;
    return {
      process,
      version: this._version,
      worker: announced && createWorkerReport({ ...known, announced }, clock.now()),
      formerEnds: this._ends.getFormerEnds(reportedVersion),
      crashes: this._crashDetector.getLaterThan(reportedVersion),
    };
  }

  private _publishChange(): void {
    this._version += 1;
    this._reportChanged.raise();
  }
}
