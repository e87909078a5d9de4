/**
 * Budget of retries: a share of the requests served lately, so that retries cannot multiply load on
 * a service that is in trouble.
 */

/** Most retries that can be saved up. */
const MAX_TOKENS = 100;
/** Retries available to a process that has just started. */
const INITIAL_TOKENS = 10;
const PERCENT = 100;

/** Budget of retries of one service at one entry. */
export class RetryBudget {
  private _tokens = INITIAL_TOKENS;
  private readonly _tokensPerRequest: number;

  /**
   * Creates a budget.
   * @param percent - Retries allowed for each hundred requests.
   */
  constructor(percent: number) {
    this._tokensPerRequest = percent / PERCENT;
  }

  /** Notes a first attempt. */
  recordRequest(): void {
    this._tokens = Math.min(MAX_TOKENS, this._tokens + this._tokensPerRequest);
  }

  /**
   * Takes one retry from the budget.
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
