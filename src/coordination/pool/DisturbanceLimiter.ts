/**
 * Decides how fast the tasks on a worker's idle processors may work beside tasks that serve users:
 * as fast as the serving tasks are expected to keep their targets with, uncertainty taken off. So an
 * image of which little is known shows itself in small doses, and what has been measured to do no
 * harm goes on. What a worker bears little of is moved to another one that bears more. Where a
 * serving task stays over its target all the same, all of them stand still until it has recovered.
 */
import {
  getSpeed,
  type ImageUsage,
  type InterferenceEstimator,
  type ServingGroup,
} from "./InterferenceEstimator.ts";

/** Speed that serving tasks are to keep: a little more than at their target. */
const MIN_SERVING_SPEED = 1.1;
/** Standard deviations that are taken off the expected speed. */
const SAFETY_DEVIATIONS = 1;
/** Fall of the tail latency between two measures from which the second one shows some of the first. */
const FALLING_RATIO = 0.8;
/** Multiple of the last fall of a speed by itself that is expected until the next measure counts. */
const DROP_EXTRAPOLATION = 1.2;
/** Share of its target from which a serving task may be over it: measures are rough. */
const OVER_TARGET_RATIO = 0.88;
/** Share of its target below which a serving task has recovered. */
const RECOVERED_RATIO = 0.8;
/** Time over the target after which all tasks stand still: well inside the platform's bound. */
const PAUSE_AFTER_MS = 1_800;
/** Share of its speed below which a run is moved, where another worker bears more of it. */
const MOVE_BELOW_PERCENT = 35;
/** Time for which it must have been so: two measures. */
const MOVE_AFTER_MS = 850;
/** Steps of a share, in percent. */
const PERCENT_STEP = 10;
const FULL_PERCENT = 100;
const PACE_LEVELS: readonly number[] = Array.from(
  { length: FULL_PERCENT / PERCENT_STEP },
  (_, position) => FULL_PERCENT - position * PERCENT_STEP,
);
/** Share of its speed from which a run shows what it uses at full speed. */
const MIN_REPRESENTATIVE_PERCENT = 30;
/** Halvings in the search for what a worker bears. */
const BISECTION_STEPS = 6;

/** A serving task as it was measured. */
export interface ServingMeasurement extends ServingGroup {
  readonly targetMs: number;
  /** Tail latency as reported, in milliseconds. */
  readonly tailMs: number;
  /** Tail latency since the report before, in milliseconds. */
  readonly currentMs: number;
}

/** Serving tasks whose speed by itself is followed. */
interface TrackedGroup extends ServingGroup {
  readonly baselineSpeed: number;
  /** By how much it is expected to fall until the next measure counts. */
  readonly expectedDrop: number;
}

/** A run on idle processors. */
export interface IdleProcessorRun extends ImageUsage {
  readonly key: string;
  /** Share of its speed that it works at now, in percent. */
  readonly percent: number;
  /** Share of the worker's processors that its task asks for, from 0 to 1. */
  readonly demand: number;
}

/** A worker as it was measured. */
export interface WorkerMeasurements {
  readonly worker: string;
  readonly serving: readonly ServingMeasurement[];
  readonly runs: readonly IdleProcessorRun[];
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
  /** Runs to move to other workers, where these bear more of them. */
  readonly moves: readonly string[];
  readonly paces: readonly PaceChange[];
}

/** Share of its speed that an image is given. */
interface ImagePace {
  readonly image: string;
  readonly percent: number;
}

/** What is followed of a worker. */
interface TrackedWorker {
  readonly groups: readonly TrackedGroup[];
  /** What the runs use at the shares that they were given. */
  readonly usages: readonly ImageUsage[];
  /** Since when a serving task has been over its target; undefined where none is. */
  readonly overTargetSince: number | undefined;
  /** Since when runs have been given little, by key. */
  readonly slowSince: ReadonlyMap<string, number>;
  /** What the worker bears more, by images that serve and image; worked out where asked for. */
  readonly toleratedShares: Map<string, number>;
}

