/**
 * Decides at which share of their speed the tasks that live on a worker's idle processors may work,
 * so that the tasks beside them that serve users keep their latency targets. Those that press most
 * are slowed first and sped up last. Where a serving task stays over its target all the same,
 * all of them stand still until it has recovered.
 */
import type { ImageUse, PressureEstimator, ServingMeasure } from "./PressureEstimator.ts";

/** Share of the target above which tasks are slowed. */
const SLOW_DOWN_RATIO = 0.85;
/** Share of the target that slowing and speeding up aim at. */
const AIMED_RATIO = 0.72;
/** Share of the target below which tasks may work faster. */
const SPEED_UP_RATIO = 0.68;
/** Time over the target after which all tasks stand still: well inside the platform's bound. */
const STANDSTILL_AFTER_MS = 1_500;
/** Least time between two reductions: a measure covers half a second. */
const SLOW_DOWN_INTERVAL_MS = 500;
/** Least time between a change and the next rise. */
const SPEED_UP_INTERVAL_MS = 800;
/** Greatest rise of a share in one step, in percent. */
const SPEED_UP_PERCENT = 40;
/** Share below which a task stands still, in percent. */
const LEAST_PERCENT = 10;
const FULL_PERCENT = 100;

/** A run on idle processors. */
export interface PacedRun extends ImageUse {
  readonly key: string;
  /** Share of its speed that it works at now, in percent. */
  readonly percent: number;
  /** Processors that it is expected to use at full speed, in thousandths of a core. */
  readonly fullMilli: number;
}

/** A worker as it was measured. */
export interface PaceInput {
  readonly worker: string;
  readonly serving: readonly ServingMeasure[];
  readonly runs: readonly PacedRun[];
  /** Monotonic time in milliseconds. */
  readonly now: number;
}

/** A run whose share changes. */
export interface PaceChange {
  readonly key: string;
  readonly percent: number;
}

interface WorkerPace {
  readonly changedAt: number;
  /** Since when a serving task has been over its target; undefined where none is. */
  readonly overSince: number | undefined;
}

interface Weighted {
  readonly run: PacedRun;
  /** Relative rise through the run at full speed. */
  readonly fullRise: number;
}

/** Plans shares of speed. */
export class PacePlanner {
  private readonly _estimator: PressureEstimator;
  private readonly _workers = new Map<string, WorkerPace>();

  /**
   * Creates a planner.
   * @param estimator - Pressure of images; it learns from what the planner sees.
   */
  constructor(estimator: PressureEstimator) {
    this._estimator = estimator;
  }

  /**
   * Takes the measures of a worker in and gives what changes.
   * @param input - The worker.
   */
  plan(input: PaceInput): readonly PaceChange[] {
    const { worker, serving, runs, now } = input;
    serving.forEach((measure) => {
      this._estimator.observe(measure, runs);
    });
    const worst = getWorst(serving);
    const ratio = worst === undefined ? 0 : getRatio(worst);
    const known = this._workers.get(worker);
    const overSince = ratio > 1 ? (known?.overSince ?? now) : undefined;
    const changes = this._decide(input, worst, {
      ratio,
      passedMs: now - (known?.changedAt ?? Number.NEGATIVE_INFINITY),
      overMs: overSince === undefined ? 0 : now - overSince,
    });
    const changedAt = changes.length > 0 ? now : (known?.changedAt ?? Number.NEGATIVE_INFINITY);
    if (serving.length === 0) {
      this._workers.delete(worker);
    } else {
      this._workers.set(worker, { changedAt, overSince });
    }
    return changes;
  }

  private _decide(
    { runs }: PaceInput,
    worst: ServingMeasure | undefined,
    state: { readonly ratio: number; readonly passedMs: number; readonly overMs: number },
  ): readonly PaceChange[] {
    const { ratio, passedMs, overMs } = state;
    if (worst === undefined) {
      return getChanges(runs, () => FULL_PERCENT);
    }
    if (overMs >= STANDSTILL_AFTER_MS) {
      return getChanges(runs, () => 0);
    }
    if (ratio > SLOW_DOWN_RATIO && passedMs >= SLOW_DOWN_INTERVAL_MS) {
      return this._share(runs, worst, (percent, current) => Math.min(percent, current));
    }
    if (ratio < SPEED_UP_RATIO && passedMs >= SPEED_UP_INTERVAL_MS) {
      return this._share(runs, worst, (percent, current) =>
        Math.max(current, Math.min(percent, current + SPEED_UP_PERCENT)),
      );
    }
    return [];
  }

  /** Shares the rise that the worst serving task can bear; the lightest runs come first. */
  private _share(
    runs: readonly PacedRun[],
    worst: ServingMeasure,
    bound: (percent: number, current: number) => number,
  ): readonly PaceChange[] {
    const nowRise = this._estimator.getRise(worst.image, runs);
    const bearable = ((1 + nowRise) * AIMED_RATIO) / getRatio(worst) - 1;
    const weighted = runs
      .map((run): Weighted => ({ run, fullRise: this._getFullRise(worst.image, run) }))
      .sort((a, b) => a.fullRise - b.fullRise);
    const percents = new Map<string, number>();
    weighted.reduce((left, { run, fullRise }) => {
      const percent =
        fullRise <= left ? FULL_PERCENT : (FULL_PERCENT * Math.max(0, left)) / fullRise;
      percents.set(run.key, percent);
      return left - (fullRise * percent) / FULL_PERCENT;
    }, bearable);
    return getChanges(runs, (run) => bound(percents.get(run.key) ?? 0, run.percent));
  }

  private _getFullRise(serving: string, run: PacedRun): number {
    return this._estimator.getRise(serving, [{ image: run.image, usedMilli: run.fullMilli }]);
  }
}

/**
 * Gives the serving task that is closest to its target or furthest over it.
 * @param serving - Serving tasks.
 */
export function getWorst(serving: readonly ServingMeasure[]): ServingMeasure | undefined {
  return serving.reduce<ServingMeasure | undefined>(
    (worst, next) => (worst === undefined || getRatio(next) > getRatio(worst) ? next : worst),
    undefined,
  );
}

/**
 * Gives a tail latency as a share of its target.
 * @param measure - The measure.
 */
export function getRatio({ tailMs, targetMs }: ServingMeasure): number {
  return tailMs / targetMs;
}

function getChanges(
  runs: readonly PacedRun[],
  getPercent: (run: PacedRun) => number,
): readonly PaceChange[] {
  return runs
    .map((run) => ({ run, percent: round(getPercent(run)) }))
    .filter(({ run, percent }) => percent !== run.percent)
    .map(({ run, percent }) => ({ key: run.key, percent }));
}

function round(percent: number): number {
  return percent < LEAST_PERCENT ? 0 : Math.round(percent);
}
