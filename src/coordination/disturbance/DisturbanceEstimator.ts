/**
 * Estimates how much each kind of batch work on a VM increases the latency of a service. A report
 * is compared with the batch work that was running when it was measured, not when it arrived. The
 * model is: latency = baseline(utilisation) * (1 + sum over kinds of rise * processor share). The
 * logarithm of the baseline and the rises are estimated jointly. Estimates decay to a prior, so
 * that shifts are tracked. The rise of a pair of service and kind may depend on the service's own
 * load.
 */
import { GaussianState, type ObservationTerm, type VariablePrior } from "./GaussianState.ts";
import type { KindShare } from "./KindShare.ts";
import { MixHistory } from "./MixHistory.ts";

/** Latency of a service, measured on one VM. */
export interface LatencyReport {
  readonly service: string;
  /** When the latency was measured, on the observer's monotonic clock, in milliseconds. */
  readonly measuredAt: number;
  readonly latencyMs: number;
  /** Share of the service's slots that were in use, from 0 to 1. */
  readonly utilisation: number;
}

/** Estimate for a pair of service and kind. */
export interface PairEstimate {
  /** Relative rise of the latency when the kind uses all processors. */
  readonly rise: number;
  /** Standard deviation of the rise. */
  readonly deviation: number;
}

const KIND_DECAY_MS = 20 * 60_000;
const BASELINE_DECAY_MS = 7 * 24 * 3_600_000;
const KIND_PRIOR: VariablePrior = { mean: 0.5, variance: 1, decayMs: KIND_DECAY_MS };
const LOAD_PRIOR: VariablePrior = { mean: 0, variance: 0.5, decayMs: KIND_DECAY_MS };
/** Utilisation at which the load-dependent terms are zero. */
const MIDDLE_LOAD = 0.5;
const BASELINE_VARIANCE = 0.25;
const BASELINE_SLOPE_PRIOR: VariablePrior = {
  mean: 0.7,
  variance: 0.25,
  decayMs: BASELINE_DECAY_MS,
};
const BASELINE_CURVATURE_PRIOR: VariablePrior = {
  mean: 0,
  variance: 0.5,
  decayMs: BASELINE_DECAY_MS,
};
/** Largest variance of the logarithm of the baseline at which the baseline counts as known. */
const MAX_KNOWN_BASELINE_VARIANCE = 0.0008;
const REPORT_VARIANCE = 0.01;
/** Standard deviations of the noise to which the error of a report is clamped. */
const OUTLIER_DEVIATIONS = 3;
const NOISE_WEIGHT = 0.05;
const MAX_VARIABLES = 48;
const MAX_HISTORY_MS = 60_000;

/**
 * Estimator of the disturbance on one VM, or across several VMs with one mix history each (see
 * `observeWithMix`).
 */
export class DisturbanceEstimator {
  private readonly _states = new Map<string, GaussianState>();
  private readonly _noiseVariances = new Map<string, number>();
  private readonly _initialLogBaselines = new Map<string, number>();
  private readonly _mixHistory = new MixHistory(MAX_HISTORY_MS);

  /**
   * Records the mix of batch work from now on.
   * @param at - Time, in milliseconds.
   * @param mix - Processor shares by kind.
   */
  recordMix(at: number, mix: readonly KindShare[]): void {
    this._mixHistory.record(at, mix);
  }

  /**
   * Updates the estimates with a report. A report measured before the recorded mix history is
   * ignored.
   * @param report - The report.
   */
  observe(report: LatencyReport): void {
    const mix = this._mixHistory.getAt(report.measuredAt);
    if (mix !== undefined) {
      this.observeWithMix(report, mix);
    }
  }

  /**
   * Updates the estimates with a report and the mix of batch work that was running when it was
   * measured.
   * @param report - The report.
   * @param mix - Processor shares by kind.
   */
  observeWithMix(report: LatencyReport, mix: readonly KindShare[]): void {
    if (!(report.latencyMs > 0)) {
      return;
    }
    const state = this._getState(report.service);
    const rise = this.predictRise(report.service, mix, report.utilisation);
    const logLatency = Math.log(report.latencyMs);
    this._initialLogBaselines.set(
      report.service,
      this._initialLogBaselines.get(report.service) ?? logLatency - Math.log(1 + rise),
    );
    const baseline = this._getBaselineTerms(report.service, report.utilisation);
    const terms = mix.flatMap((kindShare): readonly ObservationTerm[] => {
      const weight = kindShare.share / (1 + rise);
      const loadWeight = weight * (report.utilisation - MIDDLE_LOAD);
      return [
        { name: getKindVariable(kindShare.kind), prior: KIND_PRIOR, weight },
        { name: getLoadVariable(kindShare.kind), prior: LOAD_PRIOR, weight: loadWeight },
      ];
    });
    const error = logLatency - getSumMean(state, baseline) - Math.log(1 + rise);
    const noiseVariance = this._getNoiseVariance(report.service);
    const bound = OUTLIER_DEVIATIONS * Math.sqrt(noiseVariance);
    const boundedError = Math.max(-bound, Math.min(bound, error));
    state.observe(report.measuredAt, [...baseline, ...terms], boundedError, noiseVariance);
    this._noiseVariances.set(
      report.service,
      noiseVariance + NOISE_WEIGHT * (boundedError ** 2 - noiseVariance),
    );
  }

