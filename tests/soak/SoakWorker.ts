/**
 * Worker of the soak at the address that its agent calls: one incarnation after the other, with the
 * heartbeats that each sends, and those that come late or from somebody else.
 */
import type { WorkerAnnouncement } from "../../src/protocol/platform/PoolWorker.ts";
import { SystemClock } from "../../src/transport/platform/SystemClock.ts";
import { WorkerServer } from "../../standins/platform/WorkerServer.ts";
import type { JournalRun } from "../../standins/pool/poolJournal.ts";
import { PoolWorkerModel } from "../../standins/pool/PoolWorkerModel.ts";
import type { TaskRequirements } from "../../standins/pool/PoolWorkerModelDependencies.ts";
import { POOL } from "../support/poolFixtures.ts";

const HEARTBEAT_MS = 400;
/** Processors of a worker, in thousandths. */
export const PROCESSORS_MILLI = 8_000;
const MEMORY_BYTES = 64_000 * 1_048_576;
/** Longest lease that a worker accepts, in milliseconds. */
const MAX_LEASE_MS = 6_000;
/** Rate of a worker's clock, which may be 2% slow. */
const CLOCK_RATE = 0.98;

/** Options of a worker. */
export interface SoakWorkerOptions {
  readonly name: string;
  readonly rack: string;
  /** Address at which the worker listens. */
  readonly address: string;
  /** Address of its agent for heartbeats. */
  readonly announcements: string;
  readonly journal: JournalRun[];
  readonly getRequirements: (task: string) => TaskRequirements;
}

/** Worker with its incarnations. */
export class SoakWorker {
  private readonly _options: SoakWorkerOptions;
  private readonly _clock = new SystemClock();
  private readonly _server: WorkerServer;
  private _lives = 0;
  /** Next incarnation, which announces itself while the one before drains; undefined for none. */
  private _next: PoolWorkerModel | undefined;
  private _isDraining = false;
  private _isEnded = false;

  /**
   * Creates a worker that does not listen yet.
   * @param options - Its options.
   */
  constructor(options: SoakWorkerOptions) {
    this._options = options;
    this._server = new WorkerServer(options.address, this._createModel(options.name));
  }

  /** Starts listening and sending heartbeats. */
  async start(): Promise<void> {
    await this._server.start();
    this._sendHeartbeats();
  }

  /** Ends the worker. */
  async end(): Promise<void> {
    this._isEnded = true;
    this._server.model.crash();
    await this._server.stop();
  }

  /**
   * Crashes the worker; the next incarnation is at its address after some time.
   * @param downMs - The time, in milliseconds.
   * @param keepsId - Whether the next incarnation has the same id.
   */
  crash(downMs: number, keepsId: boolean): void {
    const { model } = this._server;
    if (model.isDead || this._isDraining) {
      return;
    }
    const last = model.announce();
    model.crash();
    this._clock.after(downMs, () => {
      const next = this._createModel(keepsId ? model.id : this._createId());
      model.successor = next;
      this._server.model = next;
      // A heartbeat that was delayed until the next incarnation has announced itself.
      this._clock.after(2 * HEARTBEAT_MS, () => {
        this._announce(last);
      });
    });
  }

  /**
   * Lets the worker drain and work on for some time, while the next incarnation, which is not at the
   * address yet, announces itself already.
   * @param workMs - The time, in milliseconds.
   */
  drainBesideSuccessor(workMs: number): void {
    const { model } = this._server;
    if (model.isDead || this._isDraining) {
      return;
    }
    this._isDraining = true;
    model.drain();
    const next = this._createModel(this._createId());
    this._clock.after(HEARTBEAT_MS, () => {
      this._next = next;
    });
    this._clock.after(workMs, () => {
      model.crash();
      this._isDraining = false;
      this._next = undefined;
      this._server.model = next;
    });
  }

  /**
   * Lets orders get no response and be executed later.
   * @param count - Number of orders.
   * @param lateMs - When they are executed, in milliseconds.
   */
  delayOrders(count: number, lateMs: number): void {
    Object.assign(this._server.model.faults, { lateOrders: count, lateMs });
  }

  /** Sends a heartbeat that is not the worker's: its own one under another id, or with a later start. */
  sendForeignHeartbeat(isCopy: boolean): void {
    const own = this._server.model.announce();
    const startedAtMs = own.startedAtMs + (isCopy ? 0 : 1_000);
    this._announce({ ...own, startedAtMs, id: `${own.id}f`, sequence: own.sequence + 1 });
  }

  private _createId(): string {
    return `${this._options.name}-${this._lives}`;
  }

  private _createModel(id: string): PoolWorkerModel {
    this._lives += 1;
    const { rack, journal, getRequirements } = this._options;
    const capacity = {
      ...{ processorsMilli: PROCESSORS_MILLI, memoryBytes: MEMORY_BYTES, accelerators: 0 },
    };
    return new PoolWorkerModel({
      ...{ clock: this._clock, id, startedAtMs: Date.now(), pool: POOL, rack, capacity },
      ...{ clockRate: CLOCK_RATE, maxLeaseMs: MAX_LEASE_MS, getRequirements, journal },
    });
  }

  private _sendHeartbeats(): void {
    if (this._isEnded) {
      return;
    }
    if (!this._server.model.isDead) {
      this._announce(this._server.model.announce());
    }
    if (this._next !== undefined) {
      this._announce(this._next.announce());
    }
    this._clock.after(HEARTBEAT_MS, () => {
      this._sendHeartbeats();
    });
  }

  /** Sends an announcement; the agent may be away, and the next heartbeat follows. */
  private _announce(announcement: WorkerAnnouncement): void {
    this._server.sendHeartbeat(this._options.announcements, announcement).catch(() => undefined);
  }
}
