import { toCustomerName, type TokenGrant } from '@bramleykeel/core';
import { describe, expect, it } from 'vitest';
import { admit, createRateClient } from './rate-client.js';

const customer = toCustomerName('tuulgan');
const LIFETIME_MS = 250;

/** A home whose answers take the given times, the last one for good. */
function clientOf(tripMs: readonly number[], granted: number) {
  let draws = 0;
  return createRateClient({
    rateWaitMs: 500,
    homeWaitMs: 2_000,
    draw: () => {
      const delayMs = tripMs[Math.min(draws, tripMs.length - 1)] ?? 0;
      draws += 1;
      const grant: TokenGrant = { granted, lifetimeMs: LIFETIME_MS, retryAfterMs: 20 };
      return new Promise((resolve) => {
        setTimeout(resolve, delayMs, grant);
      });
    },
  });
}

describe('admission by rate', () => {
  it.each([
    { name: 'the home answers at once', tripMs: [5], granted: 1, expected: undefined },
    { name: 'the home has nothing', tripMs: [5], granted: 0, expected: 'rate-exceeded' },
    {
      name: 'tokens expired on their way at first',
      tripMs: [300, 300, 5],
      granted: 1,
      expected: undefined,
    },
    {
      name: 'tokens always expire on their way',
      tripMs: [300],
      granted: 1,
      expected: 'rate-home-unreachable',
    },
  ])('when $name: $expected', async ({ tripMs, granted, expected }) => {
    const admitted = admit(clientOf(tripMs, granted), customer, 1, undefined);
    expect((await admitted)?.reason).toBe(expected);
  });
});
