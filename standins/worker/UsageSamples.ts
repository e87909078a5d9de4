/**
 * Usage as the worker stand-in reports it: samples that lag behind.
 */
import type { Resources } from "../../src/protocol/Resources.ts";
import { NO_RESOURCES } from "../../src/protocol/Resources.ts";

/** Usage at one time. */
export interface UsageSample {
  readonly at: number;
  readonly total: Resources;
  /** Usage by task and attempt. */
  readonly tasks: ReadonlyMap<string, Resources>;
}

const NO_SAMPLE: UsageSample = { at: 0, total: NO_RESOURCES, tasks: new Map() };

/** Samples of the last while. */
export class UsageSamples {
  private readonly _lagMs: number;
  private _samples: readonly UsageSample[] = [];

  /**
   * Creates an empty series.
   * @param lagMs - Age of the usage that is reported, in milliseconds.
   */
  constructor(lagMs: number) {
    this._lagMs = lagMs;
  }

  /**
   * Adds a sample and drops those that are no longer needed.
   * @param sample - The sample.
   */
  add(sample: UsageSample): void {
    const reported = this.get(sample.at);
    this._samples = [...this._samples.filter(({ at }) => at >= reported.at), sample];
  }

  /**
   * Gives the newest sample that is old enough to be reported.
   * @param now - Time now.
   */
  get(now: number): UsageSample {
    return this._samples.findLast((sample) => sample.at <= now - this._lagMs) ?? NO_SAMPLE;
  }
}
