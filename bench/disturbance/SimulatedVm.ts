/**
 * A simulated VM for the disturbance benchmark: one service, batch tasks that raise its latency as
 * the interference table states, and latency reports that arrive with a delay.
 */
import type { LatencyReport } from "../../src/coordination/disturbance/DisturbanceEstimator.ts";
import type { RandomSource } from "../../src/protocol/platform/RandomSource.ts";

/** A simulated batch task. */
export interface SimulatedTask {
  readonly task: string;
  readonly kind: string;
  readonly processorsMilli: number;
  /** Run time at full speed, in milliseconds. */
  readonly workMs: number;
  doneMs: number;
  throttlePercent: number;
  startedAt: number;
  checkpointedAt: number | undefined;
}

/** True relative rise of latency by service and kind, for a kind that uses all processors. */
export type InterferenceTable = Readonly<Record<string, Readonly<Record<string, number>>>>;

interface DelayedReport {
  readonly dueAt: number;
  readonly report: LatencyReport;
}

const BASELINE_LATENCY_MS = 20;
const LATENCY_SIGMA = 0.25;
const REQUESTS_PER_TICK = 30;
const REPORT_INTERVAL_MS = 2000;
const MIN_REPORT_DELAY_MS = 2000;
const MAX_REPORT_DELAY_MS = 4000;

/** A simulated VM. */
export class SimulatedVm {
  readonly service: string;
  readonly capacityMilli = 32_000;
  tasks: readonly SimulatedTask[] = [];
  /** Latest report that has arrived. */
  report: LatencyReport | undefined;
  private readonly _interference: InterferenceTable;
  private readonly _random: RandomSource;
  private _windowLatencies: readonly number[] = [];
  private _windowEndsAt = REPORT_INTERVAL_MS;
  private _delayedReports: readonly DelayedReport[] = [];

  /**
   * Creates a VM.
   * @param service - Service that the VM runs.
   * @param interference - True rise of latency by service and kind.
   * @param random - Source of random numbers for requests and report delays.
   */
  constructor(service: string, interference: InterferenceTable, random: RandomSource) {
    this.service = service;
    this._interference = interference;
    this._random = random;
  }

  /** Processors committed to tasks, in thousandths of a core. */
  get committedMilli(): number {
    return this.tasks.reduce((sum, { processorsMilli }) => sum + processorsMilli, 0);
  }

  /** Gets the 99th percentile of latency without batch work at a load, in milliseconds. */
  static getBaselineP99Ms(utilisation: number): number {
    return BASELINE_LATENCY_MS * (1 + utilisation ** 2) * Math.exp(LATENCY_SIGMA * 2.326);
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
    const mean = BASELINE_LATENCY_MS * (1 + utilisation ** 2) * (1 + rise);
    const latencies = Array.from({ length: REQUESTS_PER_TICK }, () => {
      return mean * Math.exp(LATENCY_SIGMA * this._drawNormal());
    });
    this.tasks.forEach((task) => {
      task.doneMs += (tickMs * task.throttlePercent) / 100;
    });
    this._windowLatencies = [...this._windowLatencies, ...latencies];
    this._updateReport(now, utilisation);
    return latencies;
  }

  /**
   * Gets the current true relative rise of latency, which grows with the load of the service.
   * @param utilisation - Load of the service, from 0 to 1.
   */
  getTrueRise(utilisation: number): number {
    const totalRise = this.tasks.reduce((sum, task) => {
      const share = (task.processorsMilli * task.throttlePercent) / 100 / this.capacityMilli;
      return sum + (this._interference[this.service]?.[task.kind] ?? 0) * share;
    }, 0);
    return totalRise * (0.5 + utilisation);
  }

  private _updateReport(now: number, utilisation: number): void {
    if (now >= this._windowEndsAt) {
      const sorted = this._windowLatencies.toSorted((a, b) => a - b);
      const latencyMs = sorted[Math.floor(sorted.length * 0.99)] ?? 0;
      const delayMs =
        MIN_REPORT_DELAY_MS + this._random.next() * (MAX_REPORT_DELAY_MS - MIN_REPORT_DELAY_MS);
      const report = { service: this.service, measuredAt: now, latencyMs, utilisation };
      this._delayedReports = [...this._delayedReports, { dueAt: now + delayMs, report }];
      this._windowLatencies = [];
      this._windowEndsAt = now + REPORT_INTERVAL_MS;
    }
    const arrived = this._delayedReports.filter(({ dueAt }) => dueAt <= now);
    this._delayedReports = this._delayedReports.filter(({ dueAt }) => dueAt > now);
    this.report = arrived.at(-1)?.report ?? this.report;
  }

  private _drawNormal(): number {
    const radius = Math.sqrt(-2 * Math.log(1 - this._random.next()));
    return radius * Math.cos(2 * Math.PI * this._random.next());
  }
}
