/** The time that open transactions in an evacuated zone have to end. */

/**
 * Time from when an owner has learnt of an evacuation until it aborts the open transactions in that zone, in
 * milliseconds. The order has to be in force 5 s after its acknowledgement; the rest is for its way to the owner.
 */
export const EVACUATION_GRACE_MS = 3_000;

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
 * isEvacuationGraceOver(new Map([['ub-a', 1_000]]), 'ub-a', 4_000); // true
 */
export function isEvacuationGraceOver(
  learntAtMs: ReadonlyMap<string, number>,
  zone: string,
  nowMs: number,
): boolean {
  const sinceMs = learntAtMs.get(zone);
  return sinceMs !== undefined && nowMs - sinceMs >= EVACUATION_GRACE_MS;
}
