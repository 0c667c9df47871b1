/**
 * Request queue of a group's owner, with fair queueing between customers by measured slot time.
 *
 * Each customer has a virtual time that increases by the slot time it has used. The customer with the
 * lowest virtual time is served next. A customer that returns after a pause continues at the queue's
 * virtual time or its own, whichever is later: a pause earns no credit and does not clear a debt.
 */
import type { CustomerName } from '../types/ids.js';

export interface QueuedItem<Item> {
  readonly item: Item;
  readonly customer: CustomerName;
  deadlineMs: number;
}

/** A customer's virtual time, in one queue or in several that share a clock. */
interface CustomerShare {
  virtualMs: number;
  readonly queues: { readonly items: readonly unknown[]; readonly runningCount: number }[];
}

/** Virtual times of a queue, or of several queues whose customers share them. */
export interface ShareClock {
  virtualMs: number;
  readonly shares: Map<CustomerName, CustomerShare>;
}

interface CustomerQueue<Item> {
  readonly customer: CustomerName;
  readonly share: CustomerShare;
  runningCount: number;
  /** Estimated slot time of one request, charged at its start and corrected at its end. */
  estimateMs: number;
  lastActiveMs: number;
  items: QueuedItem<Item>[];
}

export interface FairQueue<Item> {
  readonly maxWaitingPerCustomer: number;
  readonly customers: Map<CustomerName, CustomerQueue<Item>>;
  readonly clock: ShareClock;
}

/** Slot time assumed before the first measurement of a customer, in milliseconds. */
const INITIAL_ESTIMATE_MS = 1;
/** Weight of the newest measurement in the estimate. */
const ESTIMATE_GAIN = 0.2;
/** Customers with nothing waiting or running are removed after this time, in milliseconds. */
const IDLE_CUSTOMER_RETENTION_MS = 60_000;

export function createShareClock(): ShareClock {
  return { virtualMs: 0, shares: new Map() };
}

/** @param clock shared with other queues if a customer's slot time in them counts here as well */
export function createFairQueue<Item>(
  maxWaitingPerCustomer: number,
  clock: ShareClock = createShareClock(),
): FairQueue<Item> {
  return { maxWaitingPerCustomer, customers: new Map(), clock };
}

/**
 * Adds a request at the end of its customer's queue, or returns `'full'` without adding it if that
 * queue has reached its limit.
 *
 * @example
 * enqueue(queue, { item, customer, deadlineMs: nowMs + 2_000 }, nowMs); // 'queued'
 */
export function enqueue<Item>(
  queue: FairQueue<Item>,
  queued: QueuedItem<Item>,
  nowMs: number,
): 'queued' | 'full' {
  if (isQueueFull(queue, queued.customer)) return 'full';
  const customer = customerQueue(queue, queued.customer);
  const { share } = customer;
  if (isShareIdle(share)) share.virtualMs = Math.max(share.virtualMs, queue.clock.virtualMs);
  customer.lastActiveMs = nowMs;
  customer.items.push(queued);
  return 'queued';
}

/** Whether a customer has as many waiting requests as it may have. */
export function isQueueFull<Item>(queue: FairQueue<Item>, customer: CustomerName): boolean {
  const waiting = queue.customers.get(customer)?.items.length ?? 0;
  return waiting >= queue.maxWaitingPerCustomer;
}

/**
 * Takes the next request that `canStart` accepts: customers by virtual time, each in its own order.
 * The customer is charged its estimate at once; {@link recordFinished} corrects it.
 */
export function dequeue<Item>(
  queue: FairQueue<Item>,
  canStart: (item: Item, customer: CustomerName) => boolean,
): QueuedItem<Item> | undefined {
  const waiting = [...queue.customers.values()]
    .filter((customer) => customer.items.length > 0)
    .sort((left, right) => left.share.virtualMs - right.share.virtualMs);
  for (const customer of waiting) {
    const position = customer.items.findIndex(({ item }) => canStart(item, customer.customer));
    if (position < 0) continue;
    const [next] = customer.items.splice(position, 1);
    if (!next) continue;
    queue.clock.virtualMs = Math.max(queue.clock.virtualMs, customer.share.virtualMs);
    chargeStart(customer);
    return next;
  }
  return undefined;
}

/**
 * Takes the request with the earliest deadline after `nowMs` that can start, from any of the queues and regardless of
 * virtual times; it is charged as by {@link dequeue}.
 *
 * @example
 * dequeueEarliest([{ queue, canStart: () => true }], nowMs);
 */
export function dequeueEarliest<Item>(
  sources: readonly {
    readonly queue: FairQueue<Item>;
    readonly canStart: (item: Item, customer: CustomerName) => boolean;
  }[],
  nowMs: number,
): QueuedItem<Item> | undefined {
  const candidates = sources.flatMap(({ queue, canStart }) =>
    [...queue.customers.values()].flatMap((customer) => {
      const first = customer.items.find(({ deadlineMs }) => deadlineMs > nowMs);
      return first ? [{ customer, first, canStart }] : [];
    }),
  );
  candidates.sort((left, right) => left.first.deadlineMs - right.first.deadlineMs);
  for (const { customer, first, canStart } of candidates) {
    if (!canStart(first.item, customer.customer)) continue;
    customer.items.splice(customer.items.indexOf(first), 1);
    // The queue's virtual time stays, because customers with lower ones still wait.
    chargeStart(customer);
    return first;
  }
  return undefined;
}

