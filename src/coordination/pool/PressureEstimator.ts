/**
 * Learns how much each image that lives on idle processors raises the tail latency of each image
 * that serves users. Tails grow the faster the fuller a worker is, so the pressure is counted in
 * the logarithm of the latency, for each core in use. Most pairs are harmless and a few are not:
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
/** Time in which an estimate that is not observed falls to a third, so that pairs are tried again. */
const FORGET_MS = 20_000;
/** Share of a tail latency without pressure that the base takes over. */
const BASE_RATE = 0.1;
/** Share of the target that is taken for the base of an image never seen alone. */
const UNKNOWN_BASE_SHARE = 0.4;
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
  private readonly _bases = new Map<string, number>();

  /**
   * Takes a measure in.
   * @param serving - Serving task.
   * @param uses - What other images used meanwhile on the same worker.
   * @param now - Monotonic time in milliseconds.
   */
  observe(serving: ServingMeasure, uses: readonly ImageUse[], now: number): void {
    const base = this.getBase(serving);
    const coresByImage = sumCores(uses);
    if (coresByImage.size === 0) {
      // What remains of an earlier disturbance is not part of the base.
      const calmMs = Math.min(serving.currentMs, 2 * base);
      this._bases.set(serving.image, base + BASE_RATE * (calmMs - base));
      return;
    }
    const seen = Math.min(MAX_PRESSURE, Math.max(0, Math.log(serving.currentMs / base)));
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
   * Gives the tail latency of a serving task without pressure, in milliseconds.
   * @param serving - The task.
   */
  getBase({ image, targetMs }: Pick<ServingMeasure, "image" | "targetMs">): number {
    return this._bases.get(image) ?? targetMs * UNKNOWN_BASE_SHARE;
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
   * Takes a pair for at least so heavy.
   * @param serving - Image that serves.
   * @param image - Image beside it.
   * @param least - Pressure of each core.
   * @param now - Monotonic time in milliseconds.
   */
  raise(serving: string, image: string, least: number, now: number): void {
    const { mean, variance } = this.getEstimate(serving, image, now);
    const state = { mean: Math.max(mean, least), variance, observedAt: now };
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
