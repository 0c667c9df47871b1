/** Token buckets of the customers whose home is this entry. A customer's tokens are granted by its home alone. */
import {
  createFullBucket,
  createMovedBucket,
  type CustomerName,
  drawTokens,
  grantLifetimeMs,
  type RateLimit,
  returnTokens,
  tokensAt,
  type TokenBucket,
  type TokenRequest,
  type TokenGrant,
  waitForTokensMs,
} from '@bramleykeel/core';

interface Drawn {
  readonly granted: number;
  readonly drawNumber: number;
}

/** A draw that waits for its bucket to refill. */
interface WaitingDraw {
  readonly wanted: number;
  readonly deadlineMs: number;
  readonly resolve: (drawn: Drawn) => void;
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
 * How long a draw waits for tokens. Draws are queued and served in order of arrival: if they were answered
 * at once, entries near the home would retry sooner than distant ones and take all tokens.
 */
const DRAW_WAIT_MS = 50;
const MIN_TIMER_MS = 2;

export function createRateHomes(): RateHomes {
  return { buckets: new Map() };
}

/** The epoch under which this entry is a customer's home. */
export interface HeldHome {
  readonly epoch: number;
  /** For how long the former home has certainly granted no tokens, in milliseconds. */
  readonly formerHomeEndedForMs: number;
}

/**
 * Answers a draw.
 *
 * @returns `undefined` if the limit is unknown, or if this entry is not the home under the epoch of the draw
 */
export async function answerDraw(
  homes: RateHomes,
  draw: TokenRequest,
  limit: RateLimit | undefined,
  held: HeldHome | undefined,
): Promise<TokenGrant | undefined> {
  if (!limit || held?.epoch !== draw.epoch) return undefined;
  const nowMs = performance.now();
  const home = getOrCreateHomeBucket(homes, draw.customer, limit, held, nowMs);
  home.limit = limit;
  for (const returned of draw.returned) {
    if (returned.epoch === home.epoch) returnTokens(home.bucket, limit, returned, nowMs);
  }
  const { granted, drawNumber } = await drawInOrder(home, draw.wanted);
  const retryAfterMs =
    granted >= draw.wanted ? 0 : waitForTokensMs(home.bucket, home.limit, 1, performance.now());
  const lifetimeMs = grantLifetimeMs(home.limit);
  return { granted, epoch: home.epoch, drawNumber, lifetimeMs, retryAfterMs };
}

/** State of a customer's bucket. */
export interface RateHomeState {
  readonly epoch: number;
  readonly limit: RateLimit;
  /** Tokens in the bucket now; `null` before the first draw. */
  readonly tokens: number | null;
  readonly waitingDraws: number;
}

/** Describes the bucket of a customer whose home is this entry, without drawing from it. */
export function describeRateHome(
  { buckets }: RateHomes,
  customer: CustomerName,
  limit: RateLimit,
  epoch: number,
): RateHomeState {
  const home = buckets.get(customer);
  if (home?.epoch !== epoch) return { epoch, limit, tokens: null, waitingDraws: 0 };
  const tokens = tokensAt(home.bucket, limit, performance.now());
  return { epoch, limit, tokens, waitingDraws: home.waiting.length };
}

function drawInOrder(home: HomeBucket, wanted: number): Promise<Drawn> | Drawn {
  const nowMs = performance.now();
  if (home.waiting.length === 0) {
    const drawn = drawNow(home, wanted, nowMs);
    if (drawn.granted > 0 || wanted === 0) return drawn;
  }
  return new Promise((resolve) => {
    home.waiting.push({ wanted, deadlineMs: nowMs + DRAW_WAIT_MS, resolve });
    scheduleServing(home);
  });
}

function drawNow(home: HomeBucket, wanted: number, nowMs: number): Drawn {
  const granted = drawTokens(home.bucket, home.limit, wanted, nowMs);
  return { granted, drawNumber: granted > 0 ? home.bucket.drawNumber : 0 };
}

function scheduleServing(home: HomeBucket): void {
  const [first] = home.waiting;
  if (home.timer || !first) return;
  const nowMs = performance.now();
  const refillInMs = waitForTokensMs(home.bucket, home.limit, 1, nowMs);
  const timerMs = Math.min(refillInMs, first.deadlineMs - nowMs);
  home.timer = setTimeout(
    () => {
      home.timer = undefined;
      serveWaitingDraws(home);
      scheduleServing(home);
    },
    Math.max(MIN_TIMER_MS, timerMs),
  );
}

function serveWaitingDraws(home: HomeBucket): void {
  for (let first = home.waiting[0]; first; first = home.waiting[0]) {
    const nowMs = performance.now();
    const drawn = drawNow(home, first.wanted, nowMs);
    if (drawn.granted === 0 && nowMs < first.deadlineMs) return;
    home.waiting.shift();
    first.resolve(drawn);
  }
}

/**
 * Returns the customer's bucket under an epoch. Under later epochs than the first it starts with what has been
 * refilled since the earlier home ended, because that may have granted the whole burst just before.
 */
function getOrCreateHomeBucket(
  homes: RateHomes,
  customer: CustomerName,
  limit: RateLimit,
  { epoch, formerHomeEndedForMs }: HeldHome,
  nowMs: number,
): HomeBucket {
  const existing = homes.buckets.get(customer);
  if (existing?.epoch === epoch) return existing;
  const bucket =
    epoch === 1
      ? createFullBucket(limit, nowMs)
      : createMovedBucket(limit, formerHomeEndedForMs, nowMs);
  const created: HomeBucket = { epoch, bucket, limit, waiting: [], timer: undefined };
  homes.buckets.set(customer, created);
  return created;
}
