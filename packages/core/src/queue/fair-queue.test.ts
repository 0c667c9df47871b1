import { describe, expect, it } from 'vitest';
import { toCustomerName } from '../types/ids.js';
import {
  createFairQueue,
  dequeue,
  enqueue,
  extendDeadlines,
  type FairQueue,
  recordFinished,
  hasOtherActiveCustomer,
  removeWaiting,
  startUnqueued,
  removeExpired,
  waitingCount,
} from './fair-queue.js';

const GREEDY = toCustomerName('greedy');
const BENCH = toCustomerName('bench');

function fill(
  queue: FairQueue<string>,
  customer: typeof GREEDY,
  count: number,
  nowMs: number,
): void {
  for (let number = 0; number < count; number += 1) {
    enqueue(queue, { item: `${customer}-${number}`, customer, deadlineMs: 1e9 }, nowMs);
  }
}

/** Serves one request at a time; `costMs` gives the slot time of each customer's requests. */
function serve(queue: FairQueue<string>, costMs: Record<string, number>, untilMs: number) {
  const usedMs: Record<string, number> = {};
  let nowMs = 0;
  while (nowMs < untilMs) {
    const next = dequeue(queue, () => true);
    if (!next) break;
    const cost = costMs[next.customer] ?? 1;
    nowMs += cost;
    usedMs[next.customer] = (usedMs[next.customer] ?? 0) + cost;
    recordFinished(queue, next.customer, cost, nowMs);
  }
  return usedMs;
}

describe('fair queue', () => {
  it('gives equal slot time to customers whose requests differ in length', () => {
    const queue = createFairQueue<string>(100_000);
    fill(queue, GREEDY, 5_000, 0);
    fill(queue, BENCH, 5_000, 0);
    const usedMs = serve(queue, { greedy: 50, bench: 2 }, 5_000);
    expect(usedMs.bench).toBeGreaterThanOrEqual(2_400);
    expect(usedMs.greedy).toBeGreaterThanOrEqual(2_400);
  });

  it('serves a customer that returns after a long pause next, but gives no credit for the pause', () => {
    const queue = createFairQueue<string>(100_000);
    fill(queue, GREEDY, 2_000, 0);
    serve(queue, { greedy: 10 }, 1_000);
    fill(queue, BENCH, 2_000, 1_000);
    expect(dequeue(queue, () => true)?.customer).toBe(BENCH);
    recordFinished(queue, BENCH, 10, 1_010);
    const usedMs = serve(queue, { greedy: 10, bench: 10 }, 400);
    expect(Math.abs((usedMs.bench ?? 0) - (usedMs.greedy ?? 0))).toBeLessThanOrEqual(20);
  });

  it('keeps the debt of a customer whose queue runs empty between its requests', () => {
    const queue = createFairQueue<string>(100);
    fill(queue, BENCH, 50, 0);
    const order: string[] = [];
    for (let turn = 0; turn < 20; turn += 1) {
      fill(queue, GREEDY, 1, turn);
      const next = dequeue(queue, () => true);
      order.push(next?.customer ?? '');
      recordFinished(queue, next?.customer ?? BENCH, next?.customer === GREEDY ? 100 : 10, turn);
    }
    const greedyTurns = order.filter((customer) => customer === 'greedy').length;
    expect(greedyTurns).toBeLessThanOrEqual(3);
  });

  it('charges requests that bypass the queue', () => {
    const queue = createFairQueue<string>(100);
    fill(queue, GREEDY, 1, 0);
    fill(queue, BENCH, 1, 0);
    startUnqueued(queue, GREEDY);
    recordFinished(queue, GREEDY, 500, 0);
    expect(dequeue(queue, () => true)?.customer).toBe(BENCH);
  });

  it('refuses requests above the limit of one customer without affecting others', () => {
    const queue = createFairQueue<string>(3);
    fill(queue, GREEDY, 3, 0);
    const more = { item: 'x', customer: GREEDY, deadlineMs: 1 };
    expect(enqueue(queue, more, 0)).toBe('full');
    expect(enqueue(queue, { ...more, customer: BENCH }, 0)).toBe('queued');
  });

  it('skips a customer none of whose requests can start', () => {
    const queue = createFairQueue<string>(10);
    fill(queue, GREEDY, 2, 0);
    fill(queue, BENCH, 2, 0);
    expect(dequeue(queue, (item) => item === 'bench-1')?.item).toBe('bench-1');
    expect(waitingCount(queue)).toBe(3);
  });

  it('expires, extends and removes waiting requests', () => {
    const queue = createFairQueue<string>(10);
    enqueue(queue, { item: 'soon', customer: BENCH, deadlineMs: 100 }, 0);
    enqueue(queue, { item: 'later', customer: BENCH, deadlineMs: 900 }, 0);
    expect(removeExpired(queue, 100).map(({ item }) => item)).toEqual(['soon']);
    extendDeadlines(queue, 2_000);
    expect(removeExpired(queue, 1_500)).toEqual([]);
    expect(removeWaiting(queue, (item) => item === 'later')).toHaveLength(1);
    expect(waitingCount(queue)).toBe(0);
  });

  it('reports whether another customer has been active recently', () => {
    const queue = createFairQueue<string>(10);
    fill(queue, BENCH, 1, 500);
    expect(hasOtherActiveCustomer(queue, GREEDY, 400)).toBe(true);
    expect(hasOtherActiveCustomer(queue, GREEDY, 501)).toBe(false);
    expect(hasOtherActiveCustomer(queue, BENCH, 0)).toBe(false);
  });
});
