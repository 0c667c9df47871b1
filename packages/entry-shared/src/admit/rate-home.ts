/** Homes of customers' rates on this entry: the only place where a customer's tokens come from. */
import {
  createFullBucket,
  createMovedBucket,
  type CustomerName,
  drawTokens,
  grantLifetimeMs,
  type RateLimit,
  returnTokens,
  type TokenBucket,
  type TokenRequest,
  type TokenGrant,
  waitForTokensMs,
} from '@bramleykeel/core';

/** A draw that waits for tokens to flow in. */
interface WaitingDraw {
  readonly wanted: number;
  readonly untilMs: number;
  readonly resolve: (granted: number) => void;
}

interface HomeBucket {
  readonly epoch: number;
  readonly bucket: TokenBucket;
  limit: RateLimit;
  readonly waiting: WaitingDraw[];
  timer: NodeJS.Timeout | undefined;
}

export interface RateHomes {
  readonly buckets: Map<CustomerName, HomeBucket>;
}

/**
 * A draw waits this long for tokens, in milliseconds, and draws are served in the order of their
 * arrival: otherwise entries near the home would ask again sooner than others and get everything.
 */
const DRAW_WAIT_MS = 50;
const MIN_PAUSE_MS = 2;

export function createRateHomes(): RateHomes {
  return { buckets: new Map() };
}

/**
 * Answers a draw. `heldEpoch` is the epoch under which this entry is the home now.
 *
 * @returns `undefined` when this entry is not the home, or no longer under the epoch of the draw
 */
export async function answerDraw(
  homes: RateHomes,
  draw: TokenRequest,
  limit: RateLimit | undefined,
  heldEpoch: number | undefined,
): Promise<TokenGrant | undefined> {
  if (!limit || heldEpoch === undefined || heldEpoch !== draw.epoch) return undefined;
  const nowMs = performance.now();
  const home = homeOf(homes, draw.customer, limit, heldEpoch, nowMs);
  home.limit = limit;
  if (draw.returned > 0) returnTokens(home.bucket, limit, draw.returned, nowMs);
  const granted = await takeInTurn(home, draw.wanted);
  const retryAfterMs =
    granted >= draw.wanted ? 0 : waitForTokensMs(home.bucket, home.limit, 1, performance.now());
  return { granted, lifetimeMs: grantLifetimeMs(home.limit), retryAfterMs };
}

function takeInTurn(home: HomeBucket, wanted: number): Promise<number> | number {
  const nowMs = performance.now();
  if (home.waiting.length === 0) {
    const granted = drawTokens(home.bucket, home.limit, wanted, nowMs);
    if (granted > 0 || wanted === 0) return granted;
  }
  return new Promise((resolve) => {
    home.waiting.push({ wanted, untilMs: nowMs + DRAW_WAIT_MS, resolve });
    serveLater(home);
  });
}

function serveLater(home: HomeBucket): void {
  const [first] = home.waiting;
  if (home.timer || !first) return;
  const nowMs = performance.now();
  const flowsInMs = waitForTokensMs(home.bucket, home.limit, 1, nowMs);
  const pauseMs = Math.min(flowsInMs, first.untilMs - nowMs);
  home.timer = setTimeout(
    () => {
      home.timer = undefined;
      serveWaiting(home);
      serveLater(home);
    },
    Math.max(MIN_PAUSE_MS, pauseMs),
  );
}

function serveWaiting(home: HomeBucket): void {
  for (let first = home.waiting[0]; first; first = home.waiting[0]) {
    const nowMs = performance.now();
    const granted = drawTokens(home.bucket, home.limit, first.wanted, nowMs);
    if (granted === 0 && nowMs < first.untilMs) return;
    home.waiting.shift();
    first.resolve(granted);
  }
}

/** An earlier home may just have granted the whole burst, so a later one starts with next to nothing. */
function homeOf(
  homes: RateHomes,
  customer: CustomerName,
  limit: RateLimit,
  epoch: number,
  nowMs: number,
): HomeBucket {
  const known = homes.buckets.get(customer);
  if (known?.epoch === epoch) return known;
  const bucket = epoch === 1 ? createFullBucket(limit, nowMs) : createMovedBucket(limit, nowMs);
  const created: HomeBucket = { epoch, bucket, limit, waiting: [], timer: undefined };
  homes.buckets.set(customer, created);
  return created;
}
