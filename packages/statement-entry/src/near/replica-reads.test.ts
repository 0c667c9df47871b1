import {
  type FormerHolder,
  type GroupName,
  type HomeRules,
  type LogPosition,
  toCustomerName,
  toGroupName,
} from '@bramleykeel/core';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import type { StatementDraft } from '../locate/owner-client.js';
import type { OpenTargetOutcome, TargetAnswer, TargetOrder } from '../types/target-port.js';
import type { ReaderOffer, RunningCounts } from './reader-offer.js';
import {
  closeEndedReaders,
  createReplicaReads,
  discardOffers,
  handOverReaders,
  readAtReplica,
  releaseServer,
  type ReplicaReads,
} from './replica-reads.js';

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
  homes: null,
};

interface TestContext {
  readonly reads: ReplicaReads;
  readonly orders: TargetOrder[];
  readonly answers: TargetAnswer[];
  offer: ReaderOffer | undefined;
  /** Set while this entry is the reader. */
  former: FormerHolder | undefined;
  maxServerConnections: number;
  openCount: number;
  openedCount: number;
  openOutcome: OpenTargetOutcome['kind'];
  readonly logged: string[];
  offerRequestCount: number;
  evacuatedZones: ReadonlySet<string>;
  homeRules: HomeRules | undefined;
  mayBeCold: boolean;
  /** Time that servers take for an order, in milliseconds. */
  answerMs: number;
  /** Address of a server that fails all statements. */
  failingAddress: string | undefined;
  /** Addresses of the opened connections. */
  readonly openedAddresses: string[];
  /** Counts in the last request for an offer. */
  requestedWith: RunningCounts;
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
    server: 'i-1' as ReaderOffer['servers'][number]['server'],
    address: '127.0.0.1:1',
    slots: 2,
    zone: 'zone-a',
  };
  const context: TestContext = {
    orders: [],
    answers: [],
    offer: { position: offered, servers: [server] },
    former: { epoch: 1, heldForMs: 0, endedForMs: 0, hasReleased: false },
    maxServerConnections: 17,
    openCount: 0,
    openedCount: 0,
    openOutcome: 'open',
    logged: [],
    offerRequestCount: 0,
    evacuatedZones: new Set(),
    homeRules: undefined,
    mayBeCold: false,
    answerMs: 0,
    failingAddress: undefined,
    openedAddresses: [],
    requestedWith: [],
    reads: createReplicaReads({
      regionOf: (zone) => zone,
      evacuatedZones: () => context.evacuatedZones,
      homeRules: () => context.homeRules,
      readDistribution: 'even',
      mayBeCold: () => context.mayBeCold,
      log: (message) => {
        context.logged.push(message);
      },
      counters: {
        count: () => undefined,
        gauge: () => undefined,
        timing: () => undefined,
        totals: () => ({}),
        close: () => undefined,
      },
      formerReader: () => context.former,
      maxServerConnections: () => context.maxServerConnections,
      requestOffer: (_group, running) => {
        context.offerRequestCount += 1;
        context.requestedWith = running;
        return Promise.resolve(context.offer);
      },
      openTarget: ({ customer, address }) => {
        if (context.openOutcome === 'failed')
          return Promise.resolve({ kind: 'failed', why: 'unreachable' });
        let isOpen = true;
        context.openCount += 1;
        context.openedCount += 1;
        context.openedAddresses.push(address);
        const connection = {
          customer,
          isOpen: () => isOpen,
          close: () => {
            if (isOpen) context.openCount -= 1;
            isOpen = false;
          },
          send: (order: TargetOrder) => {
            context.orders.push(order);
            vi.advanceTimersByTime(context.answerMs);
            const failed: TargetAnswer = { kind: 'failed', text: 'no', state: 'idle' };
            const answer = address === context.failingAddress ? failed : done;
            return Promise.resolve(context.answers.shift() ?? answer);
          },
        };
        return Promise.resolve({ kind: 'open', connection, position: null });
      },
    }),
  };
  return context;
}

