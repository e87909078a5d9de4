/**
 * Token bucket for retries: it is filled by a percentage of the recent first attempts, so that
 * retries cannot multiply the load on a service that is failing.
 */

/** Maximum number of retries that can accumulate. */
const MAX_TOKENS = 100;
/** Number of retries available when a process starts. */
const INITIAL_TOKENS = 10;
const PERCENT = 100;

/** Retry budget of one service at one entry. */
export class RetryBudget {
  private _tokens = INITIAL_TOKENS;
  private readonly _tokensPerRequest: number;

  /**
   * Creates a budget with the initial number of retries.
   * @param percent - Number of retries allowed per hundred requests.
   */
  constructor(percent: number) {
    this._tokensPerRequest = percent / PERCENT;
  }

  /** Records a first attempt, which adds to the budget. */
  recordRequest(): void {
    this._tokens = Math.min(MAX_TOKENS, this._tokens + this._tokensPerRequest);
  }

  /**
   * Consumes one retry from the budget if there is one.
   * @returns Whether the retry is allowed.
   */
  tryConsume(): boolean {
    if (this._tokens < 1) {
      return false;
    }
    this._tokens -= 1;
    return true;
  }
}
