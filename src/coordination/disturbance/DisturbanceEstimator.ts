/**
 * Estimates how much the latency of a service rises through each kind of batch work on the same
 * VM. A report is compared with the batch work that ran when it was measured, not when it arrived.
 * The latency is taken as a base for the service's load, times one plus the sum over kinds of rise
 * times share of the VM's processors. The logarithm of the base and the rises are estimated
 * together; what was learnt fades towards a prior, so that shifts are followed. The rise of a pair may
 * depend on the service's own load.
 */
import { GaussianState, type ObservationTerm, type VariablePrior } from "./GaussianState.ts";
import type { KindShare } from "./KindShare.ts";
import { MixHistory } from "./MixHistory.ts";

/** Latency of a service as measured on one VM. */
export interface LatencyReport {
  readonly service: string;
  /** When it was measured, on the observer's monotonic clock, in milliseconds. */
  readonly measuredAt: number;
  readonly latencyMs: number;
  /** Share of the service's slots that were in use, from 0 to 1. */
  readonly utilisation: number;
}

/** An estimate for a pair of service and kind. */
export interface PairEstimate {
  /** Relative rise in latency where the kind uses all processors. */
  readonly rise: number;
  /** Standard deviation of the rise. */
  readonly deviation: number;
}

const KIND_DECAY_MS = 20 * 60_000;
const BASELINE_DECAY_MS = 7 * 24 * 3_600_000;
const KIND_PRIOR: VariablePrior = { mean: 0.5, variance: 1, decayMs: KIND_DECAY_MS };
const LOAD_PRIOR: VariablePrior = { mean: 0, variance: 0.5, decayMs: KIND_DECAY_MS };
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
const MAX_KNOWN_BASELINE_VARIANCE = 0.0008;
const REPORT_VARIANCE = 0.01;
const OUTLIER_DEVIATIONS = 3;
const NOISE_WEIGHT = 0.05;
const MAX_VARIABLES = 48;
const MAX_HISTORY_MS = 60_000;

/** Estimator of disturbance on one VM, or over several with one mix history each. */
export class DisturbanceEstimator {
  private readonly _states = new Map<string, GaussianState>();
  private readonly _noiseVariances = new Map<string, number>();
  private readonly _initialLogBaselines = new Map<string, number>();
  private readonly _mixHistory = new MixHistory(MAX_HISTORY_MS);

  /**
   * Notes the batch work that runs from now on.
   * @param at - Time, in milliseconds.
   * @param mix - Shares by kind.
   */
  recordMix(at: number, mix: readonly KindShare[]): void {
    this._mixHistory.record(at, mix);
  }

  /**
   * Takes a report in; one that is measured before the known history of batch work is left out.
   * @param report - The report.
   */
  observe(report: LatencyReport): void {
    const mix = this._mixHistory.getAt(report.measuredAt);
    if (mix !== undefined) {
      this.observeWithMix(report, mix);
    }
  }

  /**
   * Takes a report in together with the batch work that ran when it was measured.
   * @param report - The report.
   * @param mix - Shares by kind.
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
    const base = this._getBaselineTerms(report.service, report.utilisation);
    const terms = mix.flatMap((part): readonly ObservationTerm[] => {
      const weight = part.share / (1 + rise);
      const loadWeight = weight * (report.utilisation - MIDDLE_LOAD);
      return [
        { name: getKindVariable(part.kind), prior: KIND_PRIOR, weight },
        { name: getLoadVariable(part.kind), prior: LOAD_PRIOR, weight: loadWeight },
      ];
    });
    const error = logLatency - getSumMean(state, base) - Math.log(1 + rise);
    const noise = this._getNoiseVariance(report.service);
    const bound = OUTLIER_DEVIATIONS * Math.sqrt(noise);
    const bounded = Math.max(-bound, Math.min(bound, error));
    state.observe(report.measuredAt, [...base, ...terms], bounded, noise);
    this._noiseVariances.set(report.service, noise + NOISE_WEIGHT * (bounded ** 2 - noise));
  }

  /**
   * Gives by how much reports of a service scatter more than is usual, as a share of the latency.
   * @param service - The service.
   */
  getExcessNoise(service: string): number {
    return Math.sqrt(this._getNoiseVariance(service) - REPORT_VARIANCE);
  }

  /**
   * Estimates a pair; a pair without reports is given its prior.
   * @param service - The service.
   * @param kind - Kind of batch work.
   * @param utilisation - Load of the service, from 0 to 1.
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
   * Predicts the relative rise in a service's latency.
   * @param service - The service.
   * @param mix - Shares by kind.
   * @param utilisation - Load of the service, from 0 to 1.
   */
  predictRise(service: string, mix: readonly KindShare[], utilisation: number): number {
    return mix.reduce(
      (sum, part) => sum + this.getPairEstimate(service, part.kind, utilisation).rise * part.share,
      0,
    );
  }

  /**
   * Gives the relative rise that a report shows over the estimated base; undefined where the base
   * is not known.
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
   * Tells whether the latency of a service without batch work is known well enough to judge a rise.
   * @param service - The service.
   * @param utilisation - Load of the service, from 0 to 1.
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

  /** The logarithm of the base is a polynomial of the load. */
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
