/**
 * Ended runs that the incarnations of an agent's worker have listed and that are not acknowledged.
 * An end that was read remains true, although later lists are missing or the worker was replaced.
 */
import type { Clock } from "../../protocol/platform/Clock.ts";
import type { Log } from "../../protocol/platform/Log.ts";
import type {
  EndedRun,
  WorkerAnnouncement,
  WorkerRuns,
} from "../../protocol/platform/PoolWorker.ts";
import type { FormerEnds } from "./AgentChannel.ts";
import { FormerEndTable } from "./FormerEndTable.ts";
import { formatIncarnation } from "./incarnations.ts";
import { UnacknowledgedEnds } from "./UnacknowledgedEnds.ts";

/** Dependencies of ListedEnds. */
export interface ListedEndsDependencies {
  readonly clock: Clock;
  readonly log: Log;
  /** Gets the version of the agent's report that includes the next change. */
  readonly getNextVersion: () => number;
}

/** Ended runs that one agent has read. */
export class ListedEnds {
  private readonly _deps: ListedEndsDependencies;
  private readonly _formerEnds = new FormerEndTable();
  private _present = new UnacknowledgedEnds(false);
  private _announced: WorkerAnnouncement | undefined;

  /**
   * Creates a table without ends.
   * @param deps - Dependencies.
   */
  constructor(deps: ListedEndsDependencies) {
    this._deps = deps;
  }

  /** Number up to which the ends of the present incarnation are acknowledged. */
  get ackedEnd(): number {
    return this._present.ackedEnd;
  }

  /** Ends of the present incarnation, in the order of their numbers. */
  get ends(): readonly EndedRun[] {
    return this._present.ends;
  }

  /**
   * Handles that the next incarnation is there. The ends of the one before are kept, whose
   * runs would count as lost without them.
   * @param announcement - Its announcement, which it has confirmed.
   */
  replaceWorker(announcement: WorkerAnnouncement): void {
    if (this._announced !== undefined) {
      this._addFormerEnds({ worker: getIncarnation(this._announced), ended: this._present.ends });
    }
    this._present = new UnacknowledgedEnds(this._announced !== undefined);
    this._announced = announcement;
  }

  /**
   * Acknowledges the ends of the present incarnation up to a number. Returns whether they were not
   * acknowledged before.
   * @param ackedEnd - The number.
   */
  acknowledge(ackedEnd: number): boolean {
    return this._present.acknowledge(ackedEnd);
  }

  /**
   * Adds the ends of a response; the next incarnation may have replaced it since the call.
   * Returns whether one of them was not known.
   * @param called - The incarnation that was called.
   * @param lists - The response.
   */
  add(called: WorkerAnnouncement, { startedAtMs, ended }: WorkerRuns): boolean {
    if (startedAtMs !== undefined && startedAtMs !== called.startedAtMs) {
      return false;
    }
    const worker = getIncarnation(called);
    if (this._announced !== undefined && worker === getIncarnation(this._announced)) {
      this._warnOfGap(worker, ended);
      return this._present.add(ended);
    }
    // Without its start, the response may be from a later incarnation with the same id.
    const isCertain = startedAtMs !== undefined || this._announced?.id !== called.id;
    return isCertain && this._addFormerEnds({ worker, ended });
  }

  /**
   * Returns the ends of former incarnations that a version of the agent's report did not include.
   * @param knownVersion - The version; 0 returns all ends.
   */
  getFormerEnds(knownVersion: number): readonly FormerEnds[] {
    return this._formerEnds.getLaterThan(knownVersion, this._deps.clock.now());
  }

  private _warnOfGap(worker: string, ended: readonly EndedRun[]): void {
    const gap = this._present.findGap(ended);
    if (gap !== undefined) {
      this._deps.log.warn(
        "Ends are missing in the list of a worker; it has forgotten ends that were not read.",
        { worker, ...gap },
      );
    }
  }

  private _addFormerEnds(former: FormerEnds): boolean {
    const { clock, log, getNextVersion } = this._deps;
    const { worker, ended } = former;
    if (ended.length === 0) {
      return false;
    }
    log.info(
      "Ended runs of a former incarnation are not acknowledged; schedulers are told of them.",
      {
        ...{ worker, ends: ended.length },
      },
    );
    const droppedCount = this._formerEnds.add(former, getNextVersion(), clock.now());
    if (droppedCount > 0) {
      log.warn("Ended runs of former incarnations were dropped; their tasks may run again.", {
        ends: droppedCount,
      });
    }
    return true;
  }
}

function getIncarnation({ id, startedAtMs }: WorkerAnnouncement): string {
  return formatIncarnation(id, startedAtMs);
}
