/**
 * Estimates how much each image on idle processors slows each serving image. The speed of a serving
 * task is its target divided by its tail latency: 1 at the target, more below it. The speed is
 * close to linear in the load of the worker, whereas the tail latency grows without bound as the
 * worker becomes saturated. The speed is therefore modelled as the baseline speed of the tasks of a
 * serving step, less the interference of other images, which is proportional to the share of the
 * worker's processors that they use. Both are estimated jointly: the baseline speed follows the
 * load of the step within seconds, the interference of a pair of images persists.
 */
import {
  GaussianState,
  type ObservationTerm,
  type VariablePrior,
} from "../disturbance/GaussianState.ts";
import type { PairInterference } from "../../state/pool/records.ts";

/**
 * Interference of a pair if the image used all processors of a worker: two of three pairs have
 * hardly any, the others have 3 to 8. An estimate that is not updated decays to this prior, so that
 * the pair is tried again.
 */
const PAIR_PRIOR: VariablePrior = { mean: 2, variance: 7, decayMs: 40_000 };
/**
 * Variance that is added to the estimates of a previous scheduler, as loads may have changed since.
 */
const INHERITED_VARIANCE = 0.5;
/** Baseline speed of a serving step: its load changes by half within seconds. */
const BASELINE_PRIOR: VariablePrior = { mean: 2.4, variance: 0.45, decayMs: 4_000 };
/** Variance of a speed measurement. */
const MEASUREMENT_VARIANCE = 0.03;
/**
 * Variance of a speed measurement while the tail latency falls: it still includes part of the
 * earlier, higher latency.
 */
const FALLING_VARIANCE = 0.4;
/** Standard deviations beyond which a measurement counts as an outlier. */
const OUTLIER_DEVIATIONS = 3;
/** Speed below which a worker is so saturated that a measurement only gives a bound. */
const SATURATED_SPEED = 0.3;
/** Upper limit of a measured speed, because measurements overshoot. */
const MAX_SPEED = 5;
/** Maximum number of steps and images that are tracked for a serving image. */
const MAX_VARIABLES = 48;
/** Maximum number of pairs that are kept; the least recently observed one is dropped first. */
const MAX_PAIRS = 2_000;

/** Serving tasks of one step on a worker. */
export interface ServingGroup {
  readonly image: string;
  /** Job and step. */
  readonly step: string;
}

/** Measured speed of serving tasks. */
export interface SpeedMeasurement {
  readonly speed: number;
  /** Whether the tail latency is falling. */
  readonly isFalling: boolean;
}

/** Usage of one image on a worker. */
export interface ImageUsage {
  readonly image: string;
  /** Share of the worker's processors, from 0 to 1. */
  readonly used: number;
}

/** Expected speed of serving tasks. */
export interface ExpectedSpeed {
  readonly mean: number;
  readonly variance: number;
}

/** Estimates the interference of images on idle processors with serving images. */
export class InterferenceEstimator {
  private readonly _states = new Map<string, GaussianState>();
  /** Priors of pairs that a previous scheduler observed. */
  private readonly _priors = new Map<string, VariablePrior>();
  private readonly _pairs = new Map<string, Pick<PairInterference, "serving" | "image">>();

  /**
   * Creates an estimator.
   * @param priors - Estimates of a previous scheduler; none by default.
   */
  constructor(priors: readonly PairInterference[] = []) {
    priors.forEach(({ serving, image, mean, variance }) => {
      const inherited = Math.min(PAIR_PRIOR.variance, variance + INHERITED_VARIANCE);
      const { decayMs } = PAIR_PRIOR;
      this._priors.set(getPairKey(serving, image), { mean, variance: inherited, decayMs });
      this._markObserved(serving, image);
    });
  }

