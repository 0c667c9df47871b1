/**
 * A customer's rate tokens at an entry: what is left of the current grant, and the tokens that the next draw returns
 * to the home.
 */
import { RETURN_LIFETIME_MS } from '../admit/token-bucket.js';
import type { ReturnedTokens } from '../types/link-messages.js';

/** Where tokens come from. */
export interface TokenSource {
  /** The epoch of the home that granted them. */
  readonly epoch: number;
  /** The home's number of the draw. */
  readonly drawNumber: number;
  readonly sentAtMs: number;
  /** Until then the tokens may be spent, counted from when the draw was sent. */
  readonly expiresAtMs: number;
}

interface UnusedTokens {
  readonly source: TokenSource;
  count: number;
}

export interface EntryTokens {
  /** The newest grant. */
  source: TokenSource | undefined;
  /** Unspent tokens of the newest grant. */
  available: number;
  /** Tokens of earlier or expired grants that no operation has used. */
  unused: UnusedTokens[];
}

export function createEntryTokens(): EntryTokens {
  return { source: undefined, available: 0, unused: [] };
}

/**
 * Spends tokens of the current grant.
 *
 * @returns where they come from, for {@link refundTokens}; `undefined` if too few are left or the grant has expired
 * @example
 * const source = spendTokens(tokens, 1, nowMs);
 * if (source) refundTokens(tokens, source, 1, laterMs);
 */
export function spendTokens(
  tokens: EntryTokens,
  count: number,
  nowMs: number,
): TokenSource | undefined {
  const { source } = tokens;
  if (!source || nowMs >= source.expiresAtMs || tokens.available < count) return undefined;
  tokens.available -= count;
  return source;
}

/**
 * Takes back tokens whose operation certainly reached no target. They may be spent again while their own grant is
 * current and valid; in a later grant they would outlive the time that the bucket's capacity allows for.
 */
export function refundTokens(
  tokens: EntryTokens,
  source: TokenSource,
  count: number,
  nowMs: number,
): void {
  const isCurrent = source === tokens.source && nowMs < source.expiresAtMs;
  if (isCurrent) tokens.available += count;
  else addUnused(tokens, source, count);
}

/**
 * Removes and returns all tokens that no operation has used, for the next draw. They are lost if that draw is.
 */
export function takeReturns(tokens: EntryTokens, nowMs: number): readonly ReturnedTokens[] {
  retireGrant(tokens);
  const returned = tokens.unused
    .filter(({ source }) => nowMs - source.sentAtMs <= RETURN_LIFETIME_MS)
    .map(({ source: { epoch, drawNumber }, count }) => ({ epoch, drawNumber, count }));
  tokens.unused = [];
  return returned;
}

/** Replaces the current grant. */
export function acceptGrant(tokens: EntryTokens, source: TokenSource, granted: number): void {
  retireGrant(tokens);
  tokens.source = source;
  tokens.available = granted;
}

function retireGrant(tokens: EntryTokens): void {
  if (tokens.source && tokens.available > 0) addUnused(tokens, tokens.source, tokens.available);
  tokens.available = 0;
}

function addUnused(tokens: EntryTokens, source: TokenSource, count: number): void {
  const same = tokens.unused.find((each) => each.source === source);
  if (same) {
    same.count += count;
    return;
  }
  const isRecent = (each: UnusedTokens) =>
    source.sentAtMs - each.source.sentAtMs <= RETURN_LIFETIME_MS;
  tokens.unused = [...tokens.unused.filter(isRecent), { source, count }];
}
