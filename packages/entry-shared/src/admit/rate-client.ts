/**
 * Rate limiting of customers' requests. An entry draws tokens from the customer's home, the entry that holds
 * the customer's token bucket, and draws some more than the waiting requests need.
 */
import { setTimeout as delay } from 'node:timers/promises';
import {
  type CustomerName,
  type Refusal,
  refuse,
  type TokenRequest,
  type TokenGrant,
} from '@bramleykeel/core';

export interface RateClientOptions {
  /** How long a request waits for tokens before it is refused with `rate-exceeded`. */
  readonly rateWaitMs: number;
  /** How long a request waits for an unreachable home before it is refused with `rate-home-unreachable`. */
  readonly homeWaitMs: () => number;
  /** Sends a draw to the customer's home; resolves to `undefined` if the home cannot be reached. */
  readonly draw: (draw: Omit<TokenRequest, 'epoch'>) => Promise<TokenGrant | undefined>;
}

interface Waiter {
  readonly count: number;
  readonly sinceMs: number;
  readonly resolve: (refusal: Refusal | undefined) => void;
}

interface CustomerTokens {
  readonly customer: CustomerName;
  /** Unspent tokens of the current grant. The next draw returns them to the home unless they have expired. */
  available: number;
  expiresAtMs: number;
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
  const tokens = getOrCreateTokens(client, customer);
  const nowMs = performance.now();
  if (tokens.waiters.length === 0 && spend(tokens, count, nowMs)) return undefined;
  return new Promise((resolve) => {
    const extraMs = (maxWaitMs ?? client.options.rateWaitMs) - client.options.rateWaitMs;
    tokens.waiters.push({ count, sinceMs: nowMs + extraMs, resolve });
    void drawForWaiters(client, tokens);
  });
}

function getOrCreateTokens(client: RateClient, customer: CustomerName): CustomerTokens {
  const existing = client.customers.get(customer);
  if (existing) return existing;
  const created: CustomerTokens = {
    customer,
    available: 0,
    expiresAtMs: 0,
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
async function drawOnce(client: RateClient, tokens: CustomerTokens): Promise<number> {
  const sentAtMs = performance.now();
  rollWindow(tokens, sentAtMs);
  const needed = tokens.waiters.reduce((sum, { count }) => sum + count, 0);
  const prefetched = Math.floor(tokens.spentInPreviousWindow * PREFETCH_SHARE);
  const returned = sentAtMs < tokens.expiresAtMs ? tokens.available : 0;
  tokens.available = 0;
  const { customer } = tokens;
  const grant = await client.options.draw({ customer, wanted: needed + prefetched, returned });
  // A grant that expired in transit says nothing about the customer's rate: treat the home as unreachable.
  const isValid = grant !== undefined && performance.now() < sentAtMs + grant.lifetimeMs;
  tokens.isHomeReachable = isValid;
  if (!isValid) return HOME_UNREACHABLE_RETRY_DELAY_MS;
  tokens.available = grant.granted;
  tokens.lifetimeMs = grant.lifetimeMs;
  tokens.expiresAtMs = sentAtMs + grant.lifetimeMs;
  return grant.granted >= needed ? 0 : Math.max(MIN_RETRY_DELAY_MS, grant.retryAfterMs);
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
    const waitMs = tokens.isHomeReachable ? rateWaitMs : homeWaitMs();
    if (nowMs - first.sinceMs < waitMs) return;
    tokens.waiters.shift();
    first.resolve(refuse(tokens.isHomeReachable ? 'rate-exceeded' : 'rate-home-unreachable'));
  }
}
