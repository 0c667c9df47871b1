/** Order in which waiting statements of several priorities start. */
import { dequeue, dequeueEarliest, type FairQueue, type QueuedItem } from '../queue/fair-queue.js';
import type { CustomerName } from '../types/ids.js';

export interface StartOrder {
  /** Starts so far. */
  startCount: number;
}

/** One start in this many goes to a less urgent statement, so that none of them waits without end. */
const LESSER_EVERY = 8;
/** Part of the starts that goes to less urgent statements. */
export const LESSER_SHARE = 1 / LESSER_EVERY;

export function createStartOrder(): StartOrder {
  return { startCount: 0 };
}

/**
 * Takes the next statement that `canStart` accepts. The most urgent priority goes first; every eighth start goes to
 * the less urgent statement with the least time left, among those that can still be met.
 *
 * @param queues the queues by priority; zero is the most urgent one
 * @example
 * takeNext(order, queues, nowMs, (job) => chooseServer(job) !== undefined);
 */
export function takeNext<Item>(
  order: StartOrder,
  queues: ReadonlyMap<number, FairQueue<Item>>,
  nowMs: number,
  canStart: (item: Item, customer: CustomerName) => boolean,
): QueuedItem<Item> | undefined {
  const byPriority = [...queues.entries()].sort(([left], [right]) => left - right);
  const inOrder = byPriority.map(([, queue]) => queue);
  const next = takeLesser(order, inOrder, nowMs, canStart) ?? takeFirst(inOrder, canStart);
  if (next) order.startCount += 1;
  return next;
}

function takeLesser<Item>(
  { startCount }: StartOrder,
  inOrder: readonly FairQueue<Item>[],
  nowMs: number,
  canStart: (item: Item, customer: CustomerName) => boolean,
): QueuedItem<Item> | undefined {
  if (startCount % LESSER_EVERY !== LESSER_EVERY - 1) return undefined;
  const waiting = inOrder.filter(hasWaitingItems);
  return dequeueEarliest(waiting.slice(1), nowMs, canStart);
}

function takeFirst<Item>(
  inOrder: readonly FairQueue<Item>[],
  canStart: (item: Item, customer: CustomerName) => boolean,
): QueuedItem<Item> | undefined {
  for (const queue of inOrder) {
    const next = dequeue(queue, canStart);
    if (next) return next;
  }
  return undefined;
}

function hasWaitingItems<Item>({ customers }: FairQueue<Item>): boolean {
  for (const { items } of customers.values()) if (items.length > 0) return true;
  return false;
}
