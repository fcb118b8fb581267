/** Bounds retries to a part of the requests, for each service. */

/** Retries earned by each request. */
const EARNED_PER_REQUEST = 0.1;
const MAX_SAVED = 20;
const SAVED_AT_START = 5;

/** A token bucket for each service that requests fill and retries empty. */
export class RetryBudget {
  private readonly saved = new Map<string, number>();

  /** Takes in that a request came. */
  addRequest(service: string): void {
    const tokens = this.tokensOf(service) + EARNED_PER_REQUEST;
    this.saved.set(service, Math.min(MAX_SAVED, tokens));
  }

  /**
   * Takes one retry out of the budget, where there is one.
   *
   * @example
   * if (!budget.tryTake('quote')) throw err;
   */
  tryTake(service: string): boolean {
    const tokens = this.tokensOf(service);
    if (tokens < 1) return false;
    this.saved.set(service, tokens - 1);
    return true;
  }

  private tokensOf(service: string): number {
    return this.saved.get(service) ?? SAVED_AT_START;
  }
}
