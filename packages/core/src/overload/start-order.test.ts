import { describe, expect, it } from 'vitest';
import { createFairQueue, enqueue } from '../queue/fair-queue.js';
import { toCustomerName } from '../types/ids.js';
import { createStartOrder, takeNext } from './start-order.js';

const customer = toCustomerName('one');

function createQueues(counts: readonly number[], deadlineMs = 1_000) {
  const queues = counts.map((count, priority) => {
    const queue = createFairQueue<string>(Number.POSITIVE_INFINITY);
    for (let number = 0; number < count; number += 1)
      enqueue(queue, { item: `${priority}.${number}`, customer, deadlineMs }, 0);
    return [priority, queue] as const;
  });
  return new Map(queues);
}

function takeAll(queues: ReturnType<typeof createQueues>, count: number) {
  const order = createStartOrder();
  return Array.from({ length: count }, () => takeNext(order, queues, 0, () => true)?.item[0]).join(
    '',
  );
}

describe('the order of starts', () => {
  it('gives every eighth start to less urgent statements, so that they are not starved', () => {
    expect(takeAll(createQueues([20, 2]), 18)).toBe('000000010000000100');
  });

  it('starts the most urgent ones first and the rest in order', () => {
    expect(takeAll(createQueues([2, 2, 1]), 5)).toBe('00112');
  });

  it('gives no start out of order to a statement that can no longer be met', () => {
    const queues = createQueues([20]);
    const expired = createFairQueue<string>(Number.POSITIVE_INFINITY);
    enqueue(expired, { item: '1.0', customer, deadlineMs: -1 }, 0);
    queues.set(1, expired);
    expect(takeAll(queues, 12)).toBe('000000000000');
  });

  it('passes a due statement over that no server may run, and takes an urgent one', () => {
    const queues = createQueues([20, 2]);
    const order = createStartOrder();
    const taken = Array.from(
      { length: 10 },
      () => takeNext(order, queues, 0, (_, isDue) => !isDue)?.item[0],
    );
    expect(taken.join('')).toBe('0000000000');
  });
});