const NEW_WORKER: Omit<TrackedWorker, "toleratedShares"> = {
  groups: [],
  usages: [],
  overTargetSince: undefined,
  slowSince: new Map(),
};

/** Decisions about the workers of a pool. */
export class DisturbanceLimiter {
  private readonly _estimator: InterferenceEstimator;
  private readonly _workers = new Map<string, TrackedWorker>();

  /**
   * Creates a guard.
   * @param estimator - Pressure of images; it learns from what the guard sees.
   */
  constructor(estimator: InterferenceEstimator) {
    this._estimator = estimator;
  }

  /**
   * Takes the measures of a worker in and decides.
   * @param input - The worker.
   */
  decide(input: WorkerMeasurements): DisturbanceDecision {
    const { worker, serving, runs, now } = input;
    const known = this._workers.get(worker) ?? NEW_WORKER;
    const groups = this._updateGroups(input, known.groups);
    const overSince = getOverTargetSince(known.overTargetSince, serving, now);
    const isStill = overSince !== undefined && now - overSince >= PAUSE_AFTER_MS;
    const shares = isStill ? [] : this._choosePaces(groups, runs);
    const percents = new Map(shares.map(({ image, percent }) => [image, percent]));
    const decided = runs.map((run) => ({ ...run, next: percents.get(run.image) ?? 0 }));
    const slow = decided.filter(({ next }) => next < MOVE_BELOW_PERCENT);
    const slowSince = new Map(slow.map(({ key }) => [key, known.slowSince.get(key) ?? now]));
    const uses = decided.map((run) => ({ image: run.image, used: getUsage(run, run.next) }));
    this._workers.set(worker, {
      groups,
      usages: uses,
      overTargetSince: overSince,
      slowSince,
      toleratedShares: new Map(),
    });
    return {
      moves: [...slowSince].filter(([, since]) => now - since >= MOVE_AFTER_MS).map(([key]) => key),
      paces: decided
        .filter(({ percent, next }) => percent !== next)
        .map(({ key, next }) => ({ key, percent: next })),
    };
  }

  /**
   * Gives how much more of an image a worker bears, as a share of its processors.
   * @param worker - Incarnation of the worker.
   * @param serving - Images that serve there, or are about to.
   * @param image - Image on idle processors.
   */
  getToleratedShare(worker: string, serving: Iterable<string>, image: string): number {
    const state = this._workers.get(worker);
    const victims = [...serving];
    const key = [...victims, image].join(" ");
    const room =
      state?.toleratedShares.get(key) ??
      this._findToleratedShare(state ?? NEW_WORKER, victims, image);
    state?.toleratedShares.set(key, room);
    return room;
  }

  /**
   * Forgets a worker that has gone.
   * @param worker - Incarnation of the worker.
   */
  forget(worker: string): void {
    this._workers.delete(worker);
  }

  private _findToleratedShare(
    { groups, usages: uses }: Pick<TrackedWorker, "groups" | "usages">,
    victims: readonly string[],
    image: string,
  ): number {
    const unmeasured = victims
      .filter((victim) => groups.every((group) => group.image !== victim))
      .map((victim): TrackedGroup => ({
        image: victim,
        step: "",
        baselineSpeed: 0,
        expectedDrop: 0,
      }));
    const all = [...groups, ...unmeasured];
    const isBorne = (used: number): boolean => this._meetsTargets(all, [...uses, { image, used }]);
    if (isBorne(1)) {
      return 1;
    }
    return Array.from({ length: BISECTION_STEPS }).reduce<{ room: number; step: number }>(
      ({ room, step }) => ({ room: isBorne(room + step) ? room + step : room, step: step / 2 }),
      { room: 0, step: 1 / 2 },
    ).room;
  }

