/**
 * Learns how much each image that lives on idle processors presses on each image that serves users.
 * A serving task's own load moves its tail latency as well, so only what comes near the target
 * counts as pressure; tails grow the faster the fuller a worker is, so it is counted in the
 * logarithm, for each core in use. Most pairs are harmless and a few are not:
 * an observation moves most the estimates that are least certain, so that a pair that has been seen
 * to be harmless is not blamed for its neighbours.
 */

/** Pressure of each core that is expected of a pair never seen. */
const PRIOR_MEAN = 0.03;
/** Variance of that expectation: a heavy pair presses with 0.5 to 1 for each core. */
const PRIOR_VARIANCE = 0.4;
/** Variance of an observation: a serving task's own load moves its tail by half, and is not known. */
const NOISE_VARIANCE = 0.6;
/** Growth of an estimate's variance with each observation, so that changes are followed. */
const DRIFT_VARIANCE = 0.0015;
/** Variance of an estimate after a trial. */
const SETTLED_VARIANCE = 0.02;
/** Time in which an estimate that is not observed falls to a third, so that pairs are tried again. */
const FORGET_MS = 40_000;
/** Share of its target that a serving task may come to by its own load. */
const OWN_LOAD_SHARE = 0.65;
/** Greatest pressure that an observation counts as; measures overshoot. */
const MAX_PRESSURE = 3;
const MILLI = 1_000;

/** A serving task as it was measured. */
export interface ServingMeasure {
  readonly image: string;
  readonly targetMs: number;
  /** Tail latency as reported, in milliseconds. */
  readonly tailMs: number;
  /** Tail latency since the report before, in milliseconds. */
  readonly currentMs: number;
}

/** What one image uses on a worker. */
export interface ImageUse {
  readonly image: string;
  /** Processors in use, in thousandths of a core. */
  readonly usedMilli: number;
}

/** Pressure of one image on another, for each core. */
export interface PressureEstimate {
  readonly mean: number;
  readonly variance: number;
}

interface PairState extends PressureEstimate {
  readonly observedAt: number;
}

const UNKNOWN: PressureEstimate = { mean: PRIOR_MEAN, variance: PRIOR_VARIANCE };

/** Pressure of images on images. */
export class PressureEstimator {
  private readonly _pairs = new Map<string, PairState>();

  /**
   * Takes a measure in.
   * @param serving - Serving task.
   * @param uses - What other images used meanwhile on the same worker.
   * @param now - Monotonic time in milliseconds.
   */
  observe(serving: ServingMeasure, uses: readonly ImageUse[], now: number): void {
    const coresByImage = sumCores(uses);
    const ownMs = OWN_LOAD_SHARE * serving.targetMs;
    const seen = Math.min(MAX_PRESSURE, Math.max(0, Math.log(serving.currentMs / ownMs)));
    const parts = [...coresByImage].map(([image, cores]) => ({
      image,
      cores,
      known: this.getEstimate(serving.image, image, now),
    }));
    const expected = parts.reduce((sum, { cores, known }) => sum + cores * known.mean, 0);
    const total = parts.reduce(
      (sum, { cores, known }) => sum + cores ** 2 * known.variance,
      NOISE_VARIANCE,
    );
    parts.forEach(({ image, cores, known }) => {
      const gain = (cores * known.variance) / total;
      const mean = Math.max(0, known.mean + gain * (seen - expected));
      const variance = Math.min(
        PRIOR_VARIANCE,
        known.variance * (1 - gain * cores) + DRIFT_VARIANCE,
      );
      this._pairs.set(getKey(serving.image, image), { mean, variance, observedAt: now });
    });
  }

  /**
   * Gives the pressure of each core that an image uses.
   * @param serving - Image that serves.
   * @param image - Image beside it.
   * @param now - Monotonic time in milliseconds.
   */
  getEstimate(serving: string, image: string, now: number): PressureEstimate {
    const state = this._pairs.get(getKey(serving, image));
    if (state === undefined) {
      return UNKNOWN;
    }
    const kept = Math.exp((state.observedAt - now) / FORGET_MS);
    return { mean: state.mean * kept, variance: state.variance };
  }

  /**
   * Takes in what a trial has shown of a pair.
   * @param serving - Image that serves.
   * @param image - Image beside it.
   * @param mean - Pressure of each core.
   * @param now - Monotonic time in milliseconds.
   */
  settle(serving: string, image: string, mean: number, now: number): void {
    const state = { mean, variance: SETTLED_VARIANCE, observedAt: now };
    this._pairs.set(getKey(serving, image), state);
  }
}

function sumCores(uses: readonly ImageUse[]): ReadonlyMap<string, number> {
  return uses
    .filter(({ usedMilli }) => usedMilli > 0)
    .reduce(
      (sums, use) => sums.set(use.image, (sums.get(use.image) ?? 0) + getCores(use)),
      new Map<string, number>(),
    );
}

function getCores(use: ImageUse): number {
  return use.usedMilli / MILLI;
}

function getKey(serving: string, image: string): string {
  return `${serving}\n${image}`;
}
