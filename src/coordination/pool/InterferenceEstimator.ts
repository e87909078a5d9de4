/**
 * Learns how much each image that lives on idle processors slows each image that serves users. A
 * serving task answers at the speed target / tail latency: 1 at its target, more below it. The speed
 * is close to linear in the load of the worker, whereas the tail latency grows without bound as the
 * worker fills up. So the speed is taken as what the tasks of a serving step have by themselves,
 * less the pressure of other images, in proportion to the share of the worker's processors that they
 * use. Both are estimated together: the own speed follows the step's load within seconds, the
 * pressure of a pair lasts.
 */
import {
  GaussianState,
  type ObservationTerm,
  type VariablePrior,
} from "../disturbance/GaussianState.ts";
import type { PairInterference } from "../../state/pool/records.ts";

/**
 * Pressure of a pair, were the image to use all processors of a worker: two of three pairs press
 * hardly at all, the others with 3 to 8. What is not observed for a while is tried again.
 */
const PAIR_PRIOR: VariablePrior = { mean: 2, variance: 7, decayMs: 40_000 };
/** Variance that is added to what another scheduler has learnt: loads change meanwhile. */
const INHERITED_VARIANCE = 0.5;
/** Speed of a serving step by itself: its load moves by half within seconds. */
const BASELINE_PRIOR: VariablePrior = { mean: 2.4, variance: 0.45, decayMs: 4_000 };
/** Variance of a measure of the speed. */
const MEASUREMENT_VARIANCE = 0.03;
/** The same while the tail latency falls: a measure still shows some of what was before. */
const FALLING_VARIANCE = 0.4;
/** Standard deviations beyond which a measure counts as an outlier. */
const OUTLIER_DEVIATIONS = 3;
/** Speed below which a worker is so full that a measure only gives a bound. */
const SATURATED_SPEED = 0.3;
/** Speed that a measure counts as at most; measures overshoot. */
const MAX_SPEED = 5;
/** Most steps and images that are followed for a serving image. */
const MAX_VARIABLES = 48;
/** Most pairs that are remembered; the one that was seen longest ago is dropped first. */
const MAX_PAIRS = 2_000;

/** Serving tasks of one step on a worker. */
export interface ServingGroup {
  readonly image: string;
  /** Job and step. */
  readonly step: string;
}

/** Speed of serving tasks as it was measured. */
export interface SpeedMeasurement {
  readonly speed: number;
  /** Whether the tail latency falls. */
  readonly isFalling: boolean;
}

/** What one image uses on a worker. */
export interface ImageUsage {
  readonly image: string;
  /** Share of the worker's processors, from 0 to 1. */
  readonly used: number;
}

/** Speed of serving tasks as it is expected. */
export interface ExpectedSpeed {
  readonly mean: number;
  readonly variance: number;
}

/** Pressure of images on images. */
export class InterferenceEstimator {
  private readonly _states = new Map<string, GaussianState>();
  /** What is expected of pairs that another scheduler has seen. */
  private readonly _priors = new Map<string, VariablePrior>();
  private readonly _pairs = new Map<string, Pick<PairInterference, "serving" | "image">>();

  /**
   * Creates an estimator.
   * @param learnt - What another scheduler has learnt; nothing by default.
   */
  constructor(learnt: readonly PairInterference[] = []) {
    learnt.forEach(({ serving, image, mean, variance }) => {
      const taken = Math.min(PAIR_PRIOR.variance, variance + INHERITED_VARIANCE);
      const { decayMs } = PAIR_PRIOR;
      this._priors.set(getPairKey(serving, image), { mean, variance: taken, decayMs });
      this._markObserved(serving, image);
    });
  }

  /** Gives what is known of the pairs that were seen. */
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
   * Takes a measure in.
   * @param group - Serving tasks.
   * @param measure - Their speed.
   * @param uses - What other images used meanwhile on the same worker.
   * @param now - Monotonic time in milliseconds.
   */
  observe(
    group: ServingGroup,
    { speed, isFalling }: SpeedMeasurement,
    uses: readonly ImageUsage[],
    now: number,
  ): void {
    const state = this._states.get(group.image) ?? new GaussianState(MAX_VARIABLES);
    this._states.set(group.image, state);
    const { mean, variance } = this.predict(group, uses);
    const seen = Math.max(SATURATED_SPEED, speed);
    const error = seen - Math.max(SATURATED_SPEED, mean);
    const noise = isFalling ? FALLING_VARIANCE : MEASUREMENT_VARIANCE;
    const bound = OUTLIER_DEVIATIONS * Math.sqrt(variance + noise);
    const bounded = Math.max(-bound, Math.min(bound, error));
    const terms = this._getTerms(group, uses);
    state.observe(now, terms, bounded, noise);
    uses
      .filter(({ used }) => used > 0)
      .forEach(({ image }) => {
        this._markObserved(group.image, image);
      });
  }

  /**
   * Gives the speed that is expected of serving tasks.
   * @param group - The tasks.
   * @param uses - What other images use on the same worker.
   */
  predict(group: ServingGroup, uses: readonly ImageUsage[]): ExpectedSpeed {
    const state = this._states.get(group.image);
    const terms = this._getTerms(group, uses);
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

  private _getTerms(group: ServingGroup, uses: readonly ImageUsage[]): readonly ObservationTerm[] {
    const own = { name: `own/${group.step}`, prior: BASELINE_PRIOR, weight: 1 };
    const sums = uses
      .filter(({ used }) => used > 0)
      .reduce(
        (found, { image, used }) => found.set(image, (found.get(image) ?? 0) + used),
        new Map<string, number>(),
      );
    const pairs = [...sums].map(([image, used]) => ({
      name: getPairName(image),
      prior: this._priors.get(getPairKey(group.image, image)) ?? PAIR_PRIOR,
      weight: -used,
    }));
    return [own, ...pairs];
  }
}

/**
 * Gives the speed at which a serving task answers: 1 at its target.
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
