import { describe, expect, it } from 'vitest';
import { type ServerName, toCustomerName } from '../types/ids.js';
import { chooseTarget, type TargetRequirements, type TargetView } from './choose-target.js';

const customer = toCustomerName('tuulgan');
const requiredPosition = { term: 1, offset: 50 };

function view(server: string, change: Partial<TargetView> = {}): TargetView {
  return {
    server: server as ServerName,
    isPrimary: false,
    isLeaving: false,
    isUsable: true,
    isInSameRegion: false,
    takesRead: true,
    freeSlots: 2,
    runningCount: 0,
    others: undefined,
    serviceMs: undefined,
    connectedCustomers: new Set([customer]),
    position: requiredPosition,
    laggingUntilMs: 0,
    ...change,
  };
}

const read: TargetRequirements = {
  customer,
  mustBePrimary: false,
  requiredPosition,
  requiredSinceMs: 0,
  mayAssumeCaughtUp: true,
};
const write: TargetRequirements = { ...read, mustBePrimary: true };
const primary = view('p', { isPrimary: true });
const behind = { term: 1, offset: 49 };

describe('chooseTarget', () => {
  it.each([
    {
      name: 'a write goes to the primary',
      servers: [view('r'), primary],
      requirements: write,
      expected: 'p',
    },
    {
      name: 'a write waits while the primary is full',
      servers: [view('r'), view('p', { isPrimary: true, freeSlots: 0 })],
      requirements: write,
      expected: undefined,
    },
    {
      name: 'a write waits while there is no primary',
      servers: [view('r')],
      requirements: write,
      expected: undefined,
    },
    {
      name: 'a write waits while the primary is unusable',
      servers: [view('p', { isPrimary: true, isUsable: false })],
      requirements: write,
      expected: undefined,
    },
    {
      name: 'a read goes to a replica rather than to a primary with as little work',
      servers: [primary, view('r')],
      requirements: read,
      expected: 'r',
    },
    {
      name: 'a read goes to a primary with clearly less work',
      servers: [
        view('r', { freeSlots: 2, runningCount: 2 }),
        view('p', { isPrimary: true, freeSlots: 4 }),
      ],
      requirements: read,
      expected: 'p',
    },
    {
      name: 'a read goes to a replica with clearly more work while the primary has one free slot',
      servers: [view('r', { runningCount: 2 }), view('p', { isPrimary: true, freeSlots: 1 })],
      requirements: read,
      expected: 'r',
    },
    {
      name: 'a read goes to the primary of the same region rather than to a replica of another one',
      servers: [view('r'), view('p', { isPrimary: true, isInSameRegion: true })],
      requirements: read,
      expected: 'p',
    },
    {
      name: 'a read goes to a replica of the same region rather than to a primary of another one',
      servers: [view('r', { isInSameRegion: true, runningCount: 1, freeSlots: 1 }), primary],
      requirements: read,
      expected: 'r',
    },
    {
      name: 'a read opens no connection to a primary with clearly less work',
      servers: [
        view('r', { runningCount: 2 }),
        view('p', { isPrimary: true, connectedCustomers: new Set() }),
      ],
      requirements: read,
      expected: 'r',
    },
    {
      name: 'a read goes to the replica with fewer statements of the reader',
      servers: [
        view('a', { others: { running: 9, meanRunning: 9, messageCount: 1, atMs: 1_000 } }),
        view('b'),
      ],
      requirements: read,
      expected: 'b',
    },
    {
      name: 'a read leaves the last free slot of the primary to writes',
      servers: [view('r'), view('p', { isPrimary: true, freeSlots: 1 })],
      requirements: read,
      expected: 'r',
    },
    {
      name: 'a read takes the last free slot of the primary when no replica has one',
      servers: [view('r', { freeSlots: 0 }), view('p', { isPrimary: true, freeSlots: 1 })],
      requirements: read,
      expected: 'p',
    },
    {
      name: 'a read takes the last slot of the primary rather than a new connection to a replica',
      servers: [
        view('r', { connectedCustomers: new Set() }),
        view('p', { isPrimary: true, freeSlots: 1 }),
      ],
      requirements: read,
      expected: 'p',
    },
    {
      name: 'a read leaves the last slot of the primary to writes if it needs a new connection either way',
      servers: [
        view('r', { connectedCustomers: new Set() }),
        view('p', { isPrimary: true, freeSlots: 1, connectedCustomers: new Set() }),
      ],
      requirements: read,
      expected: 'r',
    },
    {
      name: 'a replica with a connection of the customer is preferred to one in the same region',
      servers: [
        view('a', { isInSameRegion: true, connectedCustomers: new Set() }),
        view('b', { freeSlots: 1 }),
      ],
      requirements: read,
      expected: 'b',
    },
    {
      name: 'a read goes to a replica when there is no primary',
      servers: [view('r')],
      requirements: read,
      expected: 'r',
    },
    {
      name: 'a replica in the same region is preferred',
      servers: [view('a', { freeSlots: 5 }), view('b', { isInSameRegion: true })],
      requirements: read,
      expected: 'b',
    },
    {
      name: 'a leaving replica gets no reads',
      servers: [view('r', { isLeaving: true })],
      requirements: read,
      expected: undefined,
    },
    {
      name: 'a replica that is set aside gets no reads',
      servers: [view('a', { takesRead: false }), view('b', { isInSameRegion: false })],
      requirements: read,
      expected: 'b',
    },
    {
      name: 'a read goes to no primary that is set aside while a replica can run it',
      servers: [
        view('r', { runningCount: 2 }),
        view('p', { isPrimary: true, isInSameRegion: true, takesRead: false }),
      ],
      requirements: read,
      expected: 'r',
    },
    {
      name: 'a read goes to a primary that is set aside if no replica can run it',
      servers: [view('p', { isPrimary: true, takesRead: false })],
      requirements: read,
      expected: 'p',
    },
    {
      name: 'a write goes to a primary that is set aside',
      servers: [view('r'), view('p', { isPrimary: true, takesRead: false })],
      requirements: write,
      expected: 'p',
    },
    {
      name: 'a replica behind a recently acknowledged position is not chosen',
      servers: [view('r', { position: behind })],
      requirements: { ...read, requiredSinceMs: 990 },
      expected: undefined,
    },
    {
      name: 'a replica is assumed to have a position acknowledged longer ago',
      servers: [view('r', { position: behind })],
      requirements: { ...read, requiredSinceMs: 800 },
      expected: 'r',
    },
    {
      name: 'a replica that recently refused a read as lagging is not assumed to have caught up',
      servers: [view('r', { position: behind, laggingUntilMs: 2_000 })],
      requirements: read,
      expected: undefined,
    },
    {
      name: 'no replica is assumed to have caught up for a statement that may not assume it',
      servers: [view('r', { position: behind })],
      requirements: { ...read, mayAssumeCaughtUp: false },
      expected: undefined,
    },
  ])('$name', ({ servers, requirements, expected }) => {
    expect(chooseTarget(servers, requirements, 1_000, 0)).toBe(expected);
  });

  // Guards against a group whose first replica gets most reads.
  it('distributes reads over equal replicas evenly, and over uneven ones in proportion to speed', () => {
    const countOf = (servers: readonly TargetView[], server: string) =>
      Array.from({ length: 1_000 }, (_, index) =>
        chooseTarget(servers, read, 1_000, (index + 0.5) / 1_000),
      ).filter((chosen) => chosen === server).length;
    expect(countOf([view('a'), view('b')], 'a')).toBe(500);
    expect(countOf([view('a', { serviceMs: 10 }), view('b', { serviceMs: 30 })], 'a')).toBe(750);
  });
});
