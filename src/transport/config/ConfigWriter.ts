/**
 * Changes the configuration in the store. Each change is one compare-and-swap with the change's id in
 * the history. After a lost response the same change is written again at the same store revision:
 * whichever write is applied first makes the other one fail, so that the outcome can be determined by
 * reading the key.
 */
import type { ResultAsync } from "neverthrow";
import { findChangeOutcome, barChange, isBarred } from "../../coordination/config/history.ts";
import type { ActiveConfig } from "../../coordination/config/ActiveConfig.ts";
import { planChange, refuseChange } from "../../coordination/config/planChange.ts";
import { getSettlePath } from "../../protocol/config/ConfigChange.ts";
import type { ChangeOutcome, ConfigChange } from "../../protocol/config/ConfigChange.ts";
import type { Clock } from "../../protocol/platform/Clock.ts";
import type { Log } from "../../protocol/platform/Log.ts";
import type { RandomSource } from "../../protocol/platform/RandomSource.ts";
import type { Store, StoreFailure } from "../../protocol/platform/Store.ts";
import {
  CONFIG_KEY,
  formatStoredConfig,
  INITIAL_CONFIG,
  parseStoredConfig,
  type StoredConfig,
} from "../../protocol/config/StoredConfig.ts";
import { callStore } from "./callStore.ts";

const CALL_TIMEOUT_MS = 1000;
const MIN_BACKOFF_MS = 20;
const MAX_BACKOFF_MS = 500;

/** Dependencies of `ConfigWriter`. */
export interface ConfigWriterDependencies {
  readonly store: Store;
  readonly activeConfig: ActiveConfig;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: Log;
  /** Returns the time of day as ISO 8601 text, for the history. */
  readonly getTimeOfDay: () => string;
}

/** Stored configuration with the store revision of its key; 0 if the key is absent. */
interface ReadConfig {
  readonly stored: StoredConfig;
  readonly storeRevision: number;
}

/** Next step after reading the stored configuration: end with an outcome or write. */
type Step =
  | { readonly kind: "done"; readonly outcome: ChangeOutcome }
  | { readonly kind: "write"; readonly next: StoredConfig; readonly outcome: ChangeOutcome };

/** A write whose response was lost and that may still be applied later. */
interface OutstandingWrite {
  readonly storeRevision: number;
  readonly revision: number;
}

/** A change or settlement in progress. */
interface Transaction {
  readonly changeId: string;
  readonly endsAt: number;
  /**
   * Whether writes of the change may be in flight from elsewhere, so that a failure of this
   * transaction's own calls does not determine the outcome.
   */
  readonly isSettling: boolean;
  readonly plan: (stored: StoredConfig) => Step;
  /** Known revision before the change. */
  since: number | undefined;
  outstanding: OutstandingWrite | undefined;
  attempts: number;
  lastFailure: string;
}

/** Changes the configuration in the store. */
export class ConfigWriter {
  private readonly _deps: ConfigWriterDependencies;

  /**
   * Creates a writer.
   * @param deps - Dependencies of the writer.
   */
  constructor(deps: ConfigWriterDependencies) {
    this._deps = deps;
  }

  /**
   * Submits a change.
   * @param change - Change of the configuration.
   * @param timeoutMs - Timeout of the caller in milliseconds.
   */
  async submit(change: ConfigChange, timeoutMs: number): Promise<ChangeOutcome> {
    let { baseRevision } = change;
    const plan = (stored: StoredConfig): Step => {
      baseRevision ??= stored.revision;
      return this._planSubmit(stored, change, baseRevision);
    };
    const { changeId } = change;
    return this._run({ changeId, since: baseRevision, isSettling: false, plan }, timeoutMs);
  }

  /**
   * Settles a change: confirms that it has taken effect, or ensures that it never will.
   * @param changeId - Id of the change.
   * @param sinceRevision - Revision that is known to be older than the change.
   * @param timeoutMs - Timeout of the caller in milliseconds.
   */
  async settle(changeId: string, sinceRevision: number, timeoutMs: number): Promise<ChangeOutcome> {
    const plan = (stored: StoredConfig): Step => {
      const outcome = findChangeOutcome(stored, changeId, sinceRevision);
      if (outcome.kind !== "unknown" || isBarred(stored, changeId)) {
        return { kind: "done", outcome };
      }
      const next = barChange(stored, changeId, this._deps.getTimeOfDay());
      return { kind: "write", next, outcome: findChangeOutcome(next, changeId, sinceRevision) };
    };
    return this._run({ changeId, since: sinceRevision, isSettling: true, plan }, timeoutMs);
  }

  /**
   * Reads the stored configuration.
   * @param timeoutMs - Timeout of the caller in milliseconds.
   * @returns The configuration, or why it could not be read.
   */
  async read(timeoutMs: number): Promise<StoredConfig | string> {
    const endsAt = this._deps.clock.now() + timeoutMs;
    const result = await this._read(endsAt);
    return typeof result === "string" ? result : result.stored;
  }

  private _planSubmit(stored: StoredConfig, change: ConfigChange, baseRevision: number): Step {
    const { changeId } = change;
    const known = findChangeOutcome(stored, changeId, baseRevision);
    if (known.kind !== "unknown" || isBarred(stored, changeId)) {
      return { kind: "done", outcome: known };
    }
    return planChange(stored, change, baseRevision, this._deps.getTimeOfDay()).match<Step>(
      (next) => ({
        kind: "write",
        next,
        outcome: { kind: "accepted", changeId, revision: next.revision },
      }),
      (outcome) => ({ kind: "done", outcome }),
    );
  }

