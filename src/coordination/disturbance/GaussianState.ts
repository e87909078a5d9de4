/**
 * Jointly Gaussian variables, addressed by name, with means and covariances that are corrected by
 * observations as in a Kalman filter. Between observations each variable decays exponentially to
 * its prior.
 */

/** Prior distribution of a variable. */
export interface VariablePrior {
  readonly mean: number;
  readonly variance: number;
  /**
   * Time constant of the decay to the prior, in milliseconds: after it, a share of 1/e of a
   * correction remains.
   */
  readonly decayMs: number;
}

/** Weight of one variable in an observation. */
export interface ObservationTerm {
  readonly name: string;
  readonly prior: VariablePrior;
  readonly weight: number;
}

interface Variable {
  readonly name: string;
  readonly prior: VariablePrior;
  mean: number;
  observedAt: number;
}

/** State of the jointly estimated variables. */
export class GaussianState {
  private readonly _maxVariables: number;
  private _variables: readonly Variable[] = [];
  /** Indexes of the variables by name. */
  private _indexes: ReadonlyMap<string, number> = new Map();
  private _covariance: readonly (readonly number[])[] = [];
  private _updatedAt: number | undefined;

  /**
   * Creates a state without variables.
   * @param maxVariables - Maximum number of variables; the least recently observed one is dropped
   * first.
   */
  constructor(maxVariables: number) {
    this._maxVariables = maxVariables;
  }

  /**
   * Gets the mean of a variable; undefined if it was never observed.
   * @param name - Name of the variable.
   */
  getMean(name: string): number | undefined {
    return this._variables[this._indexes.get(name) ?? -1]?.mean;
  }

  /**
   * Gets the variance of a variable; undefined if it was never observed.
   * @param name - Name of the variable.
   */
  getVariance(name: string): number | undefined {
    const index = this._indexes.get(name) ?? -1;
    return this._covariance[index]?.[index];
  }

  /**
   * Returns the variance of a weighted sum of variables.
   * @param terms - Variables with their weights; an unknown variable counts with its prior
   * variance.
   */
  getSumVariance(terms: readonly ObservationTerm[]): number {
    return terms.reduce((sum, term, index) => {
      const row = this._covariance[this._indexes.get(term.name) ?? -1];
      if (row === undefined) {
        return sum + term.weight ** 2 * term.prior.variance;
      }
      // The covariance of each pair of terms occurs twice in the sum.
      const crossTerms = terms.slice(0, index).reduce((crossSum, other) => {
        const covariance = row[this._indexes.get(other.name) ?? -1] ?? 0;
        return crossSum + 2 * term.weight * other.weight * covariance;
      }, 0);
      return sum + crossTerms + term.weight ** 2 * (row[this._indexes.get(term.name) ?? -1] ?? 0);
    }, 0);
  }

  /**
   * Updates the variables with an observation.
   * @param now - Time of the observation, in milliseconds; one older than the last update is
   * treated as made at the last update.
   * @param terms - Variables that the observation depends on, each with the derivative of the
   * observed value as its weight.
   * @param innovation - Difference between the observed and the expected value.
   * @param noiseVariance - Variance of the measurement noise.
   */
  observe(
    now: number,
    terms: readonly ObservationTerm[],
    innovation: number,
    noiseVariance: number,
  ): void {
    this._decayToPrior(now);
    terms.forEach((term) => {
      this._ensureVariable(term, now);
    });
    const weights = this._getWeights(terms);
    const crossCovariance = this._covariance.map((row) => dot(row, weights));
    const innovationVariance = dot(crossCovariance, weights) + noiseVariance;
    this._variables.forEach((variable, index) => {
      variable.mean += ((crossCovariance[index] ?? 0) / innovationVariance) * innovation;
    });
    this._covariance = this._covariance.map((row, i) =>
      row.map(
        (value, j) =>
          value - ((crossCovariance[i] ?? 0) * (crossCovariance[j] ?? 0)) / innovationVariance,
      ),
    );
  }

  private _getWeights(terms: readonly ObservationTerm[]): readonly number[] {
    const weights = new Map(terms.map(({ name, weight }) => [name, weight]));
    return this._variables.map(({ name }) => weights.get(name) ?? 0);
  }

  private _decayToPrior(now: number): void {
    const elapsedMs = Math.max(0, now - (this._updatedAt ?? now));
    this._updatedAt = Math.max(now, this._updatedAt ?? now);
    const decayFactors = this._variables.map(({ prior }) => Math.exp(-elapsedMs / prior.decayMs));
    this._variables.forEach((variable, index) => {
      const { mean } = variable.prior;
      variable.mean = mean + (variable.mean - mean) * (decayFactors[index] ?? 1);
    });
    this._covariance = this._covariance.map((row, i) =>
      row.map((value, j) => {
        const prior = i === j ? (this._variables[i]?.prior.variance ?? 0) : 0;
        return prior + (value - prior) * (decayFactors[i] ?? 1) * (decayFactors[j] ?? 1);
      }),
    );
  }

  private _ensureVariable(term: ObservationTerm, now: number): void {
    const known = this._variables[this._indexes.get(term.name) ?? -1];
    if (known !== undefined) {
      known.observedAt = now;
      return;
    }
    if (this._variables.length >= this._maxVariables) {
      this._dropOldest();
    }
    const added = { name: term.name, prior: term.prior, mean: term.prior.mean, observedAt: now };
    this._setVariables([...this._variables, added]);
    this._covariance = [
      ...this._covariance.map((row) => [...row, 0]),
      this._variables.map((variable) => (variable === added ? term.prior.variance : 0)),
    ];
  }

  private _setVariables(variables: readonly Variable[]): void {
    this._variables = variables;
    this._indexes = new Map(variables.map(({ name }, position) => [name, position]));
  }

  private _dropOldest(): void {
    const oldest = this._variables.reduce((a, b) => (b.observedAt < a.observedAt ? b : a));
    const dropped = this._variables.indexOf(oldest);
    this._setVariables(this._variables.filter((_, index) => index !== dropped));
    this._covariance = this._covariance
      .filter((_, index) => index !== dropped)
      .map((row) => row.filter((_, index) => index !== dropped));
  }
}

function dot(a: readonly number[], b: readonly number[]): number {
  return a.reduce((sum, value, index) => sum + value * (b[index] ?? 0), 0);
}