  /** Returns the estimates of all observed pairs. */
  getPairs(): readonly PairInterference[] {
    return [...this._pairs].map(([key, { serving, image }]) => {
      const state = this._states.get(serving);
      const prior = this._priors.get(key) ?? PAIR_PRIOR;
      const mean = Math.max(0, state?.getMean(getPairName(image)) ?? prior.mean);
      const variance = state?.getVariance(getPairName(image)) ?? prior.variance;
      return { serving, image, mean, variance };
    });
  }

  /**
   * Updates the estimates with a measurement.
   * @param group - The serving tasks.
   * @param measurement - Their speed.
   * @param usages - Usage of other images on the same worker meanwhile.
   * @param now - Monotonic time in milliseconds.
   */
  observe(
    group: ServingGroup,
    { speed, isFalling }: SpeedMeasurement,
    usages: readonly ImageUsage[],
    now: number,
  ): void {
    const state = this._states.get(group.image) ?? new GaussianState(MAX_VARIABLES);
    this._states.set(group.image, state);
    const { mean, variance } = this.predict(group, usages);
    const observed = Math.max(SATURATED_SPEED, speed);
    const error = observed - Math.max(SATURATED_SPEED, mean);
    const noise = isFalling ? FALLING_VARIANCE : MEASUREMENT_VARIANCE;
    const bound = OUTLIER_DEVIATIONS * Math.sqrt(variance + noise);
    const bounded = Math.max(-bound, Math.min(bound, error));
    const terms = this._getTerms(group, usages);
    state.observe(now, terms, bounded, noise);
    usages
      .filter(({ used }) => used > 0)
      .forEach(({ image }) => {
        this._markObserved(group.image, image);
      });
  }

  /**
   * Returns the expected speed of serving tasks.
   * @param group - The tasks.
   * @param usages - Usage of other images on the same worker.
   */
  predict(group: ServingGroup, usages: readonly ImageUsage[]): ExpectedSpeed {
    const state = this._states.get(group.image);
    const terms = this._getTerms(group, usages);
    const mean = terms.reduce((sum, { name, prior, weight }) => {
      const value = state?.getMean(name) ?? prior.mean;
      return sum + weight * Math.max(0, value);
    }, 0);
    const variance =
      state?.getSumVariance(terms) ??
      terms.reduce((sum, { prior, weight }) => sum + weight ** 2 * prior.variance, 0);
    return { mean, variance: Math.max(0, variance) };
  }

  private _markObserved(serving: string, image: string): void {
    const key = getPairKey(serving, image);
    this._pairs.delete(key);
    this._pairs.set(key, { serving, image });
    const [oldest] = this._pairs.keys();
    if (oldest !== undefined && this._pairs.size > MAX_PAIRS) {
      this._pairs.delete(oldest);
      this._priors.delete(oldest);
    }
  }

  private _getTerms(
    group: ServingGroup,
    usages: readonly ImageUsage[],
  ): readonly ObservationTerm[] {
    const baseline = { name: `own/${group.step}`, prior: BASELINE_PRIOR, weight: 1 };
    const sums = usages
      .filter(({ used }) => used > 0)
      .reduce(
        (totals, { image, used }) => totals.set(image, (totals.get(image) ?? 0) + used),
        new Map<string, number>(),
      );
    const pairs = [...sums].map(([image, used]) => ({
      name: getPairName(image),
      prior: this._priors.get(getPairKey(group.image, image)) ?? PAIR_PRIOR,
      weight: -used,
    }));
    return [baseline, ...pairs];
  }
}

/**
 * Returns the speed of a serving task: 1 at its target.
 * @param targetMs - Its target, in milliseconds.
 * @param tailMs - Its tail latency, in milliseconds.
 */
export function getSpeed(targetMs: number, tailMs: number): number {
  return tailMs > 0 ? Math.min(MAX_SPEED, targetMs / tailMs) : MAX_SPEED;
}

function getPairName(image: string): string {
  return `pair/${image}`;
}

function getPairKey(serving: string, image: string): string {
  return `${serving}\n${image}`;
}
