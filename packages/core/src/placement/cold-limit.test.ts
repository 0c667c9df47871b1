import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { coldAllowance, coldLimit, recordColdStarts } from './cold-limit.js';

describe('coldLimit', () => {
  it.each([
    { rate: 20, coldExcess: 1.5, coldSlack: 5, expected: 22.5 },
    { rate: 20, coldExcess: 1, coldSlack: 0, expected: 20 },
    { rate: 20, coldExcess: 0.5, coldSlack: 2, expected: 12 },
  ])('of $rate with $coldExcess and $coldSlack is $expected', ({ rate, expected, ...bounds }) => {
    expect(coldLimit(rate, bounds)).toBe(expected);
  });
});

describe('the allowance of a cold server', () => {
  it.each([
    { name: 'is the limit at first', startsMs: [], nowMs: 500, expected: 3 },
    { name: 'shrinks with each start', startsMs: [100, 200], nowMs: 500, expected: 1 },
    { name: 'is zero at the limit', startsMs: [100, 200, 300], nowMs: 500, expected: 0 },
    {
      name: 'returns a second after each start',
      startsMs: [100, 200, 300],
      nowMs: 1_200,
      expected: 2,
    },
    { name: 'is never negative', startsMs: [1, 2, 3, 4], nowMs: 500, expected: 0 },
  ])('$name', ({ startsMs, nowMs, expected }) => {
    expect(coldAllowance(startsMs, 3.5, nowMs)).toBe(expected);
  });

  // Guards against a burst at the border of two fixed windows.
  it('keeps to the limit in any window of a second', () => {
    const gaps = fc.array(fc.integer({ min: 0, max: 400 }), { minLength: 1, maxLength: 80 });
    fc.assert(
      fc.property(gaps, fc.integer({ min: 1, max: 12 }), (gapsMs, limit) => {
        const counted: number[] = [];
        const sent: number[] = [];
        let nowMs = 0;
        for (const gapMs of gapsMs) {
          nowMs += gapMs;
          const count = Math.min(3, coldAllowance(counted, limit, nowMs));
          recordColdStarts(counted, count, nowMs);
          recordColdStarts(sent, count, nowMs);
        }
        for (const fromMs of sent) {
          const inWindow = sent.filter((atMs) => atMs >= fromMs && atMs < fromMs + 1_000);
          expect(inWindow.length).toBeLessThanOrEqual(limit);
        }
      }),
    );
  });
});
