/**
 * Usage samples of the worker stand-in, which reports them with a delay.
 */
import type { Resources } from "../../src/protocol/Resources.ts";
import { NO_RESOURCES } from "../../src/protocol/Resources.ts";

/** Usage at a point in time. */
export interface UsageSample {
  readonly at: number;
  readonly total: Resources;
  /** Usage by task and attempt. */
  readonly tasks: ReadonlyMap<string, Resources>;
}

const NO_SAMPLE: UsageSample = { at: 0, total: NO_RESOURCES, tasks: new Map() };

/** Samples that are to be reported now or later. */
export class UsageSamples {
  private readonly _lagMs: number;
  private _samples: readonly UsageSample[] = [];

  /**
   * Creates an empty series.
   * @param lagMs - Age of the usage to report, in milliseconds.
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
   * Gets the newest sample that is old enough to be reported.
   * @param now - Current time.
   */
  get(now: number): UsageSample {
    return this._samples.findLast((sample) => sample.at <= now - this._lagMs) ?? NO_SAMPLE;
  }
}
