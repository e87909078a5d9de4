/**
 * Workloads of the disturbance benchmark.
 */
import type { RandomSource } from "../../src/protocol/platform/RandomSource.ts";
import type { SimulatedTask, InterferenceTable } from "./SimulatedVm.ts";

/** Load, kinds of tasks and heat level over the time of a run. */
export interface Workload {
  readonly name: string;
  /** Gets the load of the services, from 0 to 1. */
  readonly getUtilisation: (now: number) => number;
  /** Gets the kinds of the tasks that arrive at a time. */
  readonly getKinds: (now: number) => readonly string[];
  /** Gets the heat level that the workers report. */
  readonly getHeat: (now: number) => number;
}

const QUIET_KINDS: readonly string[] = ["rebuild", "coverage", "export"];
const NOISY_KINDS: readonly string[] = ["transcode", "index", "archive"];
const ALL_KINDS: readonly string[] = [...QUIET_KINDS, ...NOISY_KINDS];
const WAVE_MS = 60_000;
const LOAD_PERIOD_MS = 300_000;
const HEAT_FROM_MS = 200_000;
const HEAT_TO_MS = 400_000;
const STEADY_LOAD = 0.5;

const STEADY: Workload = {
  name: "steady",
  getUtilisation: () => STEADY_LOAD,
  getKinds: () => ALL_KINDS,
  getHeat: () => 0,
};

/** All workloads. */
export const WORKLOADS: readonly Workload[] = [
  STEADY,
  {
    ...STEADY,
    name: "waves",
    getKinds: (now) => (Math.floor(now / WAVE_MS) % 2 === 0 ? QUIET_KINDS : NOISY_KINDS),
  },
  {
    ...STEADY,
    name: "shifting-load",
    getUtilisation: (now) => STEADY_LOAD + 0.3 * Math.sin((2 * Math.PI * now) / LOAD_PERIOD_MS),
  },
  {
    ...STEADY,
    name: "heat-step",
    getHeat: (now) => (now >= HEAT_FROM_MS && now < HEAT_TO_MS ? 2 : 0),
  },
];

/**
 * Draws the true relative rise of latency for each service and kind.
 * @param services - The services.
 * @param random - Source of random numbers.
 */
export function drawInterference(
  services: readonly string[],
  random: RandomSource,
): InterferenceTable {
  const draw = (low: number, high: number): number => low + random.next() * (high - low);
  return Object.fromEntries(
    services.map((service) => [
      service,
      Object.fromEntries([
        ...QUIET_KINDS.map((kind) => [kind, draw(0.02, 0.2)] as const),
        ...NOISY_KINDS.map((kind) => [kind, draw(0.5, 2.5)] as const),
      ]),
    ]),
  );
}

/** Endless source of tasks. */
export class TaskSource {
  private readonly _random: RandomSource;
  private readonly _workload: Workload;
  private _created = 0;

  /**
   * Creates a source.
   * @param workload - The workload.
   * @param random - Source of random numbers for kinds, sizes and run times.
   */
  constructor(workload: Workload, random: RandomSource) {
    this._workload = workload;
    this._random = random;
  }

  /**
   * Draws a task.
   * @param now - Time, in milliseconds.
   */
  next(now: number): SimulatedTask {
    const kinds = this._workload.getKinds(now);
    this._created += 1;
    return {
      task: `task-${this._created}`,
      kind: kinds[this._random.nextInt(kinds.length)] ?? "",
      processorsMilli: 1000 * (2 + this._random.nextInt(5)),
      workMs: 40_000 + this._random.nextInt(80_000),
      doneMs: 0,
      throttlePercent: 100,
      startedAt: now,
      checkpointedAt: undefined,
    };
  }
}
