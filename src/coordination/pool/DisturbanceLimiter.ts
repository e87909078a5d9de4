/**
 * Decides the pace of each run on the idle processors of a worker: the highest one at which the
 * serving tasks beside it are predicted to keep their latency targets, with a margin for the
 * uncertainty of the prediction. An image whose interference is uncertain therefore starts at a low
 * pace, and one that was measured to be harmless keeps running. A run that its worker tolerates
 * only at a low pace is moved to a worker that tolerates more. If a serving task stays over its
 * target nevertheless, all runs on idle processors are paused until it has recovered.
 */
import {
  getSpeed,
  type ImageUsage,
  type InterferenceEstimator,
  type ServingGroup,
} from "./InterferenceEstimator.ts";

/** Speed that serving tasks must keep: slightly more than at their target, where it is 1. */
const MIN_SERVING_SPEED = 1.1;
/** Standard deviations that are subtracted from the predicted speed. */
const SAFETY_DEVIATIONS = 1;
/**
 * Ratio of the current to the reported tail latency below which the latency counts as falling: the
 * measurement then still includes part of the earlier, higher latency.
 */
const FALLING_RATIO = 0.8;
/**
 * Factor by which the last drop in baseline speed is extrapolated until the next measurement takes
 * effect.
 */
const DROP_EXTRAPOLATION = 1.2;
/**
 * Share of its target above which a serving task counts as over it, because measurements are
 * imprecise.
 */
const OVER_TARGET_RATIO = 0.88;
/** Share of its target below which a serving task has recovered. */
const RECOVERED_RATIO = 0.8;
/**
 * Time over the target after which all runs are paused, in milliseconds: well within the platform's
 * limit.
 */
const PAUSE_AFTER_MS = 1_800;
/** Pace below which a run is moved if another worker tolerates more of it, in percent. */
const MOVE_BELOW_PERCENT = 35;
/** Time for which the pace must have been that low, in milliseconds: two measurements. */
const MOVE_AFTER_MS = 850;
/** Difference between two pace levels, in percent. */
const PERCENT_STEP = 10;
const FULL_PERCENT = 100;
const PACE_LEVELS: readonly number[] = Array.from(
  { length: FULL_PERCENT / PERCENT_STEP },
  (_, position) => FULL_PERCENT - position * PERCENT_STEP,
);
/** Pace from which the usage of a run is representative of its usage at full speed, in percent. */
const MIN_REPRESENTATIVE_PERCENT = 30;
/**
 * Share of its demand above which a run that should be paused is working: an earlier order that got
 * no response may have been executed after the one that paused it.
 */
const WORKING_SHARE = 0.1;
/** Bisection steps in the search for the tolerated share. */
const BISECTION_STEPS = 6;

/** Measurement of a serving task. */
export interface ServingMeasurement extends ServingGroup {
  readonly targetMs: number;
  /** Tail latency as reported, in milliseconds. */
  readonly tailMs: number;
  /** Tail latency since the previous report, in milliseconds. */
  readonly currentMs: number;
}

/** Serving tasks whose baseline speed is tracked. */
interface TrackedGroup extends ServingGroup {
  readonly baselineSpeed: number;
  /** Drop in baseline speed that is expected before the next measurement takes effect. */
  readonly expectedDrop: number;
}

/** A run that uses idle processors. */
export interface IdleProcessorRun extends ImageUsage {
  readonly key: string;
  /** Current pace, in percent of full speed. */
  readonly percent: number;
  /** Share of the worker's processors that its task requests, from 0 to 1. */
  readonly demand: number;
}

/** Measurements of one worker. */
export interface WorkerMeasurements {
  readonly worker: string;
  readonly serving: readonly ServingMeasurement[];
  readonly runs: readonly IdleProcessorRun[];
  /** Monotonic time in milliseconds. */
  readonly now: number;
}

/** New pace of a run. */
export interface PaceChange {
  readonly key: string;
  readonly percent: number;
}

/** Decision about the runs on a worker. */
export interface DisturbanceDecision {
  /** Runs to move to other workers, if these tolerate more of them. */
  readonly moves: readonly string[];
  readonly paces: readonly PaceChange[];
}

/** Pace of all runs of an image on a worker. */
interface ImagePace {
  readonly image: string;
  readonly percent: number;
}

