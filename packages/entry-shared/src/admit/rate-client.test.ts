import { toCustomerName, type TokenGrant } from '@bramleykeel/core';
import { describe, expect, it } from 'vitest';
import { admit, createRateClient, takeTokens } from './rate-client.js';

const customer = toCustomerName('tuulgan');
const LIFETIME_MS = 250;

/** Creates a client whose draws are answered after the given delays; the last delay repeats. */
function createClientWithDelays(delaysMs: readonly number[], granted: number, retryAfterMs = 20) {
  let draws = 0;
  return createRateClient({
    rateWaitMs: 500,
    homeWaitMs: () => 2_000,
    draw: () => {
      const delayMs = delaysMs[Math.min(draws, delaysMs.length - 1)] ?? 0;
      draws += 1;
      const grant: TokenGrant = {
        granted,
        epoch: 1,
        drawNumber: draws,
        lifetimeMs: LIFETIME_MS,
        retryAfterMs,
      };
      return new Promise((resolve) => {
        setTimeout(resolve, delayMs, grant);
      });
    },
  });
}

describe('rate admission', () => {
  it.each([
    { name: 'the home answers without delay', delaysMs: [5], granted: 1, expected: undefined },
    { name: 'the home has no tokens', delaysMs: [5], granted: 0, expected: 'rate-exceeded' },
    {
      name: 'the first grants expire in transit',
      delaysMs: [300, 300, 5],
      granted: 1,
      expected: undefined,
    },
    {
      name: 'all grants expire in transit',
      delaysMs: [300],
      granted: 1,
      expected: 'rate-home-unreachable',
    },
  ])('when $name: $expected', async ({ delaysMs, granted, expected }) => {
    const admitted = admit(createClientWithDelays(delaysMs, granted), customer, 1, undefined);
    expect((await admitted)?.reason).toBe(expected);
  });

  it('tells each refused caller the time of another token', async () => {
    const exhausted = createClientWithDelays([1], 0, 300);
    const options = { ...exhausted.options, ratePerSecond: () => 10 };
    const client = createRateClient(options);
    const decisions = await Promise.all(
      [1, 2, 3].map(() => Promise.resolve(takeTokens(client, customer, 1, undefined))),
    );
    const [first = 0, second = 0, third = 0] = decisions.map((decision) =>
      decision.kind === 'refused' ? decision.retryAfterMs : undefined,
    );
    expect(first).toBeLessThanOrEqual(300);
    expect(second - first).toBeGreaterThanOrEqual(99);
    expect(third - second).toBeGreaterThanOrEqual(99);
  });

  // Guards against requests without an answer: a rate of zero has its next token in 1,000 s.
  it('refuses a request in time, however late the next token comes', async () => {
    const startedAtMs = performance.now();
    const client = createClientWithDelays([5], 0, 1_000_000);
    expect((await admit(client, customer, 1, undefined))?.reason).toBe('rate-exceeded');
    expect(performance.now() - startedAtMs).toBeLessThan(1_000);
  });
});
