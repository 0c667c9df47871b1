/** Order in which waiting statements of several priorities start. */
import { dequeue, dequeueEarliest, type FairQueue, type QueuedItem } from '../queue/fair-queue.js';

export interface StartOrder {
  /** Starts of more urgent statements since the last one of a priority, while some of that priority waited. */
  readonly passedOver: Map<number, number>;
}

/** One start in this many goes to a less urgent statement, so that none of them waits without end. */
const LESSER_EVERY = 8;
/** Part of the starts that goes to less urgent statements. */
export const LESSER_SHARE = 1 / LESSER_EVERY;

export function createStartOrder(): StartOrder {
  return { passedOver: new Map() };
}

/**
 * Takes the next statement that `canStart` accepts. The most urgent priority goes first. A priority that was passed
 * over seven times is due: the statement with the least time left goes first then, among those of all due priorities
 * that can still be met.
 *
 * @param queues the queues by priority; zero is the most urgent one
 * @param canStart `isDue` tells that the statement would go before more urgent ones, so that it should not take a
 *   server that only they need
 * @example
 * takeNext(order, queues, nowMs, (job) => chooseServer(job) !== undefined);
 */
export function takeNext<Item>(
  order: StartOrder,
  queues: ReadonlyMap<number, FairQueue<Item>>,
  nowMs: number,
  canStart: (item: Item, isDue: boolean) => boolean,
): QueuedItem<Item> | undefined {
  const waiting = [...queues]
    .filter(([, queue]) => hasWaitingItems(queue))
    .sort(([left], [right]) => left - right);
  let taken: number | undefined;
  const canStartOf =
    (priority: number, isDue: boolean) =>
    (item: Item): boolean => {
      const isTaken = canStart(item, isDue);
      if (isTaken) taken = priority;
      return isTaken;
    };
  const due = waiting.filter(([priority]) => passedOver(order, priority) >= LESSER_EVERY - 1);
  const next =
    dequeueEarliest(
      due.map(([priority, queue]) => ({ queue, canStart: canStartOf(priority, true) })),
      nowMs,
    ) ??
    takeFirst(
      waiting.map(([priority, queue]) => ({ queue, canStart: canStartOf(priority, false) })),
    );
  if (taken === undefined) return undefined;
  recordStart(
    order,
    waiting.map(([priority]) => priority),
    taken,
  );
  return next;
}

interface Source<Item> {
  readonly queue: FairQueue<Item>;
  readonly canStart: (item: Item) => boolean;
}

function takeFirst<Item>(sources: readonly Source<Item>[]): QueuedItem<Item> | undefined {
  for (const { queue, canStart } of sources) {
    const next = dequeue(queue, canStart);
    if (next) return next;
  }
  return undefined;
}

function recordStart(order: StartOrder, waiting: readonly number[], taken: number): void {
  order.passedOver.set(taken, 0);
  for (const priority of waiting) {
    if (priority > taken) order.passedOver.set(priority, passedOver(order, priority) + 1);
  }
}

function passedOver(order: StartOrder, priority: number): number {
  return order.passedOver.get(priority) ?? 0;
}

function hasWaitingItems<Item>({ customers }: FairQueue<Item>): boolean {
  for (const { items } of customers.values()) if (items.length > 0) return true;
  return false;
}
