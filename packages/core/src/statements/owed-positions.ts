/** Which position of the log a read is owed: the newest acknowledged one, or that of a while ago. */
import type { ReadConsistency } from './types.js';
import { comparePositions, latestPosition, type LogPosition } from '../types/position.js';

export interface OwedPositions {
  /** Newest acknowledged positions with the time when each was seen, oldest first. */
  readonly history: { readonly atMs: number; readonly position: LogPosition }[];
}

/** No route may allow reads older than this, in milliseconds: older history is forgotten. */
const KEPT_MS = 30_000;
/** An acknowledgement is seen here a little after the server gave it, in milliseconds. */
const SEEN_LATE_MS = 100;
/** Acknowledgements closer together than this count as one, at the time of the first. */
const GRAIN_MS = 20;

/** Starts from a position that covers everything acknowledged before. */
export function createOwedPositions(base: LogPosition, nowMs: number): OwedPositions {
  return { history: [{ atMs: nowMs - KEPT_MS, position: base }] };
}

/** Records a position up to which commits are acknowledged. Positions never go back. */
export function noteAcknowledged(owed: OwedPositions, position: LogPosition, nowMs: number): void {
  const newest = owed.history.at(-1);
  if (newest && comparePositions(position, newest.position) <= 0) return;
  if (newest && owed.history.length > 1 && nowMs - newest.atMs < GRAIN_MS) {
    owed.history[owed.history.length - 1] = { atMs: newest.atMs, position };
  } else {
    owed.history.push({ atMs: nowMs, position });
  }
  const limitMs = nowMs - KEPT_MS;
  while (owed.history.length > 1 && (owed.history[1]?.atMs ?? nowMs) < limitMs)
    owed.history.shift();
}

/** The newest acknowledged position. */
export function newestAcknowledged(owed: OwedPositions): LogPosition {
  return owed.history.at(-1)?.position ?? { term: 0, offset: 0 };
}

/** When the newest position was acknowledged. */
export function newestAcknowledgedAtMs(owed: OwedPositions): number {
  return owed.history.at(-1)?.atMs ?? Number.NEGATIVE_INFINITY;
}

/**
 * The position that a read has to see.
 *
 * @example
 * owedPosition(owed, { consistency: 'newest', maxReadAgeMs: 0, mark: null }, nowMs);
 */
export function owedPosition(
  owed: OwedPositions,
  read: {
    readonly consistency: ReadConsistency;
    readonly maxReadAgeMs: number;
    readonly mark: LogPosition | null;
  },
  nowMs: number,
): LogPosition {
  if (read.consistency === 'newest') return newestAcknowledged(owed);
  const limitMs = nowMs - Math.max(0, read.maxReadAgeMs - SEEN_LATE_MS);
  const aged = owed.history.findLast(({ atMs }) => atMs <= limitMs) ?? owed.history[0];
  const position = aged?.position ?? newestAcknowledged(owed);
  if (read.consistency === 'bounded-age' || read.mark === null) return position;
  return latestPosition(position, read.mark);
}
