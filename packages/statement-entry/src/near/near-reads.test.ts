import { type GroupName, type LogPosition, toCustomerName, toGroupName } from '@bramleykeel/core';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import type { StatementDraft } from '../locate/owner-client.js';
import type { OpenTargetOutcome, TargetAnswer, TargetOrder } from '../types/target-port.js';
import type { NearOffer } from './near-offer.js';
import { createNearReads, discardOffers, type NearReads, tryNearRead } from './near-reads.js';

const group = toGroupName('ledger');
const offered: LogPosition = { term: 2, offset: 40 };

const draft: StatementDraft = {
  tag: 't',
  access: 'read',
  body: { kind: 'plain', text: 'READ x' },
  transaction: null,
  customer: toCustomerName('tuulgan'),
  priority: 1,
  consistency: 'bounded-age',
  maxReadAgeMs: 1_500,
  mark: null,
  values: {},
};

interface TestContext {
  readonly nearReads: NearReads;
  readonly orders: TargetOrder[];
  readonly answers: TargetAnswer[];
  offer: NearOffer | undefined;
  openOutcome: OpenTargetOutcome['kind'];
  offerRequestCount: number;
}

function createContext(): TestContext {
  const done: TargetAnswer = {
    kind: 'done',
    rows: ['v'],
    signature: 's',
    state: 'idle',
    position: offered,
  };
  const server = {
    server: 'i-1' as NearOffer['servers'][number]['server'],
    address: '127.0.0.1:1',
    slots: 2,
  };
  const context: TestContext = {
    orders: [],
    answers: [],
    offer: { position: offered, servers: [server], maxConnections: 2 },
    openOutcome: 'open',
    offerRequestCount: 0,
    nearReads: createNearReads({
      zone: 'zone-a',
      counters: {
        count: () => undefined,
        gauge: () => undefined,
        timing: () => undefined,
        totals: () => ({}),
        close: () => undefined,
      },
      requestOffer: () => {
        context.offerRequestCount += 1;
        return Promise.resolve(context.offer);
      },
      openTarget: ({ customer }) => {
        if (context.openOutcome === 'failed')
          return Promise.resolve({ kind: 'failed', why: 'unreachable' });
        let isOpen = true;
        const connection = {
          customer,
          isOpen: () => isOpen,
          close: () => {
            isOpen = false;
          },
          send: (order: TargetOrder) => {
            context.orders.push(order);
            return Promise.resolve(context.answers.shift() ?? done);
          },
        };
        return Promise.resolve({ kind: 'open', connection, position: null });
      },
    }),
  };
  return context;
}

describe('near reads', () => {
  let context: TestContext;

  beforeEach(async () => {
    vi.useFakeTimers({ toFake: ['performance', 'Date'] });
    vi.setSystemTime(1_000_000);
    context = createContext();
    await read();
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  function read(change: Partial<StatementDraft> = {}, groupToRead: GroupName = group) {
    return tryNearRead(
      context.nearReads,
      groupToRead,
      { ...draft, ...change },
      performance.now() + 800,
    );
  }

  it('run once the owner has offered a position, and require exactly that position', async () => {
    expect(context.orders).toEqual([]);
    expect(await read()).toMatchObject({ kind: 'done', rows: ['v'], isFromReplica: true });
    expect(context.orders).toEqual([{ kind: 'run', tag: 't', after: offered, text: 'READ x' }]);
  });

  it.each<{ name: string; change: Partial<StatementDraft> }>([
    { name: 'routes that require the newest data', change: { consistency: 'newest' } },
    { name: 'writes', change: { access: 'write' } },
    {
      name: 'statements in transactions',
      change: { transaction: { number: 1, isReadOnly: true, isFirst: true } },
    },
    { name: 'reads whose allowed age is below the margin', change: { maxReadAgeMs: 150 } },
  ])('do not apply to $name', async ({ change }) => {
    expect(await read(change)).toBeUndefined();
    expect(context.orders).toEqual([]);
  });

  it('require the session’s mark if it is newer than the offer', async () => {
    const mark = { term: 2, offset: 44 };
    await read({ consistency: 'own-writes', maxReadAgeMs: 2_500, mark });
    expect(context.orders[0]).toMatchObject({ after: mark });
  });

  it.each([
    { maxReadAgeMs: 1_500, afterMs: 1_250, isServed: true },
    { maxReadAgeMs: 1_500, afterMs: 1_350, isServed: false },
    { maxReadAgeMs: 2_500, afterMs: 2_250, isServed: true },
    { maxReadAgeMs: 2_500, afterMs: 2_350, isServed: false },
  ])(
    'with an allowed age of $maxReadAgeMs ms, $afterMs ms after an offer, run on the replica: $isServed',
    async ({ maxReadAgeMs, afterMs, isServed }) => {
      context.offer = undefined;
      vi.advanceTimersByTime(afterMs);
      const outcome = await read({ maxReadAgeMs });
      expect(outcome !== undefined).toBe(isServed);
    },
  );

  it.each([
    { maxReadAgeMs: 1_500, expected: 41 },
    { maxReadAgeMs: 2_500, expected: 40 },
    { maxReadAgeMs: 800, expected: 42 },
  ])(
    'with an allowed age of $maxReadAgeMs ms require the oldest position that is recent enough: $expected',
    async ({ maxReadAgeMs, expected }) => {
      for (const offset of [41, 42]) {
        vi.advanceTimersByTime(1_010);
        context.offer = context.offer && { ...context.offer, position: { term: 2, offset } };
        await read();
      }
      vi.advanceTimersByTime(20);
      context.orders.length = 0;
      await read({ maxReadAgeMs });
      expect(context.orders[0]).toMatchObject({ after: { term: 2, offset: expected } });
    },
  );

  it('use no offer that was requested before a suspension', async () => {
    discardOffers(context.nearReads);
    expect(await read()).toBeUndefined();
    expect(context.orders).toEqual([]);
    expect(await read()).toBeDefined();
  });

  it.each<{ answer: TargetAnswer; expected: string | undefined }>([
    { answer: { kind: 'refused', code: 'lagging', state: 'idle' }, expected: undefined },
    { answer: { kind: 'refused', code: 'busy', state: 'idle' }, expected: undefined },
    { answer: { kind: 'lost' }, expected: undefined },
    { answer: { kind: 'overdue' }, expected: undefined },
    { answer: { kind: 'timed-out', state: 'idle' }, expected: undefined },
    { answer: { kind: 'failed', text: 'no', state: 'idle' }, expected: 'failed' },
  ])(
    'that a replica answers with $answer.kind have the outcome $expected',
    async ({ answer, expected }) => {
      context.answers.push(answer);
      expect((await read())?.kind).toBe(expected);
    },
  );

  it('avoid a replica for a while after a connection to it failed', async () => {
    context.openOutcome = 'failed';
    expect(await read()).toBeUndefined();
    context.openOutcome = 'open';
    expect(await read()).toBeUndefined();
    vi.advanceTimersByTime(1_600);
    await read();
    expect(await read()).toBeDefined();
  });
});
