/** Admission of requests by rate: tokens are drawn from the customer's home a little ahead of demand. */
import { setTimeout as delay } from 'node:timers/promises';
import {
  type CustomerName,
  type Refusal,
  refuse,
  type TokenRequest,
  type TokenGrant,
} from '@bramleykeel/core';

export interface RateClientOptions {
  /** How long a request waits for tokens before it counts as above the rate. */
  readonly rateWaitMs: number;
  /** How long a request waits while the home cannot be reached. */
  readonly homeWaitMs: number;
  /** Sends a draw to the customer's home; `undefined` when it cannot be reached now. */
  readonly draw: (draw: Omit<TokenRequest, 'epoch'>) => Promise<TokenGrant | undefined>;
}

interface Waiter {
  readonly count: number;
  readonly sinceMs: number;
  readonly resolve: (refusal: Refusal | undefined) => void;
}

interface CustomerTokens {
  readonly customer: CustomerName;
  available: number;
  expiresAtMs: number;
  /** Tokens of the present grant that may go back to the home. */
  isDrawing: boolean;
  readonly waiters: Waiter[];
  /** Tokens spent since `windowStartMs`, and in the window before it. */
  spentInWindow: number;
  spentBefore: number;
  windowStartMs: number;
  lifetimeMs: number;
  hasReachedHome: boolean;
}

export interface RateClient {
  readonly options: RateClientOptions;
  readonly customers: Map<CustomerName, CustomerTokens>;
}

/** Share of the demand of the last window that is drawn ahead. */
const AHEAD_SHARE = 0.5;
const RETRY_MIN_MS = 5;
const HOME_RETRY_MS = 30;
const DEFAULT_LIFETIME_MS = 100;

export function createRateClient(options: RateClientOptions): RateClient {
  return { options, customers: new Map() };
}

/**
 * Takes `count` tokens of a customer, waiting for them if need be.
 *
 * @param patienceMs replaces the usual wait, for requests of open transactions
 * @returns the refusal, or `undefined` when the request may run
 */
export function admit(
  client: RateClient,
  customer: CustomerName,
  count: number,
  patienceMs: number | undefined,
): Promise<Refusal | undefined> | undefined {
  const tokens = tokensOf(client, customer);
  const nowMs = performance.now();
  if (tokens.waiters.length === 0 && spend(tokens, count, nowMs)) return undefined;
  return new Promise((resolve) => {
    const extraMs = (patienceMs ?? client.options.rateWaitMs) - client.options.rateWaitMs;
    tokens.waiters.push({ count, sinceMs: nowMs + extraMs, resolve });
    void drawForWaiters(client, tokens);
  });
}

function tokensOf(client: RateClient, customer: CustomerName): CustomerTokens {
  const known = client.customers.get(customer);
  if (known) return known;
  const created: CustomerTokens = {
    customer,
    available: 0,
    expiresAtMs: 0,
    isDrawing: false,
    waiters: [],
    spentInWindow: 0,
    spentBefore: 0,
    windowStartMs: performance.now(),
    lifetimeMs: DEFAULT_LIFETIME_MS,
    hasReachedHome: true,
  };
  client.customers.set(customer, created);
  return created;
}

function spend(tokens: CustomerTokens, count: number, nowMs: number): boolean {
  if (nowMs >= tokens.expiresAtMs) tokens.available = 0;
  if (tokens.available < count) return false;
  tokens.available -= count;
  rollWindow(tokens, nowMs);
  tokens.spentInWindow += count;
  return true;
}

function rollWindow(tokens: CustomerTokens, nowMs: number): void {
  const elapsedMs = nowMs - tokens.windowStartMs;
  if (elapsedMs < tokens.lifetimeMs) return;
  const isAdjacent = elapsedMs < tokens.lifetimeMs * 2;
  tokens.spentBefore = isAdjacent ? tokens.spentInWindow : 0;
  tokens.spentInWindow = 0;
  tokens.windowStartMs = nowMs;
}

async function drawForWaiters(client: RateClient, tokens: CustomerTokens): Promise<void> {
  if (tokens.isDrawing) return;
  tokens.isDrawing = true;
  while (tokens.waiters.length > 0) {
    const retryAfterMs = await drawOnce(client, tokens);
    serveWaiters(client, tokens);
    if (tokens.waiters.length > 0 && retryAfterMs > 0) await delay(retryAfterMs);
    serveWaiters(client, tokens);
  }
  tokens.isDrawing = false;
}

/** Draws once and returns how long to wait before the next draw, in milliseconds. */
async function drawOnce(client: RateClient, tokens: CustomerTokens): Promise<number> {
  const sentAtMs = performance.now();
  rollWindow(tokens, sentAtMs);
  const needed = tokens.waiters.reduce((sum, { count }) => sum + count, 0);
  const ahead = Math.floor(tokens.spentBefore * AHEAD_SHARE);
  const returned = sentAtMs < tokens.expiresAtMs ? tokens.available : 0;
  tokens.available = 0;
  const { customer } = tokens;
  const grant = await client.options.draw({ customer, wanted: needed + ahead, returned });
  // Tokens that expired on their way say nothing about the customer's rate.
  const isInTime = grant !== undefined && performance.now() < sentAtMs + grant.lifetimeMs;
  tokens.hasReachedHome = isInTime;
  if (!isInTime) return HOME_RETRY_MS;
  tokens.available = grant.granted;
  tokens.lifetimeMs = grant.lifetimeMs;
  tokens.expiresAtMs = sentAtMs + grant.lifetimeMs;
  return grant.granted >= needed ? 0 : Math.max(RETRY_MIN_MS, grant.retryAfterMs);
}

function serveWaiters(client: RateClient, tokens: CustomerTokens): void {
  const nowMs = performance.now();
  for (let first = tokens.waiters[0]; first; first = tokens.waiters[0]) {
    if (spend(tokens, first.count, nowMs)) {
      tokens.waiters.shift();
      first.resolve(undefined);
      continue;
    }
    const { rateWaitMs, homeWaitMs } = client.options;
    const waitMs = tokens.hasReachedHome ? rateWaitMs : homeWaitMs;
    if (nowMs - first.sinceMs < waitMs) return;
    tokens.waiters.shift();
    first.resolve(refuse(tokens.hasReachedHome ? 'rate-exceeded' : 'rate-home-unreachable'));
  }
}
