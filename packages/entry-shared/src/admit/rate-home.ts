/** Homes of customers' rates on this entry: the only place where a customer's tokens come from. */
import {
  createEmptyBucket,
  createFullBucket,
  type CustomerName,
  drawTokens,
  grantLifetimeMs,
  type RateLimit,
  returnTokens,
  type TokenBucket,
  type TokenDraw,
  type TokenGrant,
  waitForTokensMs,
} from '@bramleykeel/core';

interface HomeBucket {
  readonly epoch: number;
  readonly bucket: TokenBucket;
}

export interface RateHomes {
  readonly buckets: Map<CustomerName, HomeBucket>;
}

export function createRateHomes(): RateHomes {
  return { buckets: new Map() };
}

/**
 * Answers a draw. `heldEpoch` is the epoch under which this entry is the home now.
 *
 * @returns `undefined` when this entry is not the home, or no longer under the epoch of the draw
 */
export function answerDraw(
  homes: RateHomes,
  draw: TokenDraw,
  setting: RateLimit | undefined,
  heldEpoch: number | undefined,
  nowMs: number,
): TokenGrant | undefined {
  if (!setting || heldEpoch === undefined || heldEpoch !== draw.epoch) return undefined;
  const bucket = bucketOf(homes, draw.customer, setting, heldEpoch, nowMs);
  if (draw.returned > 0) returnTokens(bucket, setting, draw.returned, nowMs);
  const granted = drawTokens(bucket, setting, draw.wanted, nowMs);
  const retryAfterMs = granted >= draw.wanted ? 0 : waitForTokensMs(bucket, setting, 1, nowMs);
  return { granted, lifetimeMs: grantLifetimeMs(setting), retryAfterMs };
}

/** A later home starts empty, because an earlier one may just have granted the whole burst. */
function bucketOf(
  homes: RateHomes,
  customer: CustomerName,
  setting: RateLimit,
  epoch: number,
  nowMs: number,
): TokenBucket {
  const known = homes.buckets.get(customer);
  if (known?.epoch === epoch) return known.bucket;
  const bucket = epoch === 1 ? createFullBucket(setting, nowMs) : createEmptyBucket(nowMs);
  homes.buckets.set(customer, { epoch, bucket });
  return bucket;
}
