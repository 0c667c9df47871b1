/** Log positions of a database group: ordered by term first, then by offset. */

/** A position in the replicated log of a group. Both fields are counters without a unit. */
export interface LogPosition {
  readonly term: number;
  readonly offset: number;
}

export const ZERO_POSITION: LogPosition = { term: 0, offset: 0 };

/**
 * Orders two positions: negative when `left` is earlier, zero when equal, positive when later.
 *
 * @example
 * comparePositions({ term: 1, offset: 9 }, { term: 2, offset: 1 }); // negative
 */
export function comparePositions(left: LogPosition, right: LogPosition): number {
  return left.term - right.term || left.offset - right.offset;
}

/**
 * Whether a log that ends at `position` contains everything up to `mark`.
 *
 * @example
 * coversMark({ term: 1, offset: 9 }, { term: 1, offset: 9 }); // true
 */
export function coversMark(position: LogPosition, mark: LogPosition): boolean {
  return comparePositions(position, mark) >= 0;
}

/** Returns the later of two positions. */
export function latestPosition(left: LogPosition, right: LogPosition): LogPosition {
  return comparePositions(left, right) >= 0 ? left : right;
}

/** Formats a position as `term/offset`, as used on the wire and in settings. */
export function formatPosition(position: LogPosition): string {
  return `${position.term}/${position.offset}`;
}

/**
 * Parses `term/offset`; returns `undefined` for any other text.
 *
 * @example
 * parsePosition('2/17'); // { term: 2, offset: 17 }
 */
export function parsePosition(text: string): LogPosition | undefined {
  const match = /^(\d{1,15})\/(\d{1,15})$/.exec(text);
  if (!match) return undefined;
  return { term: Number(match[1]), offset: Number(match[2]) };
}
