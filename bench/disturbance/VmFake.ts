/**
 * A VM for the measurement of disturbance: one service, batch tasks that slow it down by a table of
 * true pair effects, and reports that lag.
 */
import type { LatencyReport } from "../../src/coordination/disturbance/DisturbanceEstimator.ts";
import type { RandomSource } from "../../src/protocol/platform/RandomSource.ts";

/** A batch task of the measurement. */
export interface FakeTask {
  readonly task: string;
  readonly kind: string;
  readonly processorsMilli: number;
  /** Work at all of its processors, in milliseconds. */
  readonly workMs: number;
  doneMs: number;
  throttlePercent: number;
  startedAt: number;
  checkpointedAt: number | undefined;
}

/** True relative rise of a service's latency where a kind uses all processors. */
export type PairEffects = Readonly<Record<string, Readonly<Record<string, number>>>>;

interface DelayedReport {
  readonly dueAt: number;
  readonly report: LatencyReport;
}

const BASE_LATENCY_MS = 20;
const SPREAD = 0.25;
const REQUESTS_PER_TICK = 30;
const REPORT_INTERVAL_MS = 2000;
const MIN_LAG_MS = 2000;
const MAX_LAG_MS = 4000;

/** One VM. */
export class VmFake {
  readonly service: string;
  readonly capacityMilli = 32_000;
  tasks: readonly FakeTask[] = [];
  /** Last report that has arrived. */
  report: LatencyReport | undefined;
  private readonly _effects: PairEffects;
  private readonly _random: RandomSource;
  private _window: readonly number[] = [];
  private _windowEndsAt = REPORT_INTERVAL_MS;
  private _delayed: readonly DelayedReport[] = [];

  /**
   * Creates a VM.
   * @param service - Its service.
   * @param effects - True pair effects.
   * @param random - Random numbers of requests and lags.
   */
  constructor(service: string, effects: PairEffects, random: RandomSource) {
    this.service = service;
    this._effects = effects;
    this._random = random;
  }

  /** Processors that tasks have been promised, in thousandths of a core. */
  get committedMilli(): number {
    return this.tasks.reduce((sum, { processorsMilli }) => sum + processorsMilli, 0);
  }

  /** Latency of the 99th percentile without batch work at a load. */
  static getBaseMs(utilisation: number): number {
    return BASE_LATENCY_MS * (1 + utilisation ** 2) * Math.exp(SPREAD * 2.326);
  }

  /**
   * Serves requests and runs tasks for one tick.
   * @param now - End of the tick, in milliseconds.
   * @param tickMs - Length of the tick, in milliseconds.
   * @param utilisation - Load of the service, from 0 to 1.
   * @returns Latencies of the requests, in milliseconds.
   */
  tick(now: number, tickMs: number, utilisation: number): readonly number[] {
    const rise = this.getTrueRise(utilisation);
    const mean = BASE_LATENCY_MS * (1 + utilisation ** 2) * (1 + rise);
    const latencies = Array.from({ length: REQUESTS_PER_TICK }, () => {
      return mean * Math.exp(SPREAD * this._getNormal());
    });
    this.tasks.forEach((task) => {
      task.doneMs += (tickMs * task.throttlePercent) / 100;
    });
    this._window = [...this._window, ...latencies];
    this._report(now, utilisation);
    return latencies;
  }

  /**
   * Gives the true relative rise of latency now; it grows with the service's own load.
   * @param utilisation - Load of the service, from 0 to 1.
   */
  getTrueRise(utilisation: number): number {
    const full = this.tasks.reduce((sum, task) => {
      const share = (task.processorsMilli * task.throttlePercent) / 100 / this.capacityMilli;
      return sum + (this._effects[this.service]?.[task.kind] ?? 0) * share;
    }, 0);
    return full * (0.5 + utilisation);
  }

  private _report(now: number, utilisation: number): void {
    if (now >= this._windowEndsAt) {
      const sorted = this._window.toSorted((a, b) => a - b);
      const latencyMs = sorted[Math.floor(sorted.length * 0.99)] ?? 0;
      const lag = MIN_LAG_MS + this._random.next() * (MAX_LAG_MS - MIN_LAG_MS);
      const report = { service: this.service, measuredAt: now, latencyMs, utilisation };
      this._delayed = [...this._delayed, { dueAt: now + lag, report }];
      this._window = [];
      this._windowEndsAt = now + REPORT_INTERVAL_MS;
    }
    const arrived = this._delayed.filter(({ dueAt }) => dueAt <= now);
    this._delayed = this._delayed.filter(({ dueAt }) => dueAt > now);
    this.report = arrived.at(-1)?.report ?? this.report;
  }

  private _getNormal(): number {
    const radius = Math.sqrt(-2 * Math.log(1 - this._random.next()));
    return radius * Math.cos(2 * Math.PI * this._random.next());
  }
}
