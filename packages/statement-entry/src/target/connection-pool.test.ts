import { type ServerName, toCustomerName, toGroupName } from '@bramleykeel/core';
import { describe, expect, it } from 'vitest';
import { createServerState, type ServerState } from '../owner/owner-state.js';
import type { OpenTargetOutcome, TargetConnection } from '../types/target-port.js';
import {
  acquireConnection,
  discardConnection,
  closeIdleConnections,
  hasAvailableConnection,
  recordAnswer,
  type PoolContext,
  releaseConnection,
  retireServer,
  closeExcessIdleConnections,
} from './connection-pool.js';

const one = toCustomerName('one');
const other = toCustomerName('other');

interface TestPool {
  readonly pools: PoolContext;
  readonly server: ServerState;
  readonly openConnections: Set<TargetConnection>;
  openedCount: number;
  /** Outcomes of the next attempts to open a connection; by default they succeed. */
  readonly outcomes: OpenTargetOutcome[];
}

function createTestPool(maxConnections: number): TestPool {
  const openConnections = new Set<TargetConnection>();
  const testPool: TestPool = {
    openConnections,
    openedCount: 0,
    outcomes: [],
    server: createServerState(
      {
        group: toGroupName('ledger'),
        server: 'i-1' as ServerName,
        address: '127.0.0.1:1',
        zone: 'a',
        slots: 2,
        role: 'primary',
        isLeaving: false,
        bornMs: 1,
        sequence: 1,
      },
      performance.now(),
    ),
    pools: {
      group: toGroupName('ledger'),
      counters: {
        count: () => undefined,
        gauge: () => undefined,
        timing: () => undefined,
        totals: () => ({}),
        close: () => undefined,
      },
      maxConnections: () => maxConnections,
      openTarget: ({ customer }) => {
        const outcome = testPool.outcomes.shift();
        if (outcome) return Promise.resolve(outcome);
        testPool.openedCount += 1;
        const connection: TargetConnection = {
          customer,
          isOpen: () => openConnections.has(connection),
          close: () => openConnections.delete(connection),
          send: () => Promise.resolve({ kind: 'lost' }),
        };
        openConnections.add(connection);
        return Promise.resolve({ kind: 'open', connection, position: { term: 1, offset: 9 } });
      },
    },
  };
  return testPool;
}

async function acquire({ pools, server }: TestPool, customer = one, valuesKey = '') {
  const acquired = await acquireConnection(pools, server, customer, valuesKey);
  if (acquired.kind !== 'acquired') throw new Error('no connection available');
  return acquired.pooled;
}

describe('connection pool', () => {
  it('reuses connections only for the same customer', async () => {
    const testPool = createTestPool(4);
    const first = await acquire(testPool);
    releaseConnection(first);
    expect(await acquire(testPool)).toBe(first);
    releaseConnection(first);
    expect(await acquire(testPool, other)).not.toBe(first);
    expect(testPool.openedCount).toBe(2);
  });

  it('prefers a connection with the required session values', async () => {
    const testPool = createTestPool(4);
    const [first, second] = [await acquire(testPool), await acquire(testPool)];
    first.valuesKey = 'wanted';
    releaseConnection(first);
    releaseConnection(second);
    expect(await acquire(testPool, one, 'wanted')).toBe(first);
  });

  it('keeps to the connection limit and replaces idle connections of another customer', async () => {
    const testPool = createTestPool(2);
    const [first] = [await acquire(testPool), await acquire(testPool)];
    expect(hasAvailableConnection(testPool.pools, testPool.server)).toBe(false);
    const refused = await acquireConnection(testPool.pools, testPool.server, other, '');
    expect(refused.kind).toBe('unavailable');
    releaseConnection(first);
    expect(hasAvailableConnection(testPool.pools, testPool.server)).toBe(true);
    await acquire(testPool, other);
    expect(testPool.openConnections.size).toBe(2);
    expect(testPool.server.connectionCount).toBe(2);
  });

  it('closes idle connections in excess of a lowered limit and opens no new ones', async () => {
    const testPool = createTestPool(4);
    const acquired = [await acquire(testPool), await acquire(testPool), await acquire(testPool)];
    for (const pooled of acquired.slice(0, 2)) releaseConnection(pooled);
    const pools = { ...testPool.pools, maxConnections: () => 1 };
    closeExcessIdleConnections(pools, testPool.server);
    expect(testPool.openConnections.size).toBe(1);
    const refused = await acquireConnection(pools, testPool.server, other, '');
    expect(refused.kind).toBe('unavailable');
  });

  it('counts a connection once if it is discarded several times', async () => {
    const testPool = createTestPool(2);
    const first = await acquire(testPool);
    discardConnection(first);
    discardConnection(first);
    releaseConnection(first);
    expect(testPool.server.connectionCount).toBe(0);
    expect(testPool.server.idle).toEqual([]);
  });

  it('does not reuse connections that the server has closed', async () => {
    const testPool = createTestPool(2);
    const first = await acquire(testPool);
    releaseConnection(first);
    testPool.openConnections.clear();
    expect(await acquire(testPool)).not.toBe(first);
    expect(testPool.server.connectionCount).toBe(1);
  });

  it('closes connections of a retired server when they are released', async () => {
    const testPool = createTestPool(4);
    const [idle, busy] = [await acquire(testPool), await acquire(testPool)];
    releaseConnection(idle);
    retireServer(testPool.server);
    expect([...testPool.openConnections]).toEqual([busy.connection]);
    releaseConnection(busy);
    expect(testPool.openConnections.size).toBe(0);
    expect(testPool.server.connectionCount).toBe(0);
  });

  it('closes idle connections last used before a given time and keeps the others', async () => {
    const testPool = createTestPool(4);
    const [old, recent] = [await acquire(testPool), await acquire(testPool)];
    releaseConnection(old);
    releaseConnection(recent);
    old.lastUsedMs -= 1_000;
    closeIdleConnections(testPool.server, ({ lastUsedMs }) => lastUsedMs < recent.lastUsedMs);
    expect(testPool.server.idle).toEqual([recent]);
  });

  it.each<{ outcome: OpenTargetOutcome; isFailing: boolean; refusals: number; isBusy: boolean }>([
    {
      outcome: { kind: 'failed', why: 'unreachable' },
      isFailing: true,
      refusals: 1,
      isBusy: false,
    },
    { outcome: { kind: 'failed', why: 'silent' }, isFailing: true, refusals: 0, isBusy: false },
    { outcome: { kind: 'failed', why: 'closed' }, isFailing: true, refusals: 0, isBusy: false },
    {
      outcome: { kind: 'refused', code: 'misrouted' },
      isFailing: true,
      refusals: 1,
      isBusy: false,
    },
    {
      outcome: { kind: 'refused', code: 'too-many-connections' },
      isFailing: false,
      refusals: 0,
      isBusy: true,
    },
  ])('keeps no connection after an attempt that fails with $outcome', async (row) => {
    const testPool = createTestPool(4);
    const { pools, server } = testPool;
    testPool.outcomes.push(row.outcome);
    expect((await acquireConnection(pools, server, one, '')).kind).toBe('unavailable');
    expect(server.connectionCount).toBe(0);
    expect(server.failingSinceMs !== undefined).toBe(row.isFailing);
    expect(server.refusedCount).toBe(row.refusals);
    expect(server.busyUntilMs > performance.now()).toBe(row.isBusy);
    recordAnswer(server);
    expect(server).toMatchObject({ failingSinceMs: undefined, refusedCount: 0 });
  });
});
