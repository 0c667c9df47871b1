/**
 * Rate limiting of customers' requests. An entry draws tokens from the customer's home, the entry that holds
 * the customer's token bucket, and draws some more than the waiting requests need.
 */
import { setTimeout as delay } from 'node:timers/promises';
import {
  acceptGrant,
  createEntryTokens,
  createRateReturns,
  type CustomerName,
  type EntryTokens,
  promiseRateReturn,
  type RateReturns,
  type Refusal,
  refuse,
  refundTokens,
  spendTokens,
  takeReturns,
  type TokenRequest,
  type TokenGrant,
  type TokenSource,
} from '@bramleykeel/core';

export interface RateClientOptions {
  /** How long a request waits for tokens before it is refused with `rate-exceeded`. */
  readonly rateWaitMs: number;
  /** How long a request waits for an unreachable home before it is refused with `rate-home-unreachable`. */
  readonly homeWaitMs: () => number;
  /** The customer's rate, from which callers that exceed it are told when to return. */
  readonly ratePerSecond?: (customer: CustomerName) => number | undefined;
  /** Sends a draw to the customer's home; resolves to `undefined` if the home cannot be reached. */
  readonly draw: (draw: Omit<TokenRequest, 'epoch'>) => Promise<TokenGrant | undefined>;
}

/** Tokens taken for an operation; see {@link returnReceipt}. */
export interface TokenReceipt {
  readonly kind: 'taken';
  readonly customer: CustomerName;
  readonly source: TokenSource;
  readonly count: number;
}

export type TokenDecision =
  | TokenReceipt
  | {
      readonly kind: 'refused';
      readonly refusal: Refusal;
      /** When a token is expected, if the rate was exceeded. */
      readonly retryAfterMs: number | undefined;
    };

interface Waiter {
  readonly count: number;
  readonly sinceMs: number;
  readonly resolve: (decision: TokenDecision) => void;
}

interface CustomerTokens {
  readonly customer: CustomerName;
  readonly tokens: EntryTokens;
  readonly returns: RateReturns;
  /** When the home expects its next token, by the monotonic clock. */
  refillAtMs: number;
  isDrawing: boolean;
  readonly waiters: Waiter[];
  /** Tokens spent since `windowStartMs`. */
  spentInWindow: number;
  /** Tokens spent in the window before, or 0 if that window did not directly precede this one. */
  spentInPreviousWindow: number;
  windowStartMs: number;
  lifetimeMs: number;
  /** Whether the last draw brought a grant that was still valid on arrival. */
  isHomeReachable: boolean;
}

export interface RateClient {
  readonly options: RateClientOptions;
  readonly customers: Map<CustomerName, CustomerTokens>;
}

/** Share of the tokens spent in the previous window that is drawn on top of what waiting requests need. */
const PREFETCH_SHARE = 0.5;
const MIN_RETRY_DELAY_MS = 5;
const HOME_UNREACHABLE_RETRY_DELAY_MS = 30;
const DEFAULT_LIFETIME_MS = 100;

export function createRateClient(options: RateClientOptions): RateClient {
  return { options, customers: new Map() };
}

/**
 * Takes `count` tokens of a customer, waiting for them if necessary.
 *
 * @param maxWaitMs replaces `rateWaitMs` for requests in open transactions, and changes `homeWaitMs` by as much
 * @returns `undefined` if the request may run at once, else a promise of the refusal, or of `undefined` once the
 * request may run
 */
export function admit(
  client: RateClient,
  customer: CustomerName,
  count: number,
  maxWaitMs: number | undefined,
): Promise<Refusal | undefined> | undefined {
  const decision = takeTokens(client, customer, count, maxWaitMs);
  if (decision instanceof Promise)
    return decision.then((later) => (later.kind === 'refused' ? later.refusal : undefined));
  return undefined;
}

/**
 * As {@link admit}, for operations whose tokens come back if they reach no target.
 *
 * @example
 * const decision = await takeTokens(client, customer, 1, undefined);
 * if (decision.kind === 'taken') returnReceipt(client, decision); // the operation was refused later
 */
