/**
 * Candidates for the election of a pool's scheduler in virtual time. The tests deliver the changes
 * of the key themselves, in any order that a store allows.
 */
import type { StoreChange } from "../../../src/protocol/platform/Store.ts";
import { SchedulerElection } from "../../../src/coordination/pool/SchedulerElection.ts";
import { getSchedulerKey } from "../../../src/state/pool/PoolKeys.ts";
import { StoreModel } from "../../../standins/store/StoreModel.ts";
import { ManualClock } from "../../support/ManualClock.ts";
import { MemoryLog } from "../../support/MemoryLog.ts";
import { POOL } from "../../support/poolFixtures.ts";
import { SeededRandom } from "../../support/SeededRandom.ts";
import { ElectionStore } from "./ElectionStore.ts";

/** Key that names the scheduler. */
export const KEY = getSchedulerKey(POOL);
/** Record of an entry that is no candidate. */
export const OTHER = JSON.stringify({ entry: "other", process: "process-other" });
/** Time to live of a scheduler's lease, in milliseconds. */
export const LEASE_MS = 2_000;
/** Longer than the jitter of a claim, in milliseconds. */
export const CLAIM_MS = 100;

/** An entry that takes part in an election, and what it was told. */
export interface Candidate {
  readonly election: SchedulerElection;
  readonly store: ElectionStore;
  readonly log: MemoryLog;
  /** Epochs for which the entry was elected, in order. */
  readonly epochs: number[];
  /** Epochs that it left, in order. */
  readonly left: number[];
  /** Whether it could schedule the pool. */
  isEligible: boolean;
}

/** A pool's election with its store. */
export class ElectionHarness {
  readonly clock = new ManualClock();
  readonly model = new StoreModel(this.clock);

  /**
   * Adds an entry that does not know the state of the key yet.
   * @param process - Identity of its process.
   * @param entry - Its name.
   * @param claimDelayMs - Delay of its claims, in milliseconds.
   */
  addCandidate(process = "process-a", entry = process, claimDelayMs = 0): Candidate {
    const { clock } = this;
    const store = new ElectionStore(clock, this.model);
    const log = new MemoryLog();
    const epochs: number[] = [];
    const left: number[] = [];
    const eligibility = { isEligible: true };
    const election = new SchedulerElection({
      ...{ store, clock, log, pool: POOL, leaseMs: LEASE_MS, claimDelayMs },
      random: new SeededRandom(process.length),
      identity: { entry, process },
      isEligible: () => eligibility.isEligible,
      onElected: (epoch) => {
        epochs.push(epoch);
      },
      onSuperseded: () => {
        left.push(epochs.at(-1) ?? 0);
      },
    });
    return Object.assign(eligibility, { election, store, log, epochs, left });
  }

  /** Adds an entry and lets it be elected. */
  async addScheduler(): Promise<Candidate> {
    const candidate = this.addCandidate();
    candidate.election.applyListing(undefined, this.model.revision);
    await this.clock.advance(CLAIM_MS);
    return candidate;
  }

  /**
   * Writes the key as another entry and returns its revision.
   * @param value - Value of the key.
   */
  writeKey(value: string): number {
    const expected = this.model.read(KEY)?.revision ?? 0;
    const written = this.model.write({ key: KEY, value, expected });
    return written.kind === "written" ? written.revision : 0;
  }

  /** Deletes the key and returns the change. */
  removeKey(): StoreChange {
    this.model.remove(KEY, this.model.read(KEY)?.revision ?? 0);
    return { key: KEY, value: undefined, revision: this.model.revision };
  }
}

/**
 * Returns whether each number is greater than the one before it.
 * @param numbers - The numbers, such as epochs.
 */
export function isAscending(numbers: readonly number[]): boolean {
  return numbers.every((number, position) => number > (numbers[position - 1] ?? 0));
}