/** State that is tracked for a worker. */
interface TrackedWorker {
  readonly groups: readonly TrackedGroup[];
  /** Expected usage of the runs at their paces. */
  readonly usages: readonly ImageUsage[];
  /** When a serving task went over its target; undefined if none is over it. */
  readonly overTargetSince: number | undefined;
  /** When runs got a low pace, by key. */
  readonly slowSince: ReadonlyMap<string, number>;
  /** Tolerated shares by serving images and image on idle processors, computed on demand. */
  readonly toleratedShares: Map<string, number>;
}

const NEW_WORKER: Omit<TrackedWorker, "toleratedShares"> = {
  groups: [],
  usages: [],
  overTargetSince: undefined,
  slowSince: new Map(),
};

/** Limits the disturbance of serving tasks on the workers of a pool. */
export class DisturbanceLimiter {
  private readonly _estimator: InterferenceEstimator;
  private readonly _workers = new Map<string, TrackedWorker>();

  /**
   * Creates a limiter.
   * @param estimator - Estimator of the interference of images; updated from the measurements.
   */
  constructor(estimator: InterferenceEstimator) {
    this._estimator = estimator;
  }

  /**
   * Evaluates the measurements of a worker and decides about its runs.
   * @param input - Measurements of the worker.
   */
  decide(input: WorkerMeasurements): DisturbanceDecision {
    const { worker, serving, runs, now } = input;
    const known = this._workers.get(worker) ?? NEW_WORKER;
    const groups = this._updateGroups(input, known.groups);
    const overTargetSince = getOverTargetSince(known.overTargetSince, serving, now);
    const isPaused = overTargetSince !== undefined && now - overTargetSince >= PAUSE_AFTER_MS;
    const paces = isPaused ? [] : this._choosePaces(groups, runs);
    const percents = new Map(paces.map(({ image, percent }) => [image, percent]));
    const decided = runs.map((run) => ({ ...run, next: percents.get(run.image) ?? 0 }));
    const slow = decided.filter(({ next }) => next < MOVE_BELOW_PERCENT);
    const slowSince = new Map(slow.map(({ key }) => [key, known.slowSince.get(key) ?? now]));
    const usages = decided.map((run) => ({ image: run.image, used: getUsage(run, run.next) }));
    this._workers.set(worker, {
      groups,
      usages,
      overTargetSince,
      slowSince,
      toleratedShares: new Map(),
    });
    return {
      moves: [...slowSince].filter(([, since]) => now - since >= MOVE_AFTER_MS).map(([key]) => key),
      paces: decided
        .filter((run) => run.percent !== run.next || (run.next === 0 && isWorking(run)))
        .map(({ key, next }) => ({ key, percent: next })),
    };
  }

  /**
   * Returns how much more of an image a worker tolerates, as a share of its processors.
   * @param worker - Incarnation of the worker.
   * @param serving - Images of the serving tasks that run there or are about to.
   * @param image - Image on idle processors.
   */
  getToleratedShare(worker: string, serving: Iterable<string>, image: string): number {
    const state = this._workers.get(worker);
    const servingImages = [...serving];
    const key = [...servingImages, image].join(" ");
    const share =
      state?.toleratedShares.get(key) ??
      this._findToleratedShare(state ?? NEW_WORKER, servingImages, image);
    state?.toleratedShares.set(key, share);
    return share;
  }

  /**
   * Removes a worker that no longer exists.
   * @param worker - Incarnation of the worker.
   */
  forget(worker: string): void {
    this._workers.delete(worker);
  }

  private _findToleratedShare(
    { groups, usages }: Pick<TrackedWorker, "groups" | "usages">,
    servingImages: readonly string[],
    image: string,
  ): number {
    const unmeasured = servingImages
      .filter((servingImage) => groups.every((group) => group.image !== servingImage))
      .map((servingImage): TrackedGroup => ({
        image: servingImage,
        step: "",
        baselineSpeed: 0,
        expectedDrop: 0,
      }));
    const all = [...groups, ...unmeasured];
    const isTolerated = (used: number): boolean =>
      this._meetsTargets(all, [...usages, { image, used }]);
    if (isTolerated(1)) {
      return 1;
    }
    return Array.from({ length: BISECTION_STEPS }).reduce<{ share: number; step: number }>(
      ({ share, step }) => ({
        share: isTolerated(share + step) ? share + step : share,
        step: step / 2,
      }),
      { share: 0, step: 1 / 2 },
    ).share;
  }