export function takeTokens(
  client: RateClient,
  customer: CustomerName,
  count: number,
  maxWaitMs: number | undefined,
): Promise<TokenDecision> | TokenReceipt {
  const state = getOrCreateTokens(client, customer);
  const nowMs = performance.now();
  const source = state.waiters.length === 0 ? spend(state, count, nowMs) : undefined;
  if (source) return { kind: 'taken', customer, source, count };
  return new Promise((resolve) => {
    const extraMs = (maxWaitMs ?? client.options.rateWaitMs) - client.options.rateWaitMs;
    state.waiters.push({ count, sinceMs: nowMs + extraMs, resolve });
    void drawForWaiters(client, state);
  });
}

/**
 * Gives back the tokens of an operation that certainly reached no target. They can be spent again at this entry
 * while their grant is valid; after that the next draw returns them to the home. Call it once for a receipt.
 */
export function returnReceipt(client: RateClient, receipt: TokenReceipt): void {
  const state = getOrCreateTokens(client, receipt.customer);
  refundTokens(state.tokens, receipt.source, receipt.count, performance.now());
  serveWaiters(client, state);
}

/** A customer's rate as this entry knows it. */
export interface RateState {
  /** Whether an operation would get its tokens at once, without asking the home. */
  readonly isTakenAtOnce: boolean;
  readonly tokens: number;
  /** For how long the tokens may still be spent; `null` without a grant. */
  readonly grantLeftMs: number | null;
  readonly grantAgoMs: number | null;
  readonly waitingCount: number;
  /** Whether the last draw brought a grant. */
  readonly isHomeReachable: boolean;
}

/**
 * Describes a customer's rate without spending or drawing.
 *
 * @param count tokens of the operation that is asked about
 */
export function describeRate(
  { customers }: RateClient,
  customer: CustomerName,
  count: number,
): RateState {
  const state = customers.get(customer);
  const nowMs = performance.now();
  const tokens = { ...(state?.tokens ?? createEntryTokens()) };
  const { source, available } = tokens;
  const waitingCount = state?.waiters.length ?? 0;
  const isSpent = waitingCount === 0 && spendTokens(tokens, count, nowMs) !== undefined;
  return {
    isTakenAtOnce: isSpent,
    tokens: available,
    grantLeftMs: source ? Math.max(0, Math.round(source.expiresAtMs - nowMs)) : null,
    grantAgoMs: source ? Math.round(nowMs - source.sentAtMs) : null,
    waitingCount,
    isHomeReachable: state?.isHomeReachable ?? true,
  };
}

function getOrCreateTokens(client: RateClient, customer: CustomerName): CustomerTokens {
  const existing = client.customers.get(customer);
  if (existing) return existing;
  const created: CustomerTokens = {
    customer,
    tokens: createEntryTokens(),
    returns: createRateReturns(),
    refillAtMs: 0,
    isDrawing: false,
    waiters: [],
    spentInWindow: 0,
    spentInPreviousWindow: 0,
    windowStartMs: performance.now(),
    lifetimeMs: DEFAULT_LIFETIME_MS,
    isHomeReachable: true,
  };
  client.customers.set(customer, created);
  return created;
}

function spend(state: CustomerTokens, count: number, nowMs: number): TokenSource | undefined {
  const source = spendTokens(state.tokens, count, nowMs);
  if (!source) return undefined;
  rollWindow(state, nowMs);
  state.spentInWindow += count;
  return source;
}

function rollWindow(tokens: CustomerTokens, nowMs: number): void {
  const elapsedMs = nowMs - tokens.windowStartMs;
  if (elapsedMs < tokens.lifetimeMs) return;
  const isAdjacent = elapsedMs < tokens.lifetimeMs * 2;
  tokens.spentInPreviousWindow = isAdjacent ? tokens.spentInWindow : 0;
  tokens.spentInWindow = 0;
  tokens.windowStartMs = nowMs;
}

