/** When callers that are refused for their customer's rate are told to return: one for each token of the refill. */

/** Returns of one customer that an entry has promised. */
export interface RateReturns {
  /** The latest time that a caller was told, by the monotonic clock. */
  latestMs: number;
}

/** Callers are not sent away for longer, whatever the rate; a customer's rate may be raised meanwhile. In milliseconds. */
export const MAX_RATE_RETURN_MS = 2_000;
/** Covers the way to the home and back, so that a caller does not return right before its token. In milliseconds. */
const MIN_RATE_RETURN_MS = 10;

export function createRateReturns(): RateReturns {
  return { latestMs: Number.NEGATIVE_INFINITY };
}

/**
 * The time after which a refused caller should return. Each caller is told the time of another token, because callers
 * that return together would be refused together again.
 *
 * @param refillAtMs when the home expects its next token, by the monotonic clock
 * @example
 * promiseRateReturn(returns, { refillAtMs: 40, ratePerSecond: 100 }, 0); // 40, then 50, then 60
 */
export function promiseRateReturn(
  returns: RateReturns,
  { refillAtMs, ratePerSecond }: { readonly refillAtMs: number; readonly ratePerSecond: number },
  nowMs: number,
): number {
  const tokenIntervalMs = ratePerSecond > 0 ? 1_000 / ratePerSecond : MAX_RATE_RETURN_MS;
  const earliestMs = Math.max(nowMs + MIN_RATE_RETURN_MS, refillAtMs);
  const atMs = Math.max(earliestMs, returns.latestMs + tokenIntervalMs);
  returns.latestMs = Math.min(atMs, nowMs + MAX_RATE_RETURN_MS);
  return Math.ceil(returns.latestMs - nowMs);
}
