/** Rates at which statements are admitted, by priority and kind. */

interface SmoothedRate {
  readonly perMs: number;
  readonly atMs: number;
}

/** Kinds of statements that differ in the servers that may run them. */
export type ArrivalKind = 'write' | 'primary-read' | 'read';

export interface ArrivalRates {
  readonly byPriority: Map<number, Map<ArrivalKind, SmoothedRate>>;
}

/** Time over which arrivals are smoothed, in milliseconds: about the wait that a forecast is made for. */
const SMOOTHING_MS = 500;

export function createArrivalRates(): ArrivalRates {
  return { byPriority: new Map() };
}

/** Records a statement that was admitted. */
export function recordArrival(
  { byPriority }: ArrivalRates,
  priority: number,
  kind: ArrivalKind,
  nowMs: number,
): void {
  const rates = byPriority.get(priority) ?? new Map<ArrivalKind, SmoothedRate>();
  byPriority.set(priority, rates);
  rates.set(kind, { perMs: decayed(rates.get(kind), nowMs) + 1 / SMOOTHING_MS, atMs: nowMs });
}

/**
 * Statements of a kind admitted per millisecond, of all priorities more urgent than `priority`.
 *
 * @example
 * moreUrgentPerMs(rates, 1, 'write', nowMs); // 0.2
 */
export function moreUrgentPerMs(
  { byPriority }: ArrivalRates,
  priority: number,
  kind: ArrivalKind,
  nowMs: number,
): number {
  let perMs = 0;
  for (const [other, rates] of byPriority) {
    if (other < priority) perMs += decayed(rates.get(kind), nowMs);
  }
  return perMs;
}

function decayed(rate: SmoothedRate | undefined, nowMs: number): number {
  return rate ? rate.perMs * Math.exp((rate.atMs - nowMs) / SMOOTHING_MS) : 0;
}
