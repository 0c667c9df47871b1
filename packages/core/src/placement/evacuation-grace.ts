/** The time that open transactions in an evacuated zone have to end. */

import type { PlacementBounds } from './placement-bounds.js';

/**
 * Part of the time within which an evacuation has to be in force that open transactions get, from when their owner has
 * learnt of the order; 3 s of 5 s. The rest is for the order's way to the owner.
 */
const GRACE_SHARE = 0.6;

/**
 * Follows which zones are evacuated.
 *
 * @param learntAtMs when each evacuation was learnt of, by zone; it is changed
 * @example
 * recordEvacuations(owner.evacuationsLearntAtMs, environment.evacuatedZones(), performance.now());
 */
export function recordEvacuations(
  learntAtMs: Map<string, number>,
  evacuatedZones: ReadonlySet<string>,
  nowMs: number,
): void {
  for (const zone of learntAtMs.keys()) if (!evacuatedZones.has(zone)) learntAtMs.delete(zone);
  for (const zone of evacuatedZones) if (!learntAtMs.has(zone)) learntAtMs.set(zone, nowMs);
}

/**
 * Whether open transactions in a zone start no further statements.
 *
 * @example
 * isEvacuationGraceOver(new Map([['ub-a', 1_000]]), 'ub-a', 4_000, { evacuationMs: 5_000 }); // true
 */
export function isEvacuationGraceOver(
  learntAtMs: ReadonlyMap<string, number>,
  zone: string,
  nowMs: number,
  { evacuationMs }: Pick<PlacementBounds, 'evacuationMs'>,
): boolean {
  const sinceMs = learntAtMs.get(zone);
  return sinceMs !== undefined && nowMs - sinceMs >= evacuationMs * GRACE_SHARE;
}