  /**
   * Returns the scatter of a service's reports in excess of the assumed measurement noise, as a
   * share of the latency.
   * @param service - The service.
   */
  getExcessNoise(service: string): number {
    return Math.sqrt(this._getNoiseVariance(service) - REPORT_VARIANCE);
  }

  /**
   * Gets the estimate for a pair; the prior if there are no reports.
   * @param service - The service.
   * @param kind - Kind of batch work.
   * @param utilisation - Utilisation of the service, from 0 to 1.
   */
  getPairEstimate(service: string, kind: string, utilisation: number): PairEstimate {
    const state = this._states.get(service);
    const riseAtMiddleLoad = state?.getMean(getKindVariable(kind)) ?? KIND_PRIOR.mean;
    const slope = state?.getMean(getLoadVariable(kind)) ?? LOAD_PRIOR.mean;
    const variance = state?.getVariance(getKindVariable(kind)) ?? KIND_PRIOR.variance;
    const rise = Math.max(0, riseAtMiddleLoad + slope * (utilisation - MIDDLE_LOAD));
    return { rise, deviation: Math.sqrt(Math.max(0, variance)) };
  }

  /**
   * Predicts the relative rise of a service's latency.
   * @param service - The service.
   * @param mix - Processor shares by kind.
   * @param utilisation - Utilisation of the service, from 0 to 1.
   */
  predictRise(service: string, mix: readonly KindShare[], utilisation: number): number {
    return mix.reduce(
      (sum, kindShare) =>
        sum + this.getPairEstimate(service, kindShare.kind, utilisation).rise * kindShare.share,
      0,
    );
  }

  /**
   * Returns the relative rise of a report over the estimated baseline; undefined if the service has
   * no estimate.
   * @param report - The report.
   */
  getMeasuredRise(report: LatencyReport): number | undefined {
    const state = this._states.get(report.service);
    if (state === undefined) {
      return undefined;
    }
    const logBaseline = getSumMean(
      state,
      this._getBaselineTerms(report.service, report.utilisation),
    );
    return report.latencyMs / Math.exp(logBaseline) - 1;
  }

  /**
   * Returns whether the baseline latency of a service is known well enough to judge a rise.
   * @param service - The service.
   * @param utilisation - Utilisation of the service, from 0 to 1.
   */
  isBaselineKnown(service: string, utilisation: number): boolean {
    const terms = this._getBaselineTerms(service, utilisation);
    const variance = this._states.get(service)?.getSumVariance(terms);
    return variance !== undefined && variance <= MAX_KNOWN_BASELINE_VARIANCE;
  }

  private _getNoiseVariance(service: string): number {
    return Math.max(REPORT_VARIANCE, this._noiseVariances.get(service) ?? REPORT_VARIANCE);
  }

  private _getState(service: string): GaussianState {
    const known = this._states.get(service);
    if (known !== undefined) {
      return known;
    }
    const created = new GaussianState(MAX_VARIABLES);
    this._states.set(service, created);
    return created;
  }

  /**
   * Returns the terms of the logarithm of the baseline, which is a quadratic polynomial of the
   * load.
   */
  private _getBaselineTerms(service: string, utilisation: number): readonly ObservationTerm[] {
    const mean = this._initialLogBaselines.get(service) ?? 0;
    const load = utilisation - MIDDLE_LOAD;
    return [
      {
        name: "base/0",
        prior: { mean, variance: BASELINE_VARIANCE, decayMs: BASELINE_DECAY_MS },
        weight: 1,
      },
      { name: "base/1", prior: BASELINE_SLOPE_PRIOR, weight: load },
      { name: "base/2", prior: BASELINE_CURVATURE_PRIOR, weight: load * load },
    ];
  }
}

function getSumMean(state: GaussianState, terms: readonly ObservationTerm[]): number {
  return terms.reduce(
    (sum, term) => sum + term.weight * (state.getMean(term.name) ?? term.prior.mean),
    0,
  );
}

function getKindVariable(kind: string): string {
  return `kind/${kind}`;
}

function getLoadVariable(kind: string): string {
  return `load/${kind}`;
}
