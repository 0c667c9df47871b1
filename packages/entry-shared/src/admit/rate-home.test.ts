import { toCustomerName } from '@bramleykeel/core';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { answerDraw, createRateHomes } from './rate-home.js';

const customer = toCustomerName('tuulgan');
const limit = { ratePerSecond: 100, burst: 20 };
const held = (epoch: number, formerHomeEndedForMs = 0) => ({ epoch, formerHomeEndedForMs });
const draw = (wanted: number) => ({ customer, epoch: 2, wanted, returned: [] });

describe('rate home', () => {
  beforeEach(() => {
    vi.useFakeTimers();
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  it('answers draws only under the epoch it holds and with a known limit', async () => {
    const homes = createRateHomes();
    expect(await answerDraw(homes, draw(1), limit, undefined)).toBeUndefined();
    expect(await answerDraw(homes, draw(1), limit, held(3))).toBeUndefined();
    expect(await answerDraw(homes, draw(1), undefined, held(2))).toBeUndefined();
  });

  it('serves waiting draws in order of arrival', async () => {
    const homes = createRateHomes();
    const served: string[] = [];
    const sendDraw = (name: string) =>
      answerDraw(homes, draw(1), limit, held(2)).then((grant) => {
        served.push(`${name} ${grant?.granted ?? -1}`);
      });
    const pendingDraws = ['far', 'near', 'near again'].map(sendDraw);
    await vi.advanceTimersByTimeAsync(45);
    await Promise.all(pendingDraws);
    expect(served).toEqual(['far 1', 'near 1', 'near again 1']);
  });

  it('grants nothing and returns a retry delay when a draw has waited for its maximum time', async () => {
    const homes = createRateHomes();
    const slow = { ratePerSecond: 1, burst: 2 };
    const pendingDraw = answerDraw(homes, draw(1), slow, held(2));
    await vi.advanceTimersByTimeAsync(60);
    const grant = await pendingDraw;
    expect(grant?.granted).toBe(0);
    expect(grant?.retryAfterMs).toBeGreaterThan(800);
  });

  it('starts with `afterMove` tokens after a move, limited to the size of the bucket', async () => {
    const first = async (afterMove: number) => {
      const homes = createRateHomes();
      return (await answerDraw(homes, draw(30), { ...limit, afterMove }, held(2)))?.granted;
    };
    expect(await first(6)).toBe(6);
    expect(await first(1_000)).toBeLessThanOrEqual(20);
  });

  it('starts full under the first epoch and without the burst, which an earlier home may have granted, under later ones', async () => {
    const first = await answerDraw(createRateHomes(), { ...draw(10), epoch: 1 }, limit, held(1));
    expect(first?.granted).toBe(10);
    const later = answerDraw(createRateHomes(), draw(10), limit, held(2));
    await vi.advanceTimersByTimeAsync(60);
    expect((await later)?.granted).toBeLessThan(7);
  });

  it('starts with what was refilled since an earlier home ended, as after a loss of all entries', async () => {
    const first = async (formerHomeEndedForMs: number) => {
      const home = held(2, formerHomeEndedForMs);
      const granted = answerDraw(createRateHomes(), draw(20), limit, home);
      await vi.advanceTimersByTimeAsync(60);
      return (await granted)?.granted;
    };
    // 100 tokens a second
    expect(await first(0)).toBeLessThan(7);
    expect(await first(100)).toBeGreaterThanOrEqual(10);
    expect(await first(60_000)).toBeGreaterThanOrEqual(10);
  });
});
