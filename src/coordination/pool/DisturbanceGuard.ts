/**
 * Decides what becomes of the tasks on a worker's idle processors where a task beside them that
 * serves users is over its latency target. Most pairs of images are harmless and a few are not. An
 * image that is known to be to blame is moved away at once. Where none is known, all that may be
 * stand still, and go on one after the other once the victim has recovered: the one with which the
 * disturbance comes back, or the last one that is left, is moved. Where a serving task
 * stays over its target all the same, all of them stand still until it has recovered.
 */
import type { ImageUse, PressureEstimator, ServingMeasure } from "./PressureEstimator.ts";

/** Pressure of each core from which a pair is kept apart. */
const HEAVY_PRESSURE = 0.25;
/** Pressure that is left of it for certain, the uncertainty of the estimate taken off. */
const CERTAIN_PRESSURE = 0.1;
/** Share of its target from which a serving task may be over it: measures are rough. */
const NEAR_RATIO = 0.88;
/** Share of its target below which a serving task has recovered. */
const RECOVERED_RATIO = 0.8;
/** Time over the target after which all tasks stand still: well inside the platform's bound. */
const STANDSTILL_AFTER_MS = 1_800;
/** Time in which a trial must have shown its effect: two measures. */
const TRIAL_MS = 950;
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

/** Images that stand still because one of them is to blame. */
interface Inquiry {
  readonly victims: readonly string[];
  /** Images that stand still, the likeliest one last. */
  readonly held: readonly string[];
  /** Image that goes on as a test; undefined while the victims recover. */
  readonly tested: string | undefined;
  readonly since: number;
}

/** Result of a step of an inquiry. */
interface Finding {
  readonly inquiry: Inquiry | undefined;
  readonly blamed: readonly string[];
}

/** Decisions about the workers of a pool. */
export class DisturbanceGuard {
  private readonly _estimator: PressureEstimator;
  /** Since when a serving task of a worker has been over its target. */
  private readonly _overSince = new Map<string, number>();

  private readonly _inquiries = new Map<string, Inquiry>();

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
    const blamed = this._findBlamed(input, victims);
    const held = new Set(this._inquiries.get(worker)?.held);
    const isStill = overSince !== undefined && now - overSince >= STANDSTILL_AFTER_MS;
    const stands = ({ image }: IdleRun): boolean => isStill || blamed.has(image) || held.has(image);
    return {
      moves: runs.filter(({ image }) => blamed.has(image)).map(({ key }) => key),
      paces: runs
        .map((run) => ({ ...run, next: stands(run) ? 0 : FULL_PERCENT }))
        .filter(({ next, percent }) => next !== percent)
        .map(({ key, next }) => ({ key, percent: next })),
    };
  }

  /**
   * Tells whether an image is known to disturb tasks that serve.
   * @param serving - Images that serve.
   * @param image - Image beside them.
   * @param now - Monotonic time in milliseconds.
   */
  isDisturbing(serving: Iterable<string>, image: string, now: number): boolean {
    return [...serving].some((victim) => {
      const { mean, variance } = this._estimator.getEstimate(victim, image, now);
      return mean > HEAVY_PRESSURE && mean - Math.sqrt(variance) > CERTAIN_PRESSURE;
    });
  }

  /**
   * Tells whether an image may disturb tasks that serve, as far as is known.
   * @param serving - Images that serve.
   * @param image - Image beside them.
   * @param now - Monotonic time in milliseconds.
   */
  mayDisturb(serving: Iterable<string>, image: string, now: number): boolean {
    return [...serving].some((victim) => {
      const { mean, variance } = this._estimator.getEstimate(victim, image, now);
      return mean + Math.sqrt(variance) > HEAVY_PRESSURE;
    });
  }

  private _noteOver(
    worker: string,
    serving: readonly ServingMeasure[],
    now: number,
  ): number | undefined {
    const ratio = Math.max(0, ...serving.map(({ tailMs, targetMs }) => tailMs / targetMs));
    const since = this._overSince.get(worker);
    if (ratio < RECOVERED_RATIO || (since === undefined && ratio <= NEAR_RATIO)) {
      this._overSince.delete(worker);
      return undefined;
    }
    this._overSince.set(worker, since ?? now);
    return since ?? now;
  }

  /** Images known to be heavy, or found to be by an inquiry. */
  private _findBlamed(
    input: DisturbanceInput,
    victims: readonly ServingMeasure[],
  ): ReadonlySet<string> {
    const { worker, runs, now } = input;
    const names = victims.map(({ image }) => image);
    const present = [...new Set(runs.map(({ image }) => image))];
    const heavy = present.filter((image) => this.isDisturbing(names, image, now));
    const inquiry = this._inquiries.get(worker);
    const finding =
      inquiry === undefined
        ? { inquiry: heavy.length > 0 ? undefined : this._begin(input, names), blamed: [] }
        : this._continue(inquiry, names, present, now);
    if (finding.inquiry === undefined) {
      this._inquiries.delete(worker);
    } else {
      this._inquiries.set(worker, finding.inquiry);
    }
    return new Set([...finding.blamed, ...heavy]);
  }

  private _begin({ runs, now }: DisturbanceInput, victims: readonly string[]): Inquiry | undefined {
    const working = runs.filter(({ usedMilli }) => usedMilli > 0).map(({ image }) => image);
    const suspects = [...new Set(working)].filter((image) => this.mayDisturb(victims, image, now));
    if (victims.length === 0 || suspects.length === 0) {
      return undefined;
    }
    const held = suspects
      .map((image) => ({ image, blame: this._getBlame(victims, image, runs, now) }))
      .sort((a, b) => a.blame - b.blame)
      .map(({ image }) => image);
    return { victims, held, tested: undefined, since: now };
  }

  private _continue(
    inquiry: Inquiry,
    victims: readonly string[],
    present: readonly string[],
    now: number,
  ): Finding {
    const { tested, since } = inquiry;
    const held = inquiry.held.filter((image) => present.includes(image));
    if (victims.length > 0) {
      // Without a test under way, what stands still is not to blame, or has not had its effect yet.
      return tested === undefined
        ? { inquiry: now - since > TRIAL_MS ? undefined : { ...inquiry, held }, blamed: [] }
        : this._blame(inquiry, tested, held, now);
    }
    if (tested !== undefined && now - since < TRIAL_MS) {
      return { inquiry: { ...inquiry, held }, blamed: [] };
    }
    if (tested !== undefined) {
      this._settle(inquiry, tested, 0, now);
    }
    const [next, ...others] = held;
    if (next === undefined) {
      return { inquiry: undefined, blamed: [] };
    }
    return others.length === 0
      ? this._blame(inquiry, next, [], now)
      : { inquiry: { ...inquiry, held: others, tested: next, since: now }, blamed: [] };
  }

  private _blame(inquiry: Inquiry, image: string, held: readonly string[], now: number): Finding {
    this._settle(inquiry, image, 2 * HEAVY_PRESSURE, now);
    const next = { ...inquiry, held, tested: undefined, since: now };
    return { inquiry: held.length === 0 ? undefined : next, blamed: [image] };
  }

  private _settle({ victims }: Inquiry, image: string, pressure: number, now: number): void {
    victims.forEach((victim) => {
      this._estimator.settle(victim, image, pressure, now);
    });
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
