import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import {
  bucketCapacity,
  createMovedBucket,
  createFullBucket,
  drawTokens,
  grantLifetimeMs,
  type RateLimit,
  returnTokens,
  smallestBurst,
  type TokenBucket,
  waitForTokensMs,
} from './token-bucket.js';

describe('token bucket', () => {
  it('never grants more than it holds, and returns the wait for more', () => {
    const limit = { ratePerSecond: 100, burst: 100 };
    const bucket = createFullBucket(limit, 0);
    expect(drawTokens(bucket, limit, 1_000, 0)).toBe(Math.floor(bucketCapacity(limit)));
    expect(waitForTokensMs(bucket, limit, 1, 0)).toBeCloseTo(10);
    expect(drawTokens(bucket, limit, 5, 10)).toBe(1);
  });

  it('does not refill when the clock goes back', () => {
    const limit = { ratePerSecond: 100, burst: 50 };
    const bucket = createMovedBucket(limit, 0, 1_000);
    expect(drawTokens(bucket, limit, 5, 0)).toBe(0);
    expect(drawTokens(bucket, limit, 5, 1_000)).toBe(0);
  });

  it('serves the smallest customer that the settings allow', () => {
    for (const ratePerSecond of [0.1, 1, 10, 99, 1_000, 100_000]) {
      const limit = { ratePerSecond, burst: smallestBurst(ratePerSecond) };
      expect(drawTokens(createFullBucket(limit, 0), limit, 1, 0)).toBe(1);
      expect(grantLifetimeMs(limit)).toBeGreaterThanOrEqual(40);
    }
  });

  /** Random sequences of draws, returns and late spending, with changes of the home in between. */
  it('keeps the tokens spent in any window within burst plus rate times window', () => {
    const limitArbitrary = fc
      .record({
        ratePerSecond: fc.integer({ min: 1, max: 2_000 }),
        extraBurst: fc.nat(2_000),
      })
      .map(({ ratePerSecond, extraBurst }) => {
        return { ratePerSecond, burst: smallestBurst(ratePerSecond) + extraBurst };
      });
    const actionArbitrary = fc.record({
      afterMs: fc.integer({ min: 0, max: 1_500 }),
      wanted: fc.integer({ min: 0, max: 300 }),
      spendDelayShare: fc.double({ min: 0, max: 1, noNaN: true }),
      returnShare: fc.double({ min: 0, max: 1, noNaN: true }),
      lostChance: fc.nat(20),
      endedShare: fc.double({ min: 0, max: 1, noNaN: true }),
    });
    const property = fc.property(
      limitArbitrary,
      fc.array(actionArbitrary, { minLength: 1, maxLength: 60 }),
      (limit, actions) => {
        const spent = spendAll(limit, actions);
        expect(worstExcess(limit, spent)).toBeLessThanOrEqual(1e-6);
      },
    );
    fc.assert(property, { seed: 20_261_204, numRuns: 300 });
  });
});

interface Spending {
  readonly atMs: number;
  readonly count: number;
}

interface Action {
  readonly afterMs: number;
  readonly wanted: number;
  readonly spendDelayShare: number;
  readonly returnShare: number;
  readonly lostChance: number;
  /** Part of the time since the last draw for which a lost home is known to have ended. */
  readonly endedShare: number;
}

function spendAll(limit: RateLimit, actions: readonly Action[]): Spending[] {
  let bucket: TokenBucket = createFullBucket(limit, 0);
  const spent: Spending[] = [];
  let nowMs = 0;
  for (const action of actions) {
    nowMs += action.afterMs;
    if (action.lostChance === 0)
      bucket = createMovedBucket(limit, action.afterMs * action.endedShare, nowMs);
    const granted = drawTokens(bucket, limit, action.wanted, nowMs);
    const returned = Math.floor(granted * action.returnShare);
    const lifetimeMs = grantLifetimeMs(limit);
    const delayMs = lifetimeMs * action.spendDelayShare;
    if (granted > returned) spent.push({ atMs: nowMs + delayMs, count: granted - returned });
    if (returned > 0)
      returnTokens(bucket, limit, { drawNumber: bucket.drawNumber, count: returned }, nowMs);
  }
  return spent.sort((left, right) => left.atMs - right.atMs);
}

/** The largest excess of any window over burst plus rate times window, in tokens. */
function worstExcess(limit: RateLimit, spent: readonly Spending[]): number {
  let worst = Number.NEGATIVE_INFINITY;
  for (let first = 0; first < spent.length; first += 1) {
    let sum = 0;
    for (let last = first; last < spent.length; last += 1) {
      sum += spent[last]?.count ?? 0;
      const windowMs = (spent[last]?.atMs ?? 0) - (spent[first]?.atMs ?? 0);
      worst = Math.max(worst, sum - limit.burst - (limit.ratePerSecond * windowMs) / 1_000);
    }
  }
  return worst;
}
