import { type TokenRequest, toCustomerName } from '@bramleykeel/core';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { createRateClient, type RateClient, returnReceipt, takeTokens } from './rate-client.js';
import { answerDraw, createRateHomes } from './rate-home.js';

/**
 * Pattern: retry storm after a refusal. A customer within its rate is refused by a loaded owner, and its callers
 * retry each request twice.
 */

// Fake timers do not replace this module's functions.
vi.mock('node:timers/promises', () => ({
  setTimeout: (ms: number) => new Promise((resolve) => setTimeout(resolve, ms)),
}));

const customer = toCustomerName('tuulgan');
const limit = { ratePerSecond: 100, burst: 40 };
const held = { epoch: 1, formerHomeEndedForMs: 0 };
const TRANSIT_MS = 2;
const REFUSED_AFTER_MS = 20;
const RETRY_AFTER_MS = 200;
const ATTEMPTS = 3;

const sleep = (ms: number) => new Promise((resolve) => setTimeout(resolve, ms));

function createConnectedClient(): RateClient {
  const homes = createRateHomes();
  return createRateClient({
    rateWaitMs: 100,
    homeWaitMs: () => 500,
    draw: async (draw: Omit<TokenRequest, 'epoch'>) => {
      await sleep(TRANSIT_MS);
      const grant = await answerDraw(homes, { ...draw, epoch: 1 }, limit, held);
      await sleep(TRANSIT_MS);
      return grant;
    },
  });
}

interface Tally {
  attempts: number;
  rateRefusals: number;
  served: number;
}

/** One request: the owner refuses it until `overUntilMs`, and the caller retries after each refusal. */
async function request(
  client: RateClient,
  tally: Tally,
  overUntilMs: number,
  areReturned: boolean,
): Promise<void> {
  for (let attempt = 0; attempt < ATTEMPTS; attempt += 1) {
    tally.attempts += 1;
    const decision = await takeTokens(client, customer, 1, undefined);
    if (decision.kind === 'refused') tally.rateRefusals += 1;
    else {
      await sleep(REFUSED_AFTER_MS);
      if (performance.now() >= overUntilMs) {
        tally.served += 1;
        return;
      }
      if (areReturned) returnReceipt(client, decision);
    }
    await sleep(RETRY_AFTER_MS);
  }
}

/**
 * 65 requests a second for two seconds; the owner refuses all of them for the first. Together with those that return
 * at the end of the refusals they stay within rate and burst.
 */
async function play(areReturned: boolean): Promise<Tally> {
  const client = createConnectedClient();
  const tally: Tally = { attempts: 0, rateRefusals: 0, served: 0 };
  const overUntilMs = performance.now() + 1_000;
  const requests: Promise<void>[] = [];
  for (let index = 0; index < 130; index += 1) {
    requests.push(request(client, tally, overUntilMs, areReturned));
    await sleep(1_000 / 65);
  }
  await Promise.all(requests);
  return tally;
}

describe('a retry storm of a customer within its rate', () => {
  beforeEach(() => {
    vi.useFakeTimers();
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  async function played(areReturned: boolean): Promise<Tally> {
    const tally = play(areReturned);
    await vi.advanceTimersByTimeAsync(5_000);
    return tally;
  }

  // Guards against refusals that say `rate-exceeded` to customers within their rate, 10,796 of 13,635 in a burst.
  it('is not refused for its rate, since refused attempts cost no tokens', async () => {
    const tally = await played(true);
    expect(tally.rateRefusals).toBe(0);
    expect(tally.served).toBeGreaterThan(85);
  });

  // Guards against a test that would pass without refunds.
  it('would be refused for its rate if they did', async () => {
    expect((await played(false)).rateRefusals).toBeGreaterThan(30);
  });
});
