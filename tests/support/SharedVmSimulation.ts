/**
 * Simulates, in virtual time, a VM on which serving tasks share the processors with tasks on idle
 * processors. The load of each serving step follows a sine wave. An image on idle processors adds
 * load that depends on the pair of images. Tail latency grows as the load approaches the capacity of
 * the VM, and its measurements lag behind.
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

/** Target of the tail latency of the serving tasks, in milliseconds. */
export const LATENCY_TARGET_MS = 45;

/** Step of a job with serving tasks. */
export interface ServingStep {
  readonly image: string;
  /** Phase shift of its load, in milliseconds. */
  readonly shiftMs: number;
}

/** Task on idle processors. */
export interface SimulatedRun {
  readonly key: string;
  readonly image: string;
  /** Share of the VM's processors that it uses at full speed. */
  readonly demand: number;
}

/** Simulated VM. */
export class SharedVmSimulation {
  now = 0;
  private readonly _steps: readonly ServingStep[];
  /**
   * Load that an image on idle processors would add if it used all processors, by
   * "SERVING-IMAGE IDLE-IMAGE".
   */
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
   * @param interference - Load that a pair of images adds, by "SERVING-IMAGE IDLE-IMAGE".
   */
  constructor(steps: readonly ServingStep[], interference: ReadonlyMap<string, number>) {
    this._steps = steps;
    this._interference = interference;
  }

  /** Total time for which steps exceeded the target, in milliseconds. */
  get overTargetMs(): number {
    return this._overTargetMs;
  }

  /** Longest time for which a step continuously exceeded the target, in milliseconds. */
  get maxOverTargetMs(): number {
    return this._maxOverTargetMs;
  }

  /**
   * Adds a task on idle processors, at full speed.
   * @param run - The task.
   */
  add(run: SimulatedRun): void {
    this._runs = [...this._runs, run];
    this._percents.set(run.key, FULL_PERCENT);
  }

  /**
   * Removes a task on idle processors.
   * @param key - Key of the task.
   */
  remove(key: string): void {
    this._runs = this._runs.filter((run) => run.key !== key);
  }

  /**
   * Sets the pace of a task on idle processors.
   * @param key - Key of the task.
   * @param percent - Percentage of its full speed.
   */
  pace(key: string, percent: number): void {
    this._percents.set(key, percent);
  }

  /**
   * Gets the work of an image since the start, as a share of the work at full speed.
   * @param image - Name of the image.
   */
  getWorkShare(image: string): number {
    return (this._work.get(image) ?? 0) / this.now;
  }

  /**
   * Advances the time.
   * @param ms - Duration in milliseconds.
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

  /** Gets the measurements that a worker would report. */
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
    const servingLoad = MEAN_LOAD * (1 + LOAD_SWING * Math.sin(angle));
    const addedLoad = this._runs.reduce((sum, { key, image, demand }) => {
      const used = (demand * (this._percents.get(key) ?? 0)) / FULL_PERCENT;
      return sum + used * (this._interference.get(`${step.image} ${image}`) ?? 0);
    }, 0);
    const tailMs = BASELINE_MS / (1 - Math.min(MAX_UTILIZATION, servingLoad + addedLoad));
    const known = this._tailLatencies.get(step) ?? tailMs;
    this._tailLatencies.set(
      step,
      known + (1 - Math.exp(-STEP_MS / MEASUREMENT_LAG_MS)) * (tailMs - known),
    );
    this._recordOverTarget(step, tailMs > LATENCY_TARGET_MS);
  }

  private _recordOverTarget(step: ServingStep, isOverTarget: boolean): void {
    if (!isOverTarget) {
      this._overTargetSince.delete(step);
      return;
    }
    const since = this._overTargetSince.get(step) ?? this.now - STEP_MS;
    this._overTargetSince.set(step, since);
    this._overTargetMs += STEP_MS;
    this._maxOverTargetMs = Math.max(this._maxOverTargetMs, this.now - since);
  }
}
