/** How far a read got at a replica that gave no result, and its form in a reader's reply. */

export interface ReadAttempt {
  /** Whether an order was sent to a replica for the read. */
  hasReachedTarget: boolean;
  /** Whether a replica may run the read, or have run it. */
  mayHaveRun: boolean;
}

/**
 * Why a reader has no result for a read.
 *
 * - `not-sent`: nothing was sent to a replica.
 * - `refused`: no replica has run it, but one was sent an order for it.
 * - `unknown`: a replica may have run it.
 */
export type MissingResult = 'not-sent' | 'refused' | 'unknown';

export function createReadAttempt(): ReadAttempt {
  return { hasReachedTarget: false, mayHaveRun: false };
}

export function missingResultOf({ hasReachedTarget, mayHaveRun }: ReadAttempt): MissingResult {
  if (mayHaveRun) return 'unknown';
  return hasReachedTarget ? 'refused' : 'not-sent';
}

/** Numbers in place of an outcome; readers of earlier versions reply `null` in all cases. */
const CODES = { 'not-sent': 0, refused: 1, unknown: null } as const;

export type EncodedMissingResult = 0 | 1 | null;

export function encodeMissingResult(result: MissingResult): EncodedMissingResult {
  return CODES[result];
}

/** Decodes a reply without an outcome, or the absence of a reply. */
export function decodeMissingResult(encoded: unknown): MissingResult {
  if (encoded === CODES['not-sent']) return 'not-sent';
  return encoded === CODES.refused ? 'refused' : 'unknown';
}
