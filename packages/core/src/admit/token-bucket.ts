/** Token bucket for a customer's rate limit, kept by the one entry that is the customer's home. */

export interface RateLimit {
  /** Tokens added per second. */
  readonly ratePerSecond: number;
  /** Maximum number of tokens that may be spent at once after an idle period. */
  readonly burst: number;
  /**
   * Tokens that a home starts with when it takes over from another; default 0. Set only if the rate
   * rule tolerates the excess.
   */
  readonly afterMove?: number;
}

export interface TokenBucket {
  tokens: number;
  updatedAtMs: number;
  /** Number of the newest draw that took tokens; draws are numbered from 1. */
  drawNumber: number;
  /**
   * Levels before draws, oldest first, without those that a later draw found as high. They limit what a returned
   * token may add: the bucket must not hold more than it would hold if the token had not been drawn.
   */
  peaks: LevelPeak[];
  /** Tokens of draws before this one are no longer credited. */
  oldestCreditedDraw: number;
}

/** The level of a bucket right before a draw. */
export interface LevelPeak {
  readonly drawNumber: number;
  readonly atMs: number;
  level: number;
}

/** The longest time for which an entry may keep drawn tokens, in milliseconds. */
export const MAX_GRANT_LIFETIME_MS = 250;

/** Time for which draws are remembered; tokens returned later are lost. Statement timeouts are 0.8 to 2 s. In milliseconds. */
export const RETURN_LIFETIME_MS = 3_000;

/** The smallest burst of any customer, in tokens. */
const MIN_BURST = 2;
/** The smallest burst, as seconds at the customer's rate; tokens must not expire in transit. */
const MIN_BURST_SECONDS = 0.1;

/** The smallest burst allowed at this rate, in tokens; with less, tokens would expire in transit. */
export function smallestBurst(ratePerSecond: number): number {
  return Math.max(MIN_BURST, Math.ceil(ratePerSecond * MIN_BURST_SECONDS) + 1);
}

/**
 * How long drawn tokens stay valid at an entry, in milliseconds. Limited so that the refill during
 * this time is at most half of `burst - 1`, because {@link bucketCapacity} is reduced by that refill.
 */
export function grantLifetimeMs(limit: RateLimit): number {
  const halfBurstMs = ((limit.burst - 1) / (2 * limit.ratePerSecond)) * 1000;
  return Math.min(MAX_GRANT_LIFETIME_MS, halfBurstMs);
}

/**
 * Capacity of the bucket at the home, in tokens. Tokens may be spent up to one grant lifetime after
 * they were drawn, so the capacity is reduced by the refill during that time. This keeps the tokens
 * spent in any window within burst plus rate times window.
 */
export function bucketCapacity(limit: RateLimit): number {
  return limit.burst - (limit.ratePerSecond * grantLifetimeMs(limit)) / 1000;
}

/**
 * Creates the bucket of a home that takes over from another. The tokens granted by the previous home
 * are unknown, so the whole burst is assumed spent when it ended. The bucket starts with `afterMove`
 * tokens and what has been refilled since then.
 *
 * @param formerEndedForMs for how long the previous home has certainly granted nothing, in milliseconds
 */
export function createMovedBucket(
  limit: RateLimit,
  formerEndedForMs: number,
  nowMs: number,
): TokenBucket {
  const refilled = (formerEndedForMs / 1000) * limit.ratePerSecond;
  const tokens = Math.min((limit.afterMove ?? 0) + refilled, bucketCapacity(limit));
  return createBucket(tokens, nowMs);
}

/** Creates a full bucket, for a customer that has not been served before. */
export function createFullBucket(limit: RateLimit, nowMs: number): TokenBucket {
  return createBucket(bucketCapacity(limit), nowMs);
}

function createBucket(tokens: number, nowMs: number): TokenBucket {
  return { tokens, updatedAtMs: nowMs, drawNumber: 0, peaks: [], oldestCreditedDraw: 0 };
}

/**
 * Draws up to `wanted` whole tokens and returns how many were drawn. If any were, the number of the draw is the
 * bucket's `drawNumber` then.
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
  const drawn = Math.min(wanted, Math.floor(bucket.tokens));
  if (drawn <= 0) return 0;
  recordPeak(bucket, nowMs);
  bucket.tokens -= drawn;
  return drawn;
}

/**
 * Returns tokens of an earlier draw that no operation has used. Credits at most what the bucket could have held at
 * all times since that draw, so that the level is as if the tokens had never been drawn. Crediting them in full
 * would allow a burst of returned tokens on top of a burst of refilled ones.
 *
 * @returns the number of tokens credited
 * @example
 * const drawn = drawTokens(bucket, limit, 5, nowMs);
 * returnTokens(bucket, limit, { drawNumber: bucket.drawNumber, count: drawn }, nowMs + 20); // 5
 */
export function returnTokens(
  bucket: TokenBucket,
  limit: RateLimit,
  { drawNumber, count }: { readonly drawNumber: number; readonly count: number },
  nowMs: number,
): number {
  refill(bucket, limit, nowMs);
  forgetOldDraws(bucket, nowMs);
  if (drawNumber < 1 || drawNumber < bucket.oldestCreditedDraw) return 0;
  const later = bucket.peaks.filter((peak) => peak.drawNumber > drawNumber);
  const highest = Math.max(bucket.tokens, ...later.map(({ level }) => level));
  const credited = Math.max(0, Math.min(count, bucketCapacity(limit) - highest));
  for (const peak of later) peak.level += credited;
  bucket.tokens += credited;
  return credited;
}

function recordPeak(bucket: TokenBucket, nowMs: number): void {
  forgetOldDraws(bucket, nowMs);
  const { peaks, tokens } = bucket;
  bucket.drawNumber += 1;
  while ((peaks.at(-1)?.level ?? Number.POSITIVE_INFINITY) <= tokens) peaks.pop();
  peaks.push({ drawNumber: bucket.drawNumber, atMs: nowMs, level: tokens });
}

function forgetOldDraws(bucket: TokenBucket, nowMs: number): void {
  const { peaks } = bucket;
  for (let first = peaks[0]; first; first = peaks[0]) {
    if (nowMs - first.atMs <= RETURN_LIFETIME_MS) return;
    bucket.oldestCreditedDraw = first.drawNumber;
    peaks.shift();
  }
}

/** Milliseconds until `wanted` tokens are available; zero if they already are. */
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

/** The tokens that a bucket has at a time, without drawing any. */
export function tokensAt(bucket: TokenBucket, limit: RateLimit, nowMs: number): number {
  const elapsedMs = Math.max(0, nowMs - bucket.updatedAtMs);
  const inflow = (elapsedMs / 1000) * limit.ratePerSecond;
  return Math.min(bucketCapacity(limit), bucket.tokens + inflow);
}

function refill(bucket: TokenBucket, limit: RateLimit, nowMs: number): void {
  bucket.tokens = tokensAt(bucket, limit, nowMs);
  bucket.updatedAtMs = Math.max(bucket.updatedAtMs, nowMs);
}
