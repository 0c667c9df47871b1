import { describe, expect, it } from 'vitest';
import {
  createFairQueue,
  createShareClock,
  dequeue,
  enqueue,
  recordFinished,
  startUnqueued,
} from '../queue/fair-queue.js';
import { toCustomerName } from '../types/ids.js';
import { visitAhead } from './waiting-ahead.js';

const [heavy, light] = [toCustomerName('heavy'), toCustomerName('light')];

function createQueue(heavyCount: number) {
  const queue = createFairQueue<string>(Number.POSITIVE_INFINITY);
  for (const customer of [heavy, light]) {
    startUnqueued(queue, customer);
    recordFinished(queue, customer, 10, 0);
  }
  for (let number = 0; number < heavyCount; number += 1)
    enqueue(queue, { item: `heavy ${number}`, customer: heavy, deadlineMs: 1_000 }, 0);
  return queue;
}

function countAhead(queue: ReturnType<typeof createQueue>, customer: typeof heavy, own?: number) {
  let count = 0;
  visitAhead(queue, customer, () => (count += 1), own);
  return count;
}

describe('the statements ahead of another one', () => {
  it('are all of its own customer, and few of a customer that has more waiting', () => {
    const queue = createQueue(100);
    expect(countAhead(queue, heavy)).toBe(100);
    expect(countAhead(queue, light)).toBeLessThanOrEqual(2);
  });

  it('are more for a customer that has used slots in another queue of the clock', () => {
    const clock = createShareClock();
    const [urgent, lesser] = [1, 2].map(() => createFairQueue<string>(400, clock));
    if (!urgent || !lesser) throw new Error('no queues');
    enqueue(urgent, { item: 'long', customer: heavy, deadlineMs: 1_000 }, 0);
    dequeue(urgent, () => true);
    recordFinished(urgent, heavy, 500, 0);
    for (const customer of [heavy, light])
      enqueue(lesser, { item: customer, customer, deadlineMs: 1_000 }, 0);
    expect(dequeue(lesser, () => true)?.customer).toBe(light);
  });

  it('are for one that waits only those before it', () => {
    expect(countAhead(createQueue(100), heavy, 3)).toBe(3);
  });
});
