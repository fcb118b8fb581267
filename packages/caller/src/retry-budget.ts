/** Limits the retries of each service to a fraction of its requests. */

/** Retry tokens that each request adds: one retry for every ten requests. */
const TOKENS_PER_REQUEST = 0.1;
const MAX_TOKENS = 20;
const INITIAL_TOKENS = 5;

/** A token bucket per service: requests add tokens, retries consume them. */
export class RetryBudget {
  private readonly tokens = new Map<string, number>();

  /** Adds the tokens for a new request. */
  addRequest(service: string): void {
    const count = this.tokensOf(service) + TOKENS_PER_REQUEST;
    this.tokens.set(service, Math.min(MAX_TOKENS, count));
  }

  /**
   * Takes a token for one retry.
   *
   * @returns whether a token was left
   * @example
   * if (!budget.tryTake('quote')) throw err;
   */
  tryTake(service: string): boolean {
    const count = this.tokensOf(service);
    if (count < 1) return false;
    this.tokens.set(service, count - 1);
    return true;
  }

  private tokensOf(service: string): number {
    return this.tokens.get(service) ?? INITIAL_TOKENS;
  }
}
