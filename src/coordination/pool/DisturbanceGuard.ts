/**
 * Decides what becomes of the tasks on a worker's idle processors where a task beside them that
 * serves users is over its latency target. Most pairs of images are harmless and a few are not, so
 * the image to blame is moved away at once and the others go on; the pair is remembered. Slowing
 * alone would keep the cause beside its victim for longer. Where a serving task stays over its
 * target all the same, all of them stand still until it has recovered.
 */
import type { ImageUse, PressureEstimator, ServingMeasure } from "./PressureEstimator.ts";

/** Pressure of each core from which a pair is kept apart. */
const HEAVY_PRESSURE = 0.25;
/** Share of its target below which a serving task has recovered. */
const RECOVERED_RATIO = 0.9;
/** Time over the target after which all tasks stand still: well inside the platform's bound. */
const STANDSTILL_AFTER_MS = 1_800;
const FULL_PERCENT = 100;

/** A run on idle processors. */
export interface IdleRun extends ImageUse {
  readonly key: string;
  /** Share of its speed that it works at now, in percent. */
  readonly percent: number;
}

/** A worker as it was measured. */
export interface DisturbanceInput {
  readonly worker: string;
  readonly serving: readonly ServingMeasure[];
  readonly runs: readonly IdleRun[];
  /** Monotonic time in milliseconds. */
  readonly now: number;
}

/** A run whose share of its speed changes. */
export interface PaceChange {
  readonly key: string;
  readonly percent: number;
}

/** What is to be done on a worker. */
export interface DisturbanceDecision {
  /** Runs to move to other workers. */
  readonly moves: readonly string[];
  readonly paces: readonly PaceChange[];
}

/** Decisions about the workers of a pool. */
export class DisturbanceGuard {
  private readonly _estimator: PressureEstimator;
  /** Since when a serving task of a worker has been over its target. */
  private readonly _overSince = new Map<string, number>();

  /**
   * Creates a guard.
   * @param estimator - Pressure of images; it learns from what the guard sees.
   */
  constructor(estimator: PressureEstimator) {
    this._estimator = estimator;
  }

  /**
   * Takes the measures of a worker in and decides.
   * @param input - The worker.
   */
  decide(input: DisturbanceInput): DisturbanceDecision {
    const { worker, serving, runs, now } = input;
    serving.forEach((measure) => {
      this._estimator.observe(measure, runs, now);
    });
    const overSince = this._noteOver(worker, serving, now);
    const victims = serving.filter(({ currentMs, tailMs, targetMs }) => {
      return currentMs > targetMs && tailMs > targetMs;
    });
    const blamed = this._findBlamed(victims, runs, now);
    const moved = runs.filter(({ image }) => blamed.has(image));
    const isStill = overSince !== undefined && now - overSince >= STANDSTILL_AFTER_MS;
    const getPercent = (run: IdleRun): number =>
      isStill || blamed.has(run.image) ? 0 : overSince === undefined ? FULL_PERCENT : run.percent;
    return {
      moves: moved.map(({ key }) => key),
      paces: runs
        .map((run) => ({ key: run.key, percent: getPercent(run), before: run.percent }))
        .filter(({ percent, before }) => percent !== before)
        .map(({ key, percent }) => ({ key, percent })),
    };
  }

  /**
   * Tells whether an image is known to disturb tasks that serve.
   * @param serving - Images that serve.
   * @param image - Image beside them.
   * @param now - Monotonic time in milliseconds.
   */
  isDisturbing(serving: Iterable<string>, image: string, now: number): boolean {
    return [...serving].some(
      (victim) => this._estimator.getEstimate(victim, image, now).mean > HEAVY_PRESSURE,
    );
  }

  private _noteOver(
    worker: string,
    serving: readonly ServingMeasure[],
    now: number,
  ): number | undefined {
    const ratio = Math.max(0, ...serving.map(({ tailMs, targetMs }) => tailMs / targetMs));
    const since = this._overSince.get(worker);
    if (ratio < RECOVERED_RATIO || (since === undefined && ratio <= 1)) {
      this._overSince.delete(worker);
      return undefined;
    }
    this._overSince.set(worker, since ?? now);
    return since ?? now;
  }

  /** Images known to be heavy, or the likeliest one where none is. */
  private _findBlamed(
    victims: readonly ServingMeasure[],
    runs: readonly IdleRun[],
    now: number,
  ): ReadonlySet<string> {
    const images = [
      ...new Set(runs.filter(({ usedMilli }) => usedMilli > 0).map(({ image }) => image)),
    ];
    if (victims.length === 0 || images.length === 0) {
      return new Set();
    }
    const names = victims.map(({ image }) => image);
    const heavy = images.filter((image) => this.isDisturbing(names, image, now));
    if (heavy.length > 0) {
      return new Set(heavy);
    }
    const [likeliest] = images
      .map((image) => ({ image, blame: this._getBlame(names, image, runs, now) }))
      .sort((a, b) => b.blame - a.blame);
    names.forEach((victim) => {
      this._estimator.raise(victim, likeliest?.image ?? "", 2 * HEAVY_PRESSURE, now);
    });
    return new Set(likeliest === undefined ? [] : [likeliest.image]);
  }

  private _getBlame(
    victims: readonly string[],
    image: string,
    runs: readonly IdleRun[],
    now: number,
  ): number {
    const usedMilli = runs
      .filter((run) => run.image === image)
      .reduce((sum, run) => sum + run.usedMilli, 0);
    const pressures = victims.map((victim) => {
      const { mean, variance } = this._estimator.getEstimate(victim, image, now);
      return mean + Math.sqrt(variance);
    });
    return usedMilli * Math.max(...pressures);
  }
}
