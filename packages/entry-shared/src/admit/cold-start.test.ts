import {
  admissionWaitsAt,
  COLD_START_MS,
  type TokenGrant,
  toCustomerName,
} from '@bramleykeel/core';
import { setTimeout as delay } from 'node:timers/promises';
import { describe, expect, it } from 'vitest';
import { admit, createRateClient } from './rate-client.js';

/** Pattern: cold start. Everything has lost power; callers are back before the homes of their rates are. */

const customer = toCustomerName('tuulgan');

/** Requests that arrive each 20 ms from the start of an entry, while the home is unreachable until `homeFromMs`. */
async function play(ageAtStartMs: number, homeFromMs: number): Promise<readonly string[]> {
  const startedAtMs = performance.now() - ageAtStartMs;
  const ageMs = () => performance.now() - startedAtMs;
  const grant: TokenGrant = {
    granted: 100,
    epoch: 1,
    drawNumber: 1,
    lifetimeMs: 250,
    retryAfterMs: 20,
  };
  const client = createRateClient({
    rateWaitMs: 100,
    homeWaitMs: () => admissionWaitsAt(ageMs()).homeMs,
    draw: () => Promise.resolve(ageMs() - ageAtStartMs < homeFromMs ? undefined : grant),
  });
  const outcomes: Promise<string>[] = [];
  for (let index = 0; index < 50; index += 1) {
    const admission = Promise.resolve(admit(client, customer, 1, undefined));
    outcomes.push(admission.then((refusal) => refusal?.reason ?? 'admitted'));
    await delay(20);
  }
  return Promise.all(outcomes);
}

describe.concurrent('requests without a home of their rate', () => {
  it('wait for it at an entry that has just started, until it has started too', async () => {
    expect(new Set(await play(0, 700))).toEqual(new Set(['admitted']));
  });

  it('are refused after 0.4 s at an entry that has run for a while', async () => {
    const outcomes = await play(COLD_START_MS, 700);
    const refusedCount = outcomes.filter((outcome) => outcome === 'rate-home-unreachable').length;
    expect(refusedCount).toBeGreaterThan(8);
    expect(refusedCount).toBeLessThan(22);
  });

  it('are refused after 0.9 s if the home does not start', async () => {
    expect(new Set(await play(0, 60_000))).toEqual(new Set(['rate-home-unreachable']));
  });
});
