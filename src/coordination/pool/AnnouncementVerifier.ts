/**
 * Asks the worker at an agent's address whether it is the one that an announcement names. Anybody may
 * send an announcement, it may be late, and its start may be from a clock that has jumped; what
 * responds at the address under the announced id, with the announced start, is there.
 */
import type { Log } from "../../protocol/platform/Log.ts";
import type {
  PoolWorker,
  WorkerAnnouncement,
  WorkerCallFailure,
  WorkerRuns,
} from "../../protocol/platform/PoolWorker.ts";
import type { FencingToken } from "./FencingToken.ts";
import { formatIncarnation } from "./incarnations.ts";
import { isNewer } from "./workerChanges.ts";

/**
 * Maximum number of announced incarnations that are asked for while the worker does not respond. The
 * oldest is dropped; a worker announces itself again within seconds.
 */
const MAX_CANDIDATES = 4;

/** Announcement of an incarnation that the worker has not confirmed. */
export interface Candidate {
  readonly announcement: WorkerAnnouncement;
  /** When it was announced last, on the monotonic clock, in milliseconds. */
  readonly announcedAt: number;
}

/** Dependencies of AnnouncementVerifier. */
export interface AnnouncementVerifierDependencies {
  readonly worker: PoolWorker;
  readonly log: Log;
  readonly fencingToken: FencingToken;
  /** Gets the epoch that the agent follows; 0 for none. */
  readonly getEpoch: () => number;
  /** Gets the announcement of the present incarnation; undefined for none. */
  readonly getPresent: () => WorkerAnnouncement | undefined;
  /** Called when the worker has confirmed that it is the incarnation. */
  readonly onConfirmed: (candidate: Candidate) => void;
}

/** Verifies the announcements that reach one agent. */
export class AnnouncementVerifier {
  private readonly _deps: AnnouncementVerifierDependencies;
  /** By incarnation, in the order of their first announcements. */
  private readonly _candidates = new Map<string, Candidate>();
  private readonly _asked = new Set<string>();
  private _callCount = 0;
  /** Number of the call that confirmed the present incarnation. */
  private _confirmingCall = 0;
  private _lastRejected = "";

  /**
   * Creates a verifier without candidates.
   * @param deps - Dependencies.
   */
  constructor(deps: AnnouncementVerifierDependencies) {
    this._deps = deps;
  }

  /**
   * Adds an announcement of another incarnation than the present one.
   * @param candidate - The announcement.
   * @returns Whether no announcement of the incarnation was known.
   */
  add(candidate: Candidate): boolean {
    const { announcement } = candidate;
    const incarnation = formatIncarnation(announcement.id, announcement.startedAtMs);
    const known = this._candidates.get(incarnation)?.announcement;
    if (known !== undefined && !isNewer(announcement, known)) {
      return false;
    }
    this._candidates.set(incarnation, candidate);
    [...this._candidates.keys()]
      .slice(0, -MAX_CANDIDATES)
      .forEach((oldest) => this._candidates.delete(oldest));
    return known === undefined;
  }

  /** Asks the worker for all candidates for which no call is in progress. */
  async verify(): Promise<void> {
    // Until a scheduler has called, nobody asks who the worker is.
    const incarnations = this._deps.getEpoch() === 0 ? [] : [...this._candidates.keys()];
    await Promise.all(
      incarnations
        .filter((incarnation) => !this._asked.has(incarnation))
        .map((incarnation) => this._ask(incarnation)),
    );
  }

  private async _ask(incarnation: string): Promise<void> {
    const announced = this._candidates.get(incarnation)?.announcement;
    const fencingToken = this._deps.fencingToken.value;
    if (announced === undefined || fencingToken === undefined) {
      return;
    }
    this._asked.add(incarnation);
    this._callCount += 1;
    const call = this._callCount;
    // It may be any worker: it is given no lease, and none of its ends is acknowledged.
    const answer = await this._deps.worker.sync({
      worker: announced.id,
      fencingToken,
      ...{ leaseUntilMs: undefined, ackedEnd: 0, waitMs: 0 },
    });
    this._asked.delete(incarnation);
    answer.match(
      (lists) => {
        this._handleLists(incarnation, lists, call);
      },
      (failure) => {
        this._handleFailure(incarnation, failure, fencingToken);
      },
    );
  }

  private _handleLists(incarnation: string, { startedAtMs }: WorkerRuns, call: number): void {
    const candidate = this._candidates.get(incarnation);
    // Responses may overtake each other: only a call after the last confirming one shows a successor.
    if (candidate === undefined || call < this._confirmingCall) {
      return;
    }
    if (!this._isNamed(candidate.announcement, startedAtMs)) {
      this._reject(incarnation, "an incarnation with another start responds under its id");
      return;
    }
    this._candidates.delete(incarnation);
    this._confirmingCall = call;
    this._deps.onConfirmed(candidate);
  }

  /**
   * Returns whether a response is from the announced incarnation. A response without a start shows the
   * id only, so that an announcement with the id of the present incarnation counts if it is newer.
   */
  private _isNamed(announced: WorkerAnnouncement, startedAtMs: number | undefined): boolean {
    if (startedAtMs !== undefined) {
      return startedAtMs === announced.startedAtMs;
    }
    const present = this._deps.getPresent();
    return present?.id !== announced.id || isNewer(announced, present);
  }

  private _handleFailure(
    incarnation: string,
    { kind }: WorkerCallFailure,
    fencingToken: number,
  ): void {
    if (kind === "wrong-worker" || kind === "rejected") {
      this._reject(incarnation, "the worker at the address does not accept calls under its id");
    } else if (kind === "fenced" && this._deps.fencingToken.handleRefusal(fencingToken)) {
      void this.verify();
    }
  }

  /** Drops a candidate; logs the first of several rejections in a row. */
  private _reject(incarnation: string, reason: string): void {
    this._candidates.delete(incarnation);
    if (incarnation !== this._lastRejected) {
      this._lastRejected = incarnation;
      this._deps.log.warn(
        "An announcement is ignored, as the worker at the agent's address is another one.",
        { worker: incarnation, reason },
      );
    }
  }
}
