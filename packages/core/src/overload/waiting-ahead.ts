/** Which waiting statements start before another one. */
import { type FairQueue, isShareIdle } from '../queue/fair-queue.js';
import type { CustomerName } from '../types/ids.js';

/**
 * Calls `visit` for each waiting statement that a fair queue serves before the next one of `customer`: its own, and
 * those of other customers as far as their virtual times are lower.
 *
 * @param ownCount how many of the customer's own statements are ahead; all that wait if absent
 * @example
 * visitAhead(queue, customer, (job) => { count += 1; });
 */
export function visitAhead<Item>(
  queue: FairQueue<Item>,
  customer: CustomerName,
  visit: (item: Item) => void,
  ownCount = Number.POSITIVE_INFINITY,
): void {
  const own = queue.customers.get(customer);
  const ownItems = own?.items ?? [];
  const ownAhead = Math.min(ownItems.length, ownCount);
  const { virtualMs, shares } = queue.clock;
  const share = shares.get(customer);
  const ownVirtualMs = share?.virtualMs ?? virtualMs;
  // A customer that returns after a pause continues at the queue's virtual time.
  const isIdle = !share || isShareIdle(share);
  const sinceMs = isIdle ? Math.max(ownVirtualMs, virtualMs) : ownVirtualMs;
  const untilMs = sinceMs + ownAhead * (own?.estimateMs ?? 0);
  visitFirst(ownItems, ownAhead, visit);
  for (const other of queue.customers.values()) {
    if (other === own || other.items.length === 0) continue;
    const earlierMs = untilMs - other.share.virtualMs;
    if (earlierMs < 0) continue;
    const count = Math.floor(earlierMs / Math.max(MIN_ESTIMATE_MS, other.estimateMs)) + 1;
    visitFirst(other.items, count, visit);
  }
}

function visitFirst<Item>(
  items: readonly { readonly item: Item }[],
  count: number,
  visit: (item: Item) => void,
): void {
  let visited = 0;
  for (const { item } of items) {
    if (visited >= count) return;
    visit(item);
    visited += 1;
  }
}

/** Estimates of customers without measurements may be close to zero. */
const MIN_ESTIMATE_MS = 0.1;
