/** History of acknowledged log positions, used to determine the position that a read must see. */
import type { ReadConsistency } from './types.js';
import { comparePositions, latestPosition, type LogPosition } from '../types/position.js';

export interface AcknowledgedPositions {
  /** Acknowledged positions with the time when the owner learned of each, oldest first. */
  readonly history: { readonly atMs: number; readonly position: LogPosition }[];
}

/** Age at which history is dropped, in milliseconds; no route may allow older reads. */
const HISTORY_RETENTION_MS = 30_000;
/** Maximum assumed delay between a server's acknowledgement and its arrival here, in milliseconds. */
const ACKNOWLEDGEMENT_DELAY_MS = 100;
/** Acknowledgements within this time are merged into one, dated by the first, in milliseconds. */
const MERGE_WINDOW_MS = 20;

/** Creates a history whose first position covers everything acknowledged before. */
export function createAcknowledgedPositions(
  base: LogPosition,
  nowMs: number,
): AcknowledgedPositions {
  return { history: [{ atMs: nowMs - HISTORY_RETENTION_MS, position: base }] };
}

/** Records a position up to which commits are acknowledged; ignored unless newer than the last one. */
export function recordAcknowledged(
  acknowledged: AcknowledgedPositions,
  position: LogPosition,
  nowMs: number,
): void {
  const newest = acknowledged.history.at(-1);
  if (newest && comparePositions(position, newest.position) <= 0) return;
  if (newest && acknowledged.history.length > 1 && nowMs - newest.atMs < MERGE_WINDOW_MS) {
    acknowledged.history[acknowledged.history.length - 1] = { atMs: newest.atMs, position };
  } else {
    acknowledged.history.push({ atMs: nowMs, position });
  }
  const limitMs = nowMs - HISTORY_RETENTION_MS;
  while (acknowledged.history.length > 1 && (acknowledged.history[1]?.atMs ?? nowMs) < limitMs)
    acknowledged.history.shift();
}

/** The newest acknowledged position. */
export function newestAcknowledged(acknowledged: AcknowledgedPositions): LogPosition {
  return acknowledged.history.at(-1)?.position ?? { term: 0, offset: 0 };
}

/** When the newest position was recorded. */
export function newestAcknowledgedAtMs(acknowledged: AcknowledgedPositions): number {
  return acknowledged.history.at(-1)?.atMs ?? Number.NEGATIVE_INFINITY;
}

/**
 * Returns the log position that a read must see at least.
 *
 * @example
 * requiredPosition(acknowledged, { consistency: 'newest', maxReadAgeMs: 0, mark: null }, nowMs);
 */
export function requiredPosition(
  acknowledged: AcknowledgedPositions,
  read: {
    readonly consistency: ReadConsistency;
    readonly maxReadAgeMs: number;
    readonly mark: LogPosition | null;
  },
  nowMs: number,
): LogPosition {
  if (read.consistency === 'newest') return newestAcknowledged(acknowledged);
  const limitMs = nowMs - Math.max(0, read.maxReadAgeMs - ACKNOWLEDGEMENT_DELAY_MS);
  const aged =
    acknowledged.history.findLast(({ atMs }) => atMs <= limitMs) ?? acknowledged.history[0];
  const position = aged?.position ?? newestAcknowledged(acknowledged);
  if (read.consistency === 'bounded-age' || read.mark === null) return position;
  return latestPosition(position, read.mark);
}
