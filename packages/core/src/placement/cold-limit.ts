/** Limits the requests to a server that has just started, by a count over the last second. */
import type { PlacementBounds } from './placement-bounds.js';

/** Length of the window in which requests are counted, in milliseconds. */
export const COLD_WINDOW_MS = 1_000;
/** Part of the slack that is used; requests that are sent further apart may arrive within one window. */
const USED_SLACK_SHARE = 0.5;

/**
 * The number of requests that a cold server gets in any second. It is below the bound, which holds for the times at
 * which requests arrive.
 *
 * @example
 * coldLimit(20, { ...bounds, coldExcess: 1.5, coldSlack: 5 }); // 22.5
 */
export function coldLimit(
  ratePerSecond: number,
  { coldExcess, coldSlack }: Pick<PlacementBounds, 'coldExcess' | 'coldSlack'>,
): number {
  return Math.min(
    ratePerSecond + coldSlack * USED_SLACK_SHARE,
    ratePerSecond * coldExcess + coldSlack,
  );
}

/**
 * How many requests a cold server may get now.
 *
 * @param startsMs start times of the counted requests, oldest first; those out of the window are removed
 * @example
 * if (coldAllowance(server.coldStartsMs, limit, nowMs) >= 1) recordColdStarts(server.coldStartsMs, 1, nowMs);
 */
export function coldAllowance(startsMs: number[], limit: number, nowMs: number): number {
  const firstCounted = startsMs.findIndex((startMs) => nowMs - startMs < COLD_WINDOW_MS);
  startsMs.splice(0, firstCounted === -1 ? startsMs.length : firstCounted);
  return Math.max(0, Math.floor(limit - startsMs.length));
}

/** Counts requests that start now. */
export function recordColdStarts(startsMs: number[], count: number, nowMs: number): void {
  for (let index = 0; index < count; index += 1) startsMs.push(nowMs);
}
