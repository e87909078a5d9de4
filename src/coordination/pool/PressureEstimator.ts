/**
 * Learns how much each image that lives on idle processors raises the tail latency of each image
 * that serves users, for each core that it uses. One observation moves the estimates of all images
 * that were at work, in proportion to their cores, so that a heavy image stands out after a few
 * observations on workers with different mixes; what changes is followed within seconds.
 */

/** Share of an observation's error that the estimates take over. */
const LEARNING_RATE = 0.35;
/** Share of a new tail latency without pressure that the base takes over. */
const BASE_RATE = 0.1;
/** Share of the target that is taken for the base of an image never seen alone. */
const UNKNOWN_BASE_SHARE = 0.45;
/** Relative rise for each core that is taken for an image never seen. */
const UNKNOWN_RISE_PER_CORE = 0.03;
/** Relative rise below which a worker counts as without pressure. */
const CALM_RISE = 0.1;
/** Greatest relative rise that an observation counts as; measures overshoot. */
const MAX_RISE = 15;
const MILLI = 1_000;

/** A serving task as it was measured. */
export interface ServingMeasure {
  readonly image: string;
  readonly targetMs: number;
  readonly tailMs: number;
}

/** What one image uses on a worker. */
export interface ImageUse {
  readonly image: string;
  /** Processors in use, in thousandths of a core. */
  readonly usedMilli: number;
}

/** Pressure of images on images. */
export class PressureEstimator {
  private readonly _rises = new Map<string, number>();
  private readonly _bases = new Map<string, number>();

  /**
   * Takes a measure in.
   * @param serving - Serving task.
   * @param uses - What other images used meanwhile on the same worker.
   */
  observe(serving: ServingMeasure, uses: readonly ImageUse[]): void {
    if (!(serving.tailMs > 0)) {
      return;
    }
    const base = this._getBase(serving);
    const expected = this.getRise(serving.image, uses);
    if (expected < CALM_RISE) {
      this._bases.set(serving.image, base + BASE_RATE * (serving.tailMs - base));
    }
    const seen = Math.min(MAX_RISE, Math.max(0, serving.tailMs / base - 1));
    const power = uses.reduce((sum, use) => sum + getCores(use) ** 2, 0);
    uses
      .filter((use) => use.usedMilli > 0)
      .forEach((use) => {
        const change = (LEARNING_RATE * (seen - expected) * getCores(use)) / power;
        const rise = this.getRisePerCore(serving.image, use.image) + change;
        this._rises.set(getKey(serving.image, use.image), Math.max(0, rise));
      });
  }

  /**
   * Gives the relative rise for each core that an image uses.
   * @param serving - Image that serves.
   * @param image - Image beside it.
   */
  getRisePerCore(serving: string, image: string): number {
    return this._rises.get(getKey(serving, image)) ?? UNKNOWN_RISE_PER_CORE;
  }

  /**
   * Gives the relative rise through all images at work beside a serving one.
   * @param serving - Image that serves.
   * @param uses - What the others use.
   */
  getRise(serving: string, uses: readonly ImageUse[]): number {
    return uses.reduce(
      (sum, use) => sum + this.getRisePerCore(serving, use.image) * getCores(use),
      0,
    );
  }

  private _getBase({ image, targetMs }: ServingMeasure): number {
    return this._bases.get(image) ?? targetMs * UNKNOWN_BASE_SHARE;
  }
}

function getCores(use: ImageUse): number {
  return use.usedMilli / MILLI;
}

function getKey(serving: string, image: string): string {
  return `${serving}\n${image}`;
}
