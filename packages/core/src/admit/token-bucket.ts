/** The token bucket of one customer, kept at the customer's home. */

export interface RateLimit {
  /** Tokens that flow in, per second. */
  readonly ratePerSecond: number;
  /** Tokens that may be spent at once after a quiet time. */
  readonly burst: number;
  /** Tokens that a home starts with when it follows on another; none unless the users' rule has room. */
  readonly afterMove?: number;
}

export interface TokenBucket {
  tokens: number;
  updatedAtMs: number;
}

/** The longest time an entry may hold on to drawn tokens, in milliseconds. */
export const MAX_GRANT_LIFETIME_MS = 250;

/** The smallest burst of any customer, in tokens. */
const MIN_BURST = 2;
/** The smallest burst as a time at the customer's rate, in seconds: tokens must outlive their way. */
const MIN_BURST_SECONDS = 0.1;

/** The smallest burst that a customer of this rate may have: with less, tokens would expire underway. */
export function smallestBurst(ratePerSecond: number): number {
  return Math.max(MIN_BURST, Math.ceil(ratePerSecond * MIN_BURST_SECONDS) + 1);
}

/**
 * How long drawn tokens stay valid at an entry. Short enough that what flows in meanwhile is at most
 * half of what the burst is above one: the bucket is made smaller by that amount.
 */
export function grantLifetimeMs(limit: RateLimit): number {
  const halfBurstMs = ((limit.burst - 1) / (2 * limit.ratePerSecond)) * 1000;
  return Math.min(MAX_GRANT_LIFETIME_MS, halfBurstMs);
}

/**
 * Size of the bucket at the home. Tokens may be spent up to one grant lifetime after they were
 * drawn, so the size is reduced by what flows in during that time: over any window, what is spent
 * stays within burst plus rate times window.
 */
export function bucketCapacity(limit: RateLimit): number {
  return limit.burst - (limit.ratePerSecond * grantLifetimeMs(limit)) / 1000;
}

/**
 * A bucket of a home that follows on another: what that one has granted is not known, so it is taken to
 * be the whole burst.
 */
export function createMovedBucket(limit: RateLimit, nowMs: number): TokenBucket {
  const tokens = Math.min(limit.afterMove ?? 0, bucketCapacity(limit));
  return { tokens, updatedAtMs: nowMs };
}

/** A bucket that starts full, for a customer that has never been served before. */
export function createFullBucket(limit: RateLimit, nowMs: number): TokenBucket {
  return { tokens: bucketCapacity(limit), updatedAtMs: nowMs };
}

/**
 * Takes up to `wanted` whole tokens and returns how many were taken.
 *
 * @example
 * drawTokens(bucket, { ratePerSecond: 100, burst: 50 }, 3, nowMs); // 0 to 3
 */
export function drawTokens(
  bucket: TokenBucket,
  limit: RateLimit,
  wanted: number,
  nowMs: number,
): number {
  refill(bucket, limit, nowMs);
  const taken = Math.min(wanted, Math.floor(bucket.tokens));
  bucket.tokens -= taken;
  return taken;
}

/** Puts tokens back that an entry did not spend before they expired. */
export function returnTokens(
  bucket: TokenBucket,
  limit: RateLimit,
  count: number,
  nowMs: number,
): void {
  refill(bucket, limit, nowMs);
  bucket.tokens = Math.min(bucketCapacity(limit), bucket.tokens + count);
}

/** Milliseconds until `wanted` tokens are there; zero when they are there now. */
export function waitForTokensMs(
  bucket: TokenBucket,
  limit: RateLimit,
  wanted: number,
  nowMs: number,
): number {
  refill(bucket, limit, nowMs);
  const missing = wanted - bucket.tokens;
  return missing <= 0 ? 0 : (missing / limit.ratePerSecond) * 1000;
}

function refill(bucket: TokenBucket, limit: RateLimit, nowMs: number): void {
  const elapsedMs = Math.max(0, nowMs - bucket.updatedAtMs);
  const inflow = (elapsedMs / 1000) * limit.ratePerSecond;
  bucket.tokens = Math.min(bucketCapacity(limit), bucket.tokens + inflow);
  bucket.updatedAtMs = Math.max(bucket.updatedAtMs, nowMs);
}