async function drawForWaiters(client: RateClient, tokens: CustomerTokens): Promise<void> {
  if (tokens.isDrawing) return;
  tokens.isDrawing = true;
  while (tokens.waiters.length > 0) {
    const retryAfterMs = await drawOnce(client, tokens);
    serveWaiters(client, tokens);
    const patienceMs = timeToNextRefusalMs(client, tokens);
    if (tokens.waiters.length > 0 && retryAfterMs > 0)
      await delay(Math.max(MIN_RETRY_DELAY_MS, Math.min(retryAfterMs, patienceMs)));
    serveWaiters(client, tokens);
  }
  tokens.isDrawing = false;
}

/** Time until the first waiter has waited for as long as it may, in milliseconds. */
function timeToNextRefusalMs({ options }: RateClient, tokens: CustomerTokens): number {
  const waitMs = tokens.isHomeReachable ? options.rateWaitMs : options.homeWaitMs();
  const [first] = tokens.waiters;
  return first ? first.sinceMs + waitMs - performance.now() : 0;
}

/** Draws once and returns the delay before the next draw, in milliseconds. */
async function drawOnce(client: RateClient, state: CustomerTokens): Promise<number> {
  const sentAtMs = performance.now();
  rollWindow(state, sentAtMs);
  const needed = state.waiters.reduce((sum, { count }) => sum + count, 0);
  const prefetched = Math.floor(state.spentInPreviousWindow * PREFETCH_SHARE);
  const returned = takeReturns(state.tokens, sentAtMs);
  const { customer } = state;
  const grant = await client.options.draw({ customer, wanted: needed + prefetched, returned });
  // A grant that expired in transit says nothing about the customer's rate: treat the home as unreachable.
  const isValid = grant !== undefined && performance.now() < sentAtMs + grant.lifetimeMs;
  state.isHomeReachable = isValid;
  if (!grant) return HOME_UNREACHABLE_RETRY_DELAY_MS;
  const { granted, epoch, drawNumber, lifetimeMs } = grant;
  const source = { epoch, drawNumber, sentAtMs, expiresAtMs: sentAtMs + lifetimeMs };
  // Without new tokens the former grant stays current: tokens that come back to it can still be spent.
  if (granted > 0) acceptGrant(state.tokens, source, granted);
  if (!isValid) return HOME_UNREACHABLE_RETRY_DELAY_MS;
  state.lifetimeMs = lifetimeMs;
  state.refillAtMs = performance.now() + grant.retryAfterMs;
  return granted >= needed ? 0 : Math.max(MIN_RETRY_DELAY_MS, grant.retryAfterMs);
}

function refuseWaiter(
  { options }: RateClient,
  { customer, isHomeReachable, refillAtMs, returns }: CustomerTokens,
  nowMs: number,
): TokenDecision {
  const reason = isHomeReachable ? 'rate-exceeded' : 'rate-home-unreachable';
  const ratePerSecond = isHomeReachable ? options.ratePerSecond?.(customer) : undefined;
  const retryAfterMs =
    ratePerSecond === undefined
      ? undefined
      : promiseRateReturn(returns, { refillAtMs, ratePerSecond }, nowMs);
  return { kind: 'refused', refusal: refuse(reason), retryAfterMs };
}

function serveWaiters(client: RateClient, state: CustomerTokens): void {
  const nowMs = performance.now();
  const { customer, waiters } = state;
  for (let first = waiters[0]; first; first = waiters[0]) {
    const source = spend(state, first.count, nowMs);
    if (source) {
      waiters.shift();
      first.resolve({ kind: 'taken', customer, source, count: first.count });
      continue;
    }
    const { rateWaitMs, homeWaitMs } = client.options;
    const waitMs = state.isHomeReachable ? rateWaitMs : homeWaitMs();
    if (nowMs - first.sinceMs < waitMs) return;
    waiters.shift();
    first.resolve(refuseWaiter(client, state, nowMs));
  }
}
