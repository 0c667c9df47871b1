import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { setSharedInterval } from './shared-interval.js';

describe('shared intervals', () => {
  beforeEach(() => {
    vi.useFakeTimers();
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  it('use one timer per period and none once all callbacks are stopped', () => {
    const counts = [0, 0, 0];
    const stops = counts.map((_count, index) =>
      setSharedInterval(200, () => {
        counts[index] = (counts[index] ?? 0) + 1;
      }),
    );
    const other = setSharedInterval(50, () => undefined);
    expect(vi.getTimerCount()).toBe(2);
    vi.advanceTimersByTime(400);
    expect(counts).toEqual([2, 2, 2]);
    stops[1]?.();
    vi.advanceTimersByTime(200);
    expect(counts).toEqual([3, 2, 3]);
    for (const stop of stops) stop();
    other();
    expect(vi.getTimerCount()).toBe(0);
  });

  it('continue when a callback stops itself or another one', () => {
    const calls: string[] = [];
    const stopLast: { stop: () => void } = { stop: () => undefined };
    const stopFirst = setSharedInterval(100, () => {
      calls.push('first');
      stopFirst();
      stopLast.stop();
    });
    const stop = setSharedInterval(100, () => calls.push('last'));
    stopLast.stop = stop;
    vi.advanceTimersByTime(300);
    expect(calls.filter((call) => call === 'first')).toHaveLength(1);
    expect(vi.getTimerCount()).toBe(0);
  });
});