/** Whether a customer has nothing waiting or running in any queue of the clock. */
export function isShareIdle({ queues }: CustomerShare): boolean {
  return queues.every(({ items, runningCount }) => items.length === 0 && runningCount === 0);
}

function chargeStart<Item>(customer: CustomerQueue<Item>): void {
  customer.share.virtualMs += customer.estimateMs;
  customer.runningCount += 1;
}

/** Charges a request that bypassed the queue, such as one in an open transaction. */
export function startUnqueued<Item>(queue: FairQueue<Item>, customerName: CustomerName): void {
  const customer = customerQueue(queue, customerName);
  customer.share.virtualMs += customer.estimateMs;
  customer.runningCount += 1;
}

/** Records the end of a request and replaces the charged estimate with the measured slot time. */
export function recordFinished<Item>(
  queue: FairQueue<Item>,
  customerName: CustomerName,
  usedMs: number,
  nowMs: number,
): void {
  const customer = customerQueue(queue, customerName);
  customer.runningCount = Math.max(0, customer.runningCount - 1);
  customer.share.virtualMs += usedMs - customer.estimateMs;
  customer.estimateMs += ESTIMATE_GAIN * (usedMs - customer.estimateMs);
  customer.lastActiveMs = nowMs;
}

/** Removes and returns waiting requests whose deadline has passed; none of them has been started. */
export function removeExpired<Item>(queue: FairQueue<Item>, nowMs: number): QueuedItem<Item>[] {
  const expired: QueuedItem<Item>[] = [];
  for (const customer of queue.customers.values()) {
    const isExpired = (queued: QueuedItem<Item>) => queued.deadlineMs <= nowMs;
    if (!customer.items.some(isExpired)) continue;
    expired.push(...customer.items.filter(isExpired));
    customer.items = customer.items.filter((queued) => !isExpired(queued));
  }
  removeIdleCustomers(queue, nowMs);
  return expired;
}

/** Extends the deadlines of all waiting requests to at least `deadlineMs`, e.g. during a failover. */
export function extendDeadlines<Item>(queue: FairQueue<Item>, deadlineMs: number): void {
  for (const customer of queue.customers.values()) {
    for (const queued of customer.items) {
      queued.deadlineMs = Math.max(queued.deadlineMs, deadlineMs);
    }
  }
}

/** Removes and returns the waiting requests that match, e.g. those of a disconnected caller. */
export function removeWaiting<Item>(
  queue: FairQueue<Item>,
  isRemoved: (item: Item) => boolean,
): QueuedItem<Item>[] {
  const removed: QueuedItem<Item>[] = [];
  for (const customer of queue.customers.values()) {
    removed.push(...customer.items.filter(({ item }) => isRemoved(item)));
    customer.items = customer.items.filter(({ item }) => !isRemoved(item));
  }
  return removed;
}

/** Number of waiting requests of all customers. */
export function waitingCount<Item>(queue: FairQueue<Item>): number {
  let count = 0;
  for (const customer of queue.customers.values()) count += customer.items.length;
  return count;
}

/** Returns whether any customer other than `customer` has been active since `sinceMs`. */
export function hasOtherActiveCustomer<Item>(
  queue: FairQueue<Item>,
  customer: CustomerName,
  sinceMs: number,
): boolean {
  for (const other of queue.customers.values()) {
    if (other.customer !== customer && other.lastActiveMs >= sinceMs) return true;
  }
  return false;
}

function customerQueue<Item>(queue: FairQueue<Item>, customer: CustomerName): CustomerQueue<Item> {
  const existing = queue.customers.get(customer);
  if (existing) return existing;
  const created: CustomerQueue<Item> = {
    customer,
    share: shareOf(queue.clock, customer),
    runningCount: 0,
    estimateMs: INITIAL_ESTIMATE_MS,
    lastActiveMs: Number.NEGATIVE_INFINITY,
    items: [],
  };
  created.share.queues.push(created);
  queue.customers.set(customer, created);
  return created;
}

function shareOf({ shares, virtualMs }: ShareClock, customer: CustomerName): CustomerShare {
  const existing = shares.get(customer);
  if (existing) return existing;
  const created: CustomerShare = { virtualMs, queues: [] };
  shares.set(customer, created);
  return created;
}

function removeIdleCustomers<Item>(queue: FairQueue<Item>, nowMs: number): void {
  for (const [name, customer] of queue.customers) {
    const isBusy = customer.items.length > 0 || customer.runningCount > 0;
    const { share } = customer;
    const hasDebt = share.virtualMs > queue.clock.virtualMs;
    if (isBusy || hasDebt || nowMs - customer.lastActiveMs < IDLE_CUSTOMER_RETENTION_MS) continue;
    queue.customers.delete(name);
    share.queues.splice(share.queues.indexOf(customer), 1);
    if (share.queues.length === 0) queue.clock.shares.delete(name);
  }
}
