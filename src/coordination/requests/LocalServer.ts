/**
 * One backend server as the agent on its VM sees it: its last announcement, its slots and queue,
 * and the latencies since the last report.
 */
import { build, type Histogram } from "hdr-histogram-js";
import type { Clock } from "../../protocol/platform/Clock.ts";
import type { ServerAnnouncement } from "../../protocol/ServerAnnouncement.ts";
import type { ServerRecord } from "../../state/FleetView.ts";
import { AdmissionQueue } from "./AdmissionQueue.ts";

/**
 * Time after which a request sent to the server is guaranteed to be counted in its announcements,
 * in milliseconds.
 */
const USAGE_REPORT_DELAY_MS = 100;
const MEDIAN_PERCENTILE = 50;
const TAIL_PERCENTILE = 99;
const US_PER_MS = 1_000;
const MAX_LATENCY_US = 600_000_000;

/** One backend server of this VM. */
export class LocalServer {
  readonly queue: AdmissionQueue;
  private readonly _clock: Clock;
  private readonly _startedAt = new Map<string, number>();
  private readonly _latencies: Histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAX_LATENCY_US,
    numberOfSignificantValueDigits: 2,
  });
  private _announcement: ServerAnnouncement;
  private _announcedAt: number;
  private _failures = 0;
  private _isExpired = false;

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
    this.handleAnnouncement(announcement);
  }

  /** The last announcement. */
  get announcement(): ServerAnnouncement {
    return this._announcement;
  }

  /** Time of the last announcement, in monotonic milliseconds. */
  get announcedAt(): number {
    return this._announcedAt;
  }

  /** Whether the server accepts no new requests. */
  get draining(): boolean {
    return this._isExpired || this._announcement.draining;
  }

  /**
   * Handles an announcement. Slots in use beyond this agent's own requests count as external.
   * @param announcement - The announcement.
   */
  handleAnnouncement(announcement: ServerAnnouncement): void {
    this._announcement = announcement;
    this._announcedAt = this._clock.now();
    this._isExpired = false;
    this.queue.setSlots(announcement.slots);
    this.queue.setExternalSlots(Math.max(0, announcement.inUse - this._countReportedRequests()));
    if (announcement.draining) {
      this.queue.drain();
      return;
    }
    this.queue.resume();
  }

  /** Marks the server as expired: it accepts no requests until its next announcement. */
  expire(): void {
    this._isExpired = true;
    this.queue.drain();
  }

  /**
   * Records that a request is sent to the server.
   * @param key - Key of the attempt.
   */
  recordStart(key: string): void {
    this._startedAt.set(key, this._clock.now());
  }

  /**
   * Records the head of a response.
   * @param latencyMs - Time since the request arrived at the agent, in milliseconds.
   * @param failed - Whether the server responded with a failure of its own.
   */
  recordResponse(latencyMs: number, failed: boolean): void {
    this._latencies.recordValue(Math.round(Math.min(MAX_LATENCY_US, latencyMs * US_PER_MS)));
    this._failures += failed ? 1 : 0;
  }

  /**
   * Records that a request has ended and frees its slot.
   * @param key - Key of the attempt.
   * @param detached - Whether the server may still be processing it; its slot then counts as
   * external.
   */
  recordEnd(key: string, detached: boolean): void {
    const startedAt = this._startedAt.get(key);
    if (startedAt === undefined) {
      return;
    }
    this._startedAt.delete(key);
    if (detached) {
      this.queue.setExternalSlots(this.queue.externalSlots + 1);
    }
    this.queue.release(this._clock.now() - startedAt);
  }

  /** Returns the state that a heartbeat reports and starts a new report window. */
  collectReport(): ServerRecord {
    const report = {
      service: this._announcement.service,
      id: this._announcement.id,
      slots: this._announcement.slots,
      slotsInUse: this.queue.inUse + this.queue.externalSlots,
      queued: this.queue.queued,
      draining: this.draining,
      p50Us: this._latencies.getValueAtPercentile(MEDIAN_PERCENTILE),
      p99Us: this._latencies.getValueAtPercentile(TAIL_PERCENTILE),
      requests: this._latencies.totalCount,
      failures: this._failures,
    };
    this._latencies.reset();
    this._failures = 0;
    return report;
  }

  private _countReportedRequests(): number {
    const reportedBefore = this._clock.now() - USAGE_REPORT_DELAY_MS;
    return [...this._startedAt.values()].filter((at) => at <= reportedBefore).length;
  }
}