  /** Updates the baseline speed of each serving step from the median of its tasks. */
  private _updateGroups(
    { serving, runs, now }: WorkerMeasurements,
    known: readonly TrackedGroup[],
  ): readonly TrackedGroup[] {
    return [...Map.groupBy(serving, ({ step }) => step)].flatMap(([step, measurements]) => {
      const sorted = measurements.toSorted((a, b) => a.currentMs - b.currentMs);
      const median = sorted[Math.floor((sorted.length - 1) / 2)];
      if (median === undefined) {
        return [];
      }
      const { image, targetMs, tailMs, currentMs } = median;
      const speed = getSpeed(targetMs, currentMs);
      const isFalling = currentMs < FALLING_RATIO * tailMs;
      this._estimator.observe({ image, step }, { speed, isFalling }, runs, now);
      const baselineSpeed = this._estimator.predict({ image, step }, []).mean;
      const before = known.find((group) => group.step === step)?.baselineSpeed ?? baselineSpeed;
      const expectedDrop = DROP_EXTRAPOLATION * Math.max(0, before - baselineSpeed);
      return [{ image, step, baselineSpeed, expectedDrop }];
    });
  }

  /**
   * Chooses the highest pace of each image that keeps the targets, starting with the least
   * disturbing image.
   */
  private _choosePaces(
    groups: readonly TrackedGroup[],
    runs: readonly IdleProcessorRun[],
  ): readonly ImagePace[] {
    const imageUsages = [...Map.groupBy(runs, ({ image }) => image)]
      .map(([image, imageRuns]) => ({
        image,
        used: imageRuns.reduce((sum, run) => sum + getUsage(run, FULL_PERCENT), 0),
      }))
      .map((usage) => ({ usage, margin: this._getSpeedMargin(groups, [usage]) }))
      .sort((a, b) => b.margin - a.margin);
    return imageUsages.reduce<{ paces: readonly ImagePace[]; usages: readonly ImageUsage[] }>(
      ({ paces, usages }, { usage: { image, used } }) => {
        const percent =
          PACE_LEVELS.find((level) => {
            const usage = { image, used: (used * level) / FULL_PERCENT };
            return this._meetsTargets(groups, [...usages, usage]);
          }) ?? 0;
        const usage = { image, used: (used * percent) / FULL_PERCENT };
        return { paces: [...paces, { image, percent }], usages: [...usages, usage] };
      },
      { paces: [], usages: [] },
    ).paces;
  }

  private _meetsTargets(groups: readonly TrackedGroup[], usages: readonly ImageUsage[]): boolean {
    return this._getSpeedMargin(groups, usages) >= 0;
  }

  /**
   * Returns by how much the slowest serving tasks exceed the minimum speed; negative if they miss
   * it.
   */
  private _getSpeedMargin(groups: readonly TrackedGroup[], usages: readonly ImageUsage[]): number {
    return groups
      .map((group) => ({
        ...this._estimator.predict(group, usages),
        expectedDrop: group.expectedDrop,
      }))
      .map(
        ({ mean, variance, expectedDrop }) =>
          mean - expectedDrop - SAFETY_DEVIATIONS * Math.sqrt(variance) - MIN_SERVING_SPEED,
      )
      .reduce((a, b) => Math.min(a, b), Number.POSITIVE_INFINITY);
  }
}

function isWorking({ used, demand }: IdleProcessorRun): boolean {
  return used > WORKING_SHARE * demand;
}

/** Returns the expected usage of a run at a pace. */
function getUsage({ used, percent, demand }: IdleProcessorRun, targetPercent: number): number {
  const isRepresentative = percent >= MIN_REPRESENTATIVE_PERCENT && used > 0;
  const full = isRepresentative ? Math.min(demand, (used * FULL_PERCENT) / percent) : demand;
  return (full * targetPercent) / FULL_PERCENT;
}

function getOverTargetSince(
  previous: number | undefined,
  serving: readonly ServingMeasurement[],
  now: number,
): number | undefined {
  const ratio = Math.max(0, ...serving.map(({ tailMs, targetMs }) => tailMs / targetMs));
  const isOver = ratio > (previous === undefined ? OVER_TARGET_RATIO : RECOVERED_RATIO);
  return isOver ? (previous ?? now) : undefined;
}
