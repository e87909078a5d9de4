/**
 * Stores the interference estimates of a pool's scheduler, so that the next scheduler does not
 * start without any. A lost write does no harm: the interference is estimated again.
 */
import type { Clock } from "../../protocol/platform/Clock.ts";
import type { Log } from "../../protocol/platform/Log.ts";
import type { Store } from "../../protocol/platform/Store.ts";
import { getInterferenceKey } from "../../state/pool/PoolKeys.ts";
import type { PairInterference, InterferenceRecord } from "../../state/pool/records.ts";

/** Time between two writes, in milliseconds: estimates of a few seconds may be lost. */
const SAVE_INTERVAL_MS = 3_000;
/** Decimal places of the stored values. */
const DIGITS = 2;

/** Dependencies of an interference writer. */
export interface InterferenceWriterDependencies {
  readonly pool: string;
  readonly store: Store;
  readonly clock: Clock;
  readonly log: Log;
  /** Returns the current estimates. */
  readonly getPairs: () => readonly PairInterference[];
}

/** Writes interference estimates to the store. */
export class InterferenceWriter {
  private readonly _deps: InterferenceWriterDependencies;
  private _revision: number | undefined;
  private _saved = "";
  private _nextSaveAt = 0;
  private _isSaving = false;

  /**
   * Creates a writer.
   * @param deps - Store, clock, log and source of the estimates.
   */
  constructor(deps: InterferenceWriterDependencies) {
    this._deps = deps;
  }

  /** Writes the estimates if the interval has passed and they have changed. */
  tick(): void {
    const { clock, getPairs } = this._deps;
    const now = clock.now();
    if (now < this._nextSaveAt || this._isSaving) {
      return;
    }
    this._nextSaveAt = now + SAVE_INTERVAL_MS;
    const record: InterferenceRecord = { pairs: getPairs().map(round) };
    const value = JSON.stringify(record);
    if (record.pairs.length > 0 && value !== this._saved) {
      void this._save(value);
    }
  }

  private async _save(value: string): Promise<void> {
    const { pool, store, log } = this._deps;
    const key = getInterferenceKey(pool);
    this._isSaving = true;
    const written = await store.write({ key, value, expected: this._revision ?? 0 });
    this._isSaving = false;
    if (written.isErr()) {
      log.debug("Interference estimates could not be saved.", {
        pool,
        reason: written.error.detail,
      });
      return;
    }
    const result = written.value;
    this._revision = result.kind === "written" ? result.revision : result.current?.revision;
    this._saved = result.kind === "written" ? value : this._saved;
  }
}

function round({ mean, variance, ...pair }: PairInterference): PairInterference {
  return {
    ...pair,
    mean: Number(mean.toFixed(DIGITS)),
    variance: Number(variance.toFixed(DIGITS)),
  };
}
