/**
 * Records which workers of a pool get no lease any more because their agents do not respond, and when
 * their leases end, for the next scheduler. Without that, it would have to wait until all leases have
 * ended that this one might still grant after its last contact with the store.
 *
 * A worker on record gets no lease from this scheduler until a record without it is written. None can
 * be written after the next election, so that what the next scheduler reads holds for all former ones.
 */
import type { Clock } from "../../protocol/platform/Clock.ts";
import type { Log } from "../../protocol/platform/Log.ts";
import type { Store, StoreEntry, TransactionResult } from "../../protocol/platform/Store.ts";
import { getLeaseEndKey, getSchedulerKey } from "../../state/pool/PoolKeys.ts";
import { parseLeaseEndRecord, type LeaseEndRecord } from "../../state/pool/records.ts";
import type { PoolState } from "./PoolState.ts";
import type { KnownLeaseEnds } from "./readLeaseEnds.ts";

/**
 * Time without a response after which an agent is recorded, in milliseconds; more than a broken
 * connection takes to be replaced.
 */
const MIN_SILENCE_MS = 300;

/** Maximum number of agents that a line of the log names. */
const MAX_LOGGED_AGENTS = 20;

/** Dependencies of LeaseEndRecorder. */
export interface LeaseEndRecorderDependencies {
  readonly pool: string;
  readonly epoch: number;
  readonly store: Store;
  readonly clock: Clock;
  readonly log: Log;
  readonly state: PoolState;
  /** What the former schedulers have recorded. */
  readonly known: KnownLeaseEnds;
  /** When every lease of former schedulers has certainly ended that is not on record. */
  readonly formerLeasesExpireBy: number;
  /**
   * Gets since when an agent has not responded, on the monotonic clock, in milliseconds; undefined if
   * it responds or may still respond to its first call.
   */
  readonly getSilentSince: (agent: string) => number | undefined;
}

/** Ends of leases, by agent, on the monotonic clock, in milliseconds. */
type LeaseEnds = ReadonlyMap<string, number>;

/** Records the ends of leases of one scheduler's pool. */
export class LeaseEndRecorder {
  private readonly _deps: LeaseEndRecorderDependencies;
  /** Ends of which a record is written or may be; the workers get no lease. */
  private _withheld: LeaseEnds;
  /** Ends in the record as it is known to be. */
  private _recorded: LeaseEnds;
  private _revision: number;
  private _isWriting = false;

  /**
   * Creates a recorder; it writes nothing before `tick` is called.
   * @param deps - Dependencies.
   */
  constructor(deps: LeaseEndRecorderDependencies) {
    this._deps = deps;
    this._withheld = deps.known.endsAt;
    this._recorded = deps.known.endsAt;
    this._revision = deps.known.revision;
  }

  /**
   * Returns whether the worker of an agent gets no lease.
   * @param agent - Name of the agent.
   */
  isWithheld(agent: string): boolean {
    return this._withheld.has(agent);
  }

  /**
   * Gets when all leases have ended that former schedulers granted to an agent's worker, on the
   * monotonic clock, in milliseconds.
   * @param agent - Name of the agent.
   */
  getFormerLeaseEnd(agent: string): number {
    const { known, formerLeasesExpireBy } = this._deps;
    return known.endsAt.get(agent) ?? formerLeasesExpireBy;
  }

  /** Writes a record if other agents than those on record do not respond. */
  tick(): void {
    const wanted = this._findEnds();
    const isRecorded =
      wanted.size === this._recorded.size &&
      [...wanted.keys()].every((agent) => this._recorded.has(agent));
    const isDecided = this._withheld.size === this._recorded.size;
    if (!this._isWriting && !(isRecorded && isDecided)) {
      void this._write(wanted);
    }
  }

  /** Finds the agents on record that have not responded since, and others with runs. */
  private _findEnds(): LeaseEnds {
    const { state, clock, getSilentSince } = this._deps;
    const now = clock.now();
    const kept = [...this._withheld].filter(([agent]) => {
      const hasResponded = state.workerTable.getAgent(agent)?.answeredAt !== undefined;
      return !hasResponded || getSilentSince(agent) !== undefined;
    });
    const silent = state.activeRuns.agents
      .filter((agent) => now - (getSilentSince(agent) ?? now) >= MIN_SILENCE_MS)
      .filter((agent) => state.activeRuns.getByAgent(agent).length > 0)
      .map((agent): readonly [string, number] => [agent, this._getLeaseEnd(agent)]);
    return new Map([...silent, ...kept]);
  }

  /** Gets when all leases that the worker of an agent got from any scheduler have ended. */
  private _getLeaseEnd(agent: string): number {
    const worker = this._deps.state.workerTable.getWorker(agent);
    return worker?.leasesExpireBy ?? this.getFormerLeaseEnd(agent);
  }

  private async _write(ends: LeaseEnds): Promise<void> {
    const { pool, epoch, store, clock, log } = this._deps;
    this._isWriting = true;
    // From now on, before the record may exist.
    this._withheld = new Map([...this._withheld, ...ends]);
    const now = clock.now();
    const agents = [...ends].map(([agent, endsAt]) => [agent, Math.max(0, endsAt - now)] as const);
    const record: LeaseEndRecord = { agents: Object.fromEntries(agents) };
    const value = JSON.stringify(record);
    const result = await store.transact({
      checks: [{ key: getSchedulerKey(pool), expected: epoch }],
      writes: [{ key: getLeaseEndKey(pool), value, expected: this._revision }],
    });
    this._isWriting = false;
    result.match(
      (executed) => {
        this._handleResult(ends, executed);
      },
      ({ detail: reason }) => {
        log.warn("The ends of leases could not be recorded; the write is retried.", {
          ...{ pool, agents: ends.size, reason },
        });
      },
    );
  }

  private _handleResult(ends: LeaseEnds, result: TransactionResult): void {
    const { pool, log } = this._deps;
    if (result.kind === "conflict") {
      this._handleConflict(result.current);
      return;
    }
    const agents = [...ends.keys()].slice(0, MAX_LOGGED_AGENTS).join(" ");
    log.info("Recorded which workers get no lease as their agents do not respond.", {
      ...{ pool, count: ends.size, agents, revision: result.revision },
    });
    this._recorded = ends;
    this._withheld = ends;
    this._revision = result.revision;
  }

  /**
   * Handles a conflict: an earlier write of which no response came was executed. What it recorded
   * holds; agents that are on record only with the one after it still get no lease. If another
   * scheduler is elected, this one is told by the writer of progress.
   */
  private _handleConflict(current: readonly StoreEntry[]): void {
    const { pool, epoch } = this._deps;
    const scheduler = current.find(({ key }) => key === getSchedulerKey(pool));
    const found = current.find(({ key }) => key === getLeaseEndKey(pool));
    if (scheduler?.revision !== epoch || found === undefined) {
      return;
    }
    const agents = parseLeaseEndRecord(found.value).match(
      (record) => Object.keys(record.agents),
      () => [],
    );
    this._recorded = new Map(agents.map((agent) => [agent, this._withheld.get(agent) ?? 0]));
    this._revision = found.revision;
  }
}
