/**
 * One backend server as the agent beside it sees it: its last announcement, its slots and queue, and
 * the latency of the report window.
 */
import { build, type Histogram } from "hdr-histogram-js";
import type { Clock } from "../../protocol/platform/Clock.ts";
import type { ServerAnnouncement } from "../../protocol/ServerAnnouncement.ts";
import type { ServerRecord } from "../../state/FleetView.ts";
import { AdmissionQueue } from "./AdmissionQueue.ts";

/** Time after which a request sent to the server is surely counted in its announcements. */
const COUNTED_AFTER_MS = 100;
const MEDIAN = 50;
const TAIL = 99;
const US_PER_MS = 1_000;
const HIGHEST_LATENCY_US = 600_000_000;

/** One backend server of this VM. */
export class LocalServer {
  readonly queue: AdmissionQueue;
  private readonly _clock: Clock;
  private readonly _startedAt = new Map<string, number>();
  private readonly _latencies: Histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: HIGHEST_LATENCY_US,
    numberOfSignificantValueDigits: 2,
  });
  private _announcement: ServerAnnouncement;
  private _announcedAt: number;
  private _failures = 0;
  private _gone = false;

  /**
   * Creates the server from its first announcement.
   * @param clock - Monotonic clock.
   * @param announcement - The announcement.
   */
  constructor(clock: Clock, announcement: ServerAnnouncement) {
    this._clock = clock;
    this._announcement = announcement;
    this._announcedAt = clock.now();
    this.queue = new AdmissionQueue(clock, announcement.slots);
    this.announce(announcement);
  }

  /** The last announcement. */
  get announcement(): ServerAnnouncement {
    return this._announcement;
  }

  /** When the server last announced itself, in monotonic milliseconds. */
  get announcedAt(): number {
    return this._announcedAt;
  }

  /** Whether the server takes no new work. */
  get draining(): boolean {
    return this._gone || this._announcement.draining;
  }

  /**
   * Takes in an announcement.
   * @param announcement - The announcement.
   */
  announce(announcement: ServerAnnouncement): void {
    this._announcement = announcement;
    this._announcedAt = this._clock.now();
    this._gone = false;
    this.queue.setSlots(announcement.slots);
    this.queue.setForeign(Math.max(0, announcement.inUse - this._getCountedRequests()));
    if (announcement.draining) {
      this.queue.drain();
      return;
    }
    this.queue.resume();
  }

  /** Notes that announcements have ceased: no new work until the next one. */
  markGone(): void {
    this._gone = true;
    this.queue.drain();
  }

  /**
   * Notes that a request goes to the server.
   * @param key - Identity of the attempt.
   */
  noteStarted(key: string): void {
    this._startedAt.set(key, this._clock.now());
  }

  /**
   * Notes the head of an answer.
   * @param sinceMs - Time since the request arrived at the agent, in milliseconds.
   * @param failed - Whether the server answered with a failure of its own.
   */
  noteAnswer(sinceMs: number, failed: boolean): void {
    this._latencies.recordValue(Math.round(Math.min(HIGHEST_LATENCY_US, sinceMs * US_PER_MS)));
    this._failures += failed ? 1 : 0;
  }

  /**
   * Notes that a request has ended and frees its slot.
   * @param key - Identity of the attempt.
   * @param detached - Whether the server may still be at work on it.
   */
  noteEnded(key: string, detached: boolean): void {
    const startedAt = this._startedAt.get(key);
    if (startedAt === undefined) {
      return;
    }
    this._startedAt.delete(key);
    if (detached) {
      this.queue.setForeign(this.queue.foreign + 1);
    }
    this.queue.release(this._clock.now() - startedAt);
  }

  /** Gives what a heartbeat reports and begins a new report window. */
  takeReport(): ServerRecord {
    const report = {
      service: this._announcement.service,
      id: this._announcement.id,
      slots: this._announcement.slots,
      slotsInUse: this.queue.inUse + this.queue.foreign,
      queued: this.queue.queued,
      draining: this.draining,
      p50Us: this._latencies.getValueAtPercentile(MEDIAN),
      p99Us: this._latencies.getValueAtPercentile(TAIL),
      requests: this._latencies.totalCount,
      failures: this._failures,
    };
    this._latencies.reset();
    this._failures = 0;
    return report;
  }

  private _getCountedRequests(): number {
    const countedBefore = this._clock.now() - COUNTED_AFTER_MS;
    return [...this._startedAt.values()].filter((at) => at <= countedBefore).length;
  }
}
