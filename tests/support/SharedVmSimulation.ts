/**
 * A VM in virtual time on which tasks that serve users share the processors with tasks on idle
 * ones. The load of each serving step swings; an image on idle processors adds to it by an amount
 * that depends on the pair. Tail latency grows as the VM fills up, and measures lag behind.
 */
import type {
  IdleProcessorRun,
  ServingMeasurement,
} from "../../src/coordination/pool/DisturbanceLimiter.ts";
import { TailLatencyFilter } from "../../src/coordination/pool/TailLatencyFilter.ts";

const BASELINE_MS = 10;
const MEAN_LOAD = 0.42;
const LOAD_SWING = 0.5;
const LOAD_PERIOD_MS = 12_000;
const STEP_MS = 50;
const MEASUREMENT_LAG_MS = 310;
const MAX_UTILIZATION = 0.985;
const FULL_PERCENT = 100;

/** Tail latency that the serving tasks must keep, in milliseconds. */
export const LATENCY_TARGET_MS = 45;

/** A step of serving tasks. */
export interface ServingStep {
  readonly image: string;
  /** Shift of its load, in milliseconds. */
  readonly shiftMs: number;
}

/** A task on idle processors. */
export interface SimulatedRun {
  readonly key: string;
  readonly image: string;
  /** Share of the VM's processors. */
  readonly demand: number;
}

/** A VM. */
export class SharedVmSimulation {
  now = 0;
  private readonly _steps: readonly ServingStep[];
  /** Load that a pair adds, were the image to use all processors, by "serving idle". */
  private readonly _interference: ReadonlyMap<string, number>;
  private readonly _filter = new TailLatencyFilter();
  private readonly _tailLatencies = new Map<ServingStep, number>();
  private readonly _overTargetSince = new Map<ServingStep, number>();
  private readonly _percents = new Map<string, number>();
  private readonly _work = new Map<string, number>();
  private _runs: readonly SimulatedRun[] = [];
  private _overTargetMs = 0;
  private _maxOverTargetMs = 0;

  /**
   * Creates a VM without tasks on idle processors.
   * @param steps - Steps of serving tasks.
   * @param interference - Load that a pair adds, by "serving idle".
   */
  constructor(steps: readonly ServingStep[], interference: ReadonlyMap<string, number>) {
    this._steps = steps;
    this._interference = interference;
  }

  /** Time for which steps were over their target, in milliseconds. */
  get overTargetMs(): number {
    return this._overTargetMs;
  }

  /** Longest time for which a step was over its target on end, in milliseconds. */
  get maxOverTargetMs(): number {
    return this._maxOverTargetMs;
  }

  /**
   * Adds a task at full speed.
   * @param run - The task.
   */
  add(run: SimulatedRun): void {
    this._runs = [...this._runs, run];
    this._percents.set(run.key, FULL_PERCENT);
  }

  /**
   * Takes a task off.
   * @param key - The task.
   */
  remove(key: string): void {
    this._runs = this._runs.filter((run) => run.key !== key);
  }

  /**
   * Sets the share of its speed that a task works at.
   * @param key - The task.
   * @param percent - The share.
   */
  pace(key: string, percent: number): void {
    this._percents.set(key, percent);
  }

  /**
   * Gives the share of its work at full speed that an image has done since the start.
   * @param image - The image.
   */
  getWorkShare(image: string): number {
    return (this._work.get(image) ?? 0) / this.now;
  }

  /**
   * Lets time pass.
   * @param ms - How long, in milliseconds.
   */
  advance(ms: number): void {
    Array.from({ length: ms / STEP_MS }).forEach(() => {
      this.now += STEP_MS;
      this._steps.forEach((step) => {
        this._advanceStep(step);
      });
      this._runs.forEach(({ key, image }) => {
        const done = (STEP_MS * (this._percents.get(key) ?? 0)) / FULL_PERCENT;
        this._work.set(image, (this._work.get(image) ?? 0) + done);
      });
    });
  }

  /** Gives what a worker would list. */
  measure(): {
    readonly serving: readonly ServingMeasurement[];
    readonly runs: readonly IdleProcessorRun[];
  } {
    const serving = this._steps.map((step, position) => {
      const tailMs = Math.round(this._tailLatencies.get(step) ?? BASELINE_MS);
      const key = `${step.image} ${position}`;
      const currentMs = this._filter.update(key, tailMs, this.now);
      return { image: step.image, step: key, targetMs: LATENCY_TARGET_MS, tailMs, currentMs };
    });
    const runs = this._runs.map((run) => {
      const percent = this._percents.get(run.key) ?? 0;
      return { ...run, percent, used: (run.demand * percent) / FULL_PERCENT };
    });
    return { serving, runs };
  }

  private _advanceStep(step: ServingStep): void {
    const angle = (2 * Math.PI * (this.now + step.shiftMs)) / LOAD_PERIOD_MS;
    const own = MEAN_LOAD * (1 + LOAD_SWING * Math.sin(angle));
    const added = this._runs.reduce((sum, { key, image, demand }) => {
      const used = (demand * (this._percents.get(key) ?? 0)) / FULL_PERCENT;
      return sum + used * (this._interference.get(`${step.image} ${image}`) ?? 0);
    }, 0);
    const tailMs = BASELINE_MS / (1 - Math.min(MAX_UTILIZATION, own + added));
    const known = this._tailLatencies.get(step) ?? tailMs;
    this._tailLatencies.set(
      step,
      known + (1 - Math.exp(-STEP_MS / MEASUREMENT_LAG_MS)) * (tailMs - known),
    );
    this._recordOverTarget(step, tailMs > LATENCY_TARGET_MS);
  }

  private _recordOverTarget(step: ServingStep, isOver: boolean): void {
    if (!isOver) {
      this._overTargetSince.delete(step);
      return;
    }
    const since = this._overTargetSince.get(step) ?? this.now - STEP_MS;
    this._overTargetSince.set(step, since);
    this._overTargetMs += STEP_MS;
    this._maxOverTargetMs = Math.max(this._maxOverTargetMs, this.now - since);
  }
}