  /** Takes the speeds of the serving steps in; the median of a step's tasks counts. */
  private _updateGroups(
    { serving, runs, now }: WorkerMeasurements,
    known: readonly TrackedGroup[],
  ): readonly TrackedGroup[] {
    return [...Map.groupBy(serving, ({ step }) => step)].flatMap(([step, measures]) => {
      const inOrder = measures.toSorted((a, b) => a.currentMs - b.currentMs);
      const middle = inOrder[Math.floor((inOrder.length - 1) / 2)];
      if (middle === undefined) {
        return [];
      }
      const { image, targetMs, tailMs, currentMs } = middle;
      const speed = getSpeed(targetMs, currentMs);
      const isFalling = currentMs < FALLING_RATIO * tailMs;
      this._estimator.observe({ image, step }, { speed, isFalling }, runs, now);
      const baselineSpeed = this._estimator.predict({ image, step }, []).mean;
      const before = known.find((group) => group.step === step)?.baselineSpeed ?? baselineSpeed;
      const expectedDrop = DROP_EXTRAPOLATION * Math.max(0, before - baselineSpeed);
      return [{ image, step, baselineSpeed, expectedDrop }];
    });
  }

  /** Gives each image the most that leaves the targets kept; the lightest one goes first. */
  private _choosePaces(
    groups: readonly TrackedGroup[],
    runs: readonly IdleProcessorRun[],
  ): readonly ImagePace[] {
    const claims = [...Map.groupBy(runs, ({ image }) => image)]
      .map(([image, own]) => ({
        image,
        used: own.reduce((sum, run) => sum + getUsage(run, FULL_PERCENT), 0),
      }))
      .map((use) => ({ use, margin: this._getSpeedMargin(groups, [use]) }))
      .sort((a, b) => b.margin - a.margin);
    return claims.reduce<{ shares: readonly ImagePace[]; uses: readonly ImageUsage[] }>(
      ({ shares, uses }, { use: { image, used } }) => {
        const percent =
          PACE_LEVELS.find((share) => {
            const use = { image, used: (used * share) / FULL_PERCENT };
            return this._meetsTargets(groups, [...uses, use]);
          }) ?? 0;
        const use = { image, used: (used * percent) / FULL_PERCENT };
        return { shares: [...shares, { image, percent }], uses: [...uses, use] };
      },
      { shares: [], uses: [] },
    ).shares;
  }

  private _meetsTargets(groups: readonly TrackedGroup[], uses: readonly ImageUsage[]): boolean {
    return this._getSpeedMargin(groups, uses) >= 0;
  }

  /** Speed that the slowest serving tasks have beyond what they are to keep. */
  private _getSpeedMargin(groups: readonly TrackedGroup[], uses: readonly ImageUsage[]): number {
    return groups
      .map((group) => ({
        ...this._estimator.predict(group, uses),
        expectedDrop: group.expectedDrop,
      }))
      .map(
        ({ mean, variance, expectedDrop }) =>
          mean - expectedDrop - SAFETY_DEVIATIONS * Math.sqrt(variance) - MIN_SERVING_SPEED,
      )
      .reduce((a, b) => Math.min(a, b), Number.POSITIVE_INFINITY);
  }
}

/** What a run uses at a share of its speed. */
function getUsage({ used, percent, demand }: IdleProcessorRun, share: number): number {
  const isTelling = percent >= MIN_REPRESENTATIVE_PERCENT && used > 0;
  const full = isTelling ? Math.min(demand, (used * FULL_PERCENT) / percent) : demand;
  return (full * share) / FULL_PERCENT;
}

function getOverTargetSince(
  since: number | undefined,
  serving: readonly ServingMeasurement[],
  now: number,
): number | undefined {
  const ratio = Math.max(0, ...serving.map(({ tailMs, targetMs }) => tailMs / targetMs));
  const isOver = ratio > (since === undefined ? OVER_TARGET_RATIO : RECOVERED_RATIO);
  return isOver ? (since ?? now) : undefined;
}
