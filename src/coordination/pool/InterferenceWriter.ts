/**
 * Keeps in the store what the scheduler of a pool has learnt of its images, so that the next one
 * need not try them again. Losing a save does no harm: it only has to be learnt anew.
 */
import type { Clock } from "../../protocol/platform/Clock.ts";
import type { Log } from "../../protocol/platform/Log.ts";
import type { Store } from "../../protocol/platform/Store.ts";
import { getInterferenceKey } from "../../state/pool/PoolKeys.ts";
import type { PairInterference, InterferenceRecord } from "../../state/pool/records.ts";

/** Time between two saves, in milliseconds: what is learnt within seconds may be lost. */
const SAVE_INTERVAL_MS = 3_000;
/** Digits of what is stored after the decimal point. */
const DIGITS = 2;

/** What a keeper needs. */
export interface InterferenceWriterDependencies {
  readonly pool: string;
  readonly store: Store;
  readonly clock: Clock;
  readonly log: Log;
  /** Gives what is known of the images. */
  readonly getPairs: () => readonly PairInterference[];
}

/** Learnt pressure in the store. */
export class InterferenceWriter {
  private readonly _deps: InterferenceWriterDependencies;
  private _revision: number | undefined;
  private _saved = "";
  private _nextSaveAt = 0;
  private _isSaving = false;

  /**
   * Creates a keeper.
   * @param deps - What it needs.
   */
  constructor(deps: InterferenceWriterDependencies) {
    this._deps = deps;
  }

  /** Saves what is due; most calls find that it is not time yet. */
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
      log.debug("What was learnt of images is not saved.", { pool, reason: written.error.detail });
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