  private async _run(
    call: Pick<Transaction, "changeId" | "since" | "isSettling" | "plan">,
    timeoutMs: number,
  ): Promise<ChangeOutcome> {
    const transaction: Transaction = {
      ...call,
      endsAt: this._deps.clock.now() + timeoutMs,
      outstanding: undefined,
      attempts: 0,
      lastFailure: "no response in time",
    };
    while (this._deps.clock.now() < transaction.endsAt) {
      const outcome = await this._attempt(transaction);
      if (outcome !== undefined) {
        return outcome;
      }
      await this._backOff(transaction);
    }
    return ConfigWriter._createTimeoutOutcome(transaction);
  }

  private async _attempt(transaction: Transaction): Promise<ChangeOutcome | undefined> {
    const result = await this._read(transaction.endsAt);
    if (typeof result === "string") {
      transaction.lastFailure = result;
      return undefined;
    }
    const { stored } = result;
    const activeRevision = this._deps.activeConfig.getRevision() ?? 0;
    if (stored.revision < activeRevision) {
      transaction.lastFailure = `the store holds revision ${stored.revision}, but ${activeRevision} is in force`;
      return undefined;
    }
    this._deps.activeConfig.applyIfNewer(stored);
    transaction.since ??= stored.revision;
    if (!ConfigWriter._clearOutstandingWrite(transaction, result)) {
      return undefined;
    }
    const step = transaction.plan(stored);
    if (step.kind === "done") {
      return transaction.outstanding === undefined || step.outcome.kind === "accepted"
        ? step.outcome
        : undefined;
    }
    return this._write(transaction, result, step);
  }

  private async _write(
    transaction: Transaction,
    from: ReadConfig,
    step: Extract<Step, { kind: "write" }>,
  ): Promise<ChangeOutcome | undefined> {
    const value = formatStoredConfig(step.next);
    const write = { key: CONFIG_KEY, value, expected: from.storeRevision };
    const result = await this._call(this._deps.store.write(write), transaction.endsAt);
    if (result.isErr()) {
      ConfigWriter._recordFailure(transaction, from, result.error);
      return undefined;
    }
    if (result.value.kind === "conflict") {
      return undefined;
    }
    this._deps.activeConfig.applyIfNewer(step.next);
    return step.outcome;
  }

  private async _read(endsAt: number): Promise<ReadConfig | string> {
    const result = await this._call(this._deps.store.read(CONFIG_KEY), endsAt);
    if (result.isErr()) {
      return result.error.detail;
    }
    if (result.value === undefined) {
      return { stored: INITIAL_CONFIG, storeRevision: 0 };
    }
    const { value, revision } = result.value;
    return parseStoredConfig(value).match<ReadConfig | string>(
      (stored) => ({ stored, storeRevision: revision }),
      (problem) => `the stored configuration cannot be parsed: ${problem}`,
    );
  }

  private _call<T>(
    call: ResultAsync<T, StoreFailure>,
    endsAt: number,
  ): ResultAsync<T, StoreFailure> {
    const { clock } = this._deps;
    const leftMs = Math.max(0, endsAt - clock.now());
    return callStore(call, clock, Math.min(CALL_TIMEOUT_MS, leftMs));
  }

  private async _backOff(transaction: Transaction): Promise<void> {
    const { clock, random } = this._deps;
    const maxDelayMs = Math.min(MAX_BACKOFF_MS, MIN_BACKOFF_MS * 2 ** transaction.attempts);
    transaction.attempts += 1;
    const leftMs = Math.max(0, transaction.endsAt - clock.now());
    await clock.sleep(Math.min(leftMs, MIN_BACKOFF_MS + random.next() * maxDelayMs));
  }

  private static _recordFailure(
    transaction: Transaction,
    from: ReadConfig,
    failure: StoreFailure,
  ): void {
    transaction.lastFailure = failure.detail;
    if (failure.mayHaveWritten) {
      const { storeRevision, stored } = from;
      transaction.outstanding = { storeRevision, revision: stored.revision };
    }
  }

  /**
   * Clears an outstanding write once the key has a later revision than the one that it expects.
   * @returns Whether the next step can be planned on the configuration that was read.
   */
  private static _clearOutstandingWrite(transaction: Transaction, read: ReadConfig): boolean {
    const { outstanding } = transaction;
    if (outstanding === undefined || outstanding.storeRevision === read.storeRevision) {
      return true;
    }
    const isOlder = read.storeRevision < outstanding.storeRevision;
    if (isOlder || outstanding.revision < read.stored.horizon) {
      return false;
    }
    transaction.outstanding = undefined;
    return true;
  }

  private static _createTimeoutOutcome(transaction: Transaction): ChangeOutcome {
    const { changeId, lastFailure, outstanding, since, isSettling } = transaction;
    if (outstanding === undefined && !isSettling) {
      return refuseChange(changeId, "store-unavailable", lastFailure);
    }
    const settlePath = getSettlePath(changeId, since ?? 0);
    return { kind: "unknown", changeId, detail: lastFailure, settlePath };
  }
}