describe('reads at replicas', () => {
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
    return readAtReplica(
      context.reads,
      groupToRead,
      { ...draft, ...change },
      performance.now() + 800,
    );
  }

  it('run once the owner has offered a position, and require exactly that position', async () => {
    expect(context.orders).toEqual([]);
    expect(await read()).toMatchObject({ kind: 'done', rows: ['v'], isFromReplica: true });
    expect(context.orders).toEqual([
      { kind: 'run', tag: 't', isWrite: false, after: offered, text: 'READ x' },
    ]);
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
    discardOffers(context.reads);
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

  it('are left to the owner unless this entry is the reader, which closes its connections then', async () => {
    await read();
    expect(context.openCount).toBe(1);
    context.former = undefined;
    closeEndedReaders(context.reads);
    expect(context.openCount).toBe(0);
    expect(await read()).toBeUndefined();
  });

  it('open one connection a customer, whichever entry its callers use', async () => {
    const customers = Array.from({ length: 8 }, (_, index) => toCustomerName(`customer-${index}`));
    for (let round = 0; round < 100; round += 1) {
      for (const customer of customers) await read({ customer });
      vi.advanceTimersByTime(5);
    }
    expect(context.openedCount).toBe(8);
  });

  it.each([
    { name: 'a first reader', epoch: 1, expected: 8 },
    { name: 'a reader whose predecessor may be frozen', epoch: 2, expected: 3 },
  ])('keep at most the reader’s connections open: $name', async ({ epoch, expected }) => {
    context.former = { epoch, heldForMs: 0, endedForMs: 0, hasReleased: false };
    for (let index = 0; index < 30; index += 1)
      await read({ customer: toCustomerName(`customer-${index % 12}`) });
    expect(context.openCount).toBe(expected);
  });

  // Guards against a reader that sends all it can to the first replica.
  it('are distributed over the replicas evenly', async () => {
    offerTwoServers(0);
    context.answerMs = 1;
    await renewOffer();
    for (let index = 0; index < 400; index += 1)
      await read({ customer: toCustomerName(`customer-${index}`) });
    const first = context.openedAddresses.filter((address) => address === '127.0.0.1:1').length;
    expect(first / context.openedAddresses.length).toBeGreaterThan(0.35);
    expect(first / context.openedAddresses.length).toBeLessThan(0.65);
  });

  it('leave a replica out that the owner keeps busy', async () => {
    offerTwoServers(8);
    context.answerMs = 20;
    await renewOffer();
    context.openedAddresses.length = 0;
    for (let index = 0; index < 20; index += 1)
      await read({ customer: toCustomerName(`customer-${index}`) });
    expect(new Set(context.openedAddresses)).toEqual(new Set(['127.0.0.1:1']));
  });

  // Guards against a replica whose answers fail and that gets half of the reads because it answers fast.
  it('are withheld from a replica that fails them, with a log line', async () => {
    offerTwoServers(0);
    context.answerMs = 1;
    await renewOffer();
    context.failingAddress = '127.0.0.1:2';
    for (let index = 0; index < 200; index += 1)
      await read({ customer: toCustomerName(`customer-${index}`) });
    const opened = context.openedAddresses.filter((address) => address === '127.0.0.1:2').length;
    expect(opened).toBeLessThan(40);
    expect(context.logged).toContain('server set aside');
  });

  it('report the statements that run on each replica with the request for an offer', async () => {
    const reading = read();
    await renewOffer();
    await reading;
    expect(context.requestedWith).toEqual([['i-1', 1]]);
  });

  function offerTwoServers(ownerRunning: number): void {
    const [first] = context.offer?.servers ?? [];
    if (!first || !context.offer) throw new Error('no offer');
    const second = { ...first, server: 'i-2' as typeof first.server, address: '127.0.0.1:2' };
    context.offer = { ...context.offer, servers: [first, { ...second, ownerRunning }] };
  }

  async function renewOffer(): Promise<void> {
    vi.advanceTimersByTime(1_010);
    await read();
  }

  it('close the connections to a server that became the primary', async () => {
    await read();
    expect(releaseServer(context.reads, group, 'i-1')).toBe(true);
    expect(context.openCount).toBe(0);
    expect(await read()).toBeUndefined();
  });

  // Guards against reads that reach an evacuated server until the owner's next offer.
  it('use no server in an evacuated zone, also one that is on offer', async () => {
    context.evacuatedZones = new Set(['zone-a']);
    expect(await read()).toBeUndefined();
    expect(context.openedCount).toBe(0);
    context.evacuatedZones = new Set(['zone-b']);
    expect(await read()).toMatchObject({ kind: 'done' });
  });

  // Guards against reads at a server that has restarted and is cold, which its owner limits.
  it('use a server whose connection broke only after an offer that was requested afterwards', async () => {
    context.mayBeCold = true;
    context.answers.push({ kind: 'lost' });
    expect(await read({ maxReadAgeMs: 9_000 })).toBeUndefined();
    const { offer } = context;
    context.offer = undefined;
    vi.advanceTimersByTime(1_600);
    expect(await read({ maxReadAgeMs: 9_000 })).toBeUndefined();
    context.offer = offer;
    vi.advanceTimersByTime(300);
    expect(await read({ maxReadAgeMs: 9_000 })).toBeUndefined();
    expect(await read({ maxReadAgeMs: 9_000 })).toMatchObject({ kind: 'done' });
  });

  it('use it after the pause without one if no server is limited while it is cold', async () => {
    context.answers.push({ kind: 'lost' });
    expect(await read({ maxReadAgeMs: 9_000 })).toBeUndefined();
    context.offer = undefined;
    vi.advanceTimersByTime(1_600);
    expect(await read({ maxReadAgeMs: 9_000 })).toMatchObject({ kind: 'done' });
  });

  it.each([
    { homes: ['zone-a'], isServed: true },
    { homes: ['zone-b'], isServed: false },
  ])('with the homes $homes run on the replica: $isServed', async ({ homes, isServed }) => {
    const outcome = await read({ homes });
    expect(outcome !== undefined).toBe(isServed);
  });

  it('do not start if the zone was evacuated while the connection was being opened', async () => {
    const outcome = read();
    context.evacuatedZones = new Set(['zone-a']);
    expect(await outcome).toBeUndefined();
    expect(context.orders).toEqual([]);
  });

  // Guards against reads that are sent where they may not run any more.
  it('do not start if the homes were changed while the connection was being opened', async () => {
    const outcome = read({ database: 'bookings' });
    context.homeRules = { isLimited: true, homesOf: () => ['zone-b'] };
    expect(await outcome).toBeUndefined();
    expect(context.orders).toEqual([]);
  });

  it('are handed over at a planned stop, with all connections closed before', async () => {
    await read();
    const openAtRelease: number[] = [];
    await handOverReaders(context.reads, 700, () => {
      openAtRelease.push(context.openCount);
      return Promise.resolve();
    });
    expect(openAtRelease).toEqual([0]);
    expect(await read()).toBeUndefined();
  });

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
