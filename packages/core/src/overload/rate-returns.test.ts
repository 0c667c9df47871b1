import { describe, expect, it } from 'vitest';
import { createRateReturns, MAX_RATE_RETURN_MS, promiseRateReturn } from './rate-returns.js';

describe('returns of callers that exceed their rate', () => {
  const at100 = (refillAtMs: number) => ({ refillAtMs, ratePerSecond: 100 });

  // Guards against callers that are all told the same time and are refused together again.
  it('are promised one for each token, from the next refill on', () => {
    const returns = createRateReturns();
    const promised = Array.from({ length: 4 }, () => promiseRateReturn(returns, at100(40), 0));
    expect(promised).toEqual([40, 50, 60, 70]);
    expect(promiseRateReturn(returns, at100(40), 30)).toBe(50);
  });

  it('start again at the next refill once the promised ones are over', () => {
    const returns = createRateReturns();
    promiseRateReturn(returns, at100(40), 0);
    expect(promiseRateReturn(returns, at100(900), 800)).toBe(100);
    expect(promiseRateReturn(createRateReturns(), at100(0), 800)).toBe(10);
  });

  it.each([
    { name: 'a rate of zero', ratePerSecond: 0, refillAtMs: 1_000_000 },
    { name: 'more callers than fit', ratePerSecond: 1, refillAtMs: 0 },
  ])('are never later than the limit with $name', ({ ratePerSecond, refillAtMs }) => {
    const returns = createRateReturns();
    for (let count = 0; count < 10; count += 1) {
      const afterMs = promiseRateReturn(returns, { refillAtMs, ratePerSecond }, 0);
      expect(afterMs).toBeLessThanOrEqual(MAX_RATE_RETURN_MS);
    }
  });
});
