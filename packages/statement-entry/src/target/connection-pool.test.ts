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

interface World {
  readonly pools: PoolContext;
  readonly server: ServerState;
  readonly open: Set<TargetConnection>;
  opened: number;
  /** What the next attempts meet instead of an open connection. */
  readonly outcomes: OpenTargetOutcome[];
}

function createWorld(maxConnections: number): World {
  const open = new Set<TargetConnection>();
  const world: World = {
    open,
    opened: 0,
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
        const outcome = world.outcomes.shift();
        if (outcome) return Promise.resolve(outcome);
        world.opened += 1;
        const connection: TargetConnection = {
          customer,
          isOpen: () => open.has(connection),
          close: () => open.delete(connection),
          send: () => Promise.resolve({ kind: 'lost' }),
        };
        open.add(connection);
        return Promise.resolve({ kind: 'open', connection, position: { term: 1, offset: 9 } });
      },
    },
  };
  return world;
}

async function take({ pools, server }: World, customer = one, valuesKey = '') {
  const acquired = await acquireConnection(pools, server, customer, valuesKey);
  if (acquired.kind !== 'acquired') throw new Error('no connection was left');
  return acquired.pooled;
}

describe('connections to a server', () => {
  it('are used again for the same customer only', async () => {
    const world = createWorld(4);
    const first = await take(world);
    releaseConnection(first);
    expect(await take(world)).toBe(first);
    releaseConnection(first);
    expect(await take(world, other)).not.toBe(first);
    expect(world.opened).toBe(2);
  });

  it('with the wanted values come first', async () => {
    const world = createWorld(4);
    const [first, second] = [await take(world), await take(world)];
    first.valuesKey = 'wanted';
    releaseConnection(first);
    releaseConnection(second);
    expect(await take(world, one, 'wanted')).toBe(first);
  });

  it('never exceed the bound, and make room for another customer', async () => {
    const world = createWorld(2);
    const [first] = [await take(world), await take(world)];
    expect(hasAvailableConnection(world.pools, world.server)).toBe(false);
    const refused = await acquireConnection(world.pools, world.server, other, '');
    expect(refused.kind).toBe('unavailable');
    releaseConnection(first);
    expect(hasAvailableConnection(world.pools, world.server)).toBe(true);
    await take(world, other);
    expect(world.open.size).toBe(2);
    expect(world.server.connectionCount).toBe(2);
  });

  it('beyond a bound that has fallen are closed, those in use when they come back', async () => {
    const world = createWorld(4);
    const taken = [await take(world), await take(world), await take(world)];
    for (const pooled of taken.slice(0, 2)) releaseConnection(pooled);
    const pools = { ...world.pools, maxConnections: () => 1 };
    closeExcessIdleConnections(pools, world.server);
    expect(world.open.size).toBe(1);
    const refused = await acquireConnection(pools, world.server, other, '');
    expect(refused.kind).toBe('unavailable');
  });

  it('count once, however often they are discarded', async () => {
    const world = createWorld(2);
    const first = await take(world);
    discardConnection(first);
    discardConnection(first);
    releaseConnection(first);
    expect(world.server.connectionCount).toBe(0);
    expect(world.server.idle).toEqual([]);
  });

  it('that the server closed are not used again', async () => {
    const world = createWorld(2);
    const first = await take(world);
    releaseConnection(first);
    world.open.clear();
    expect(await take(world)).not.toBe(first);
    expect(world.server.connectionCount).toBe(1);
  });

  it('are closed when they come back after the server was given up', async () => {
    const world = createWorld(4);
    const [idle, busy] = [await take(world), await take(world)];
    releaseConnection(idle);
    retireServer(world.server);
    expect([...world.open]).toEqual([busy.connection]);
    releaseConnection(busy);
    expect(world.open.size).toBe(0);
    expect(world.server.connectionCount).toBe(0);
  });

  it('that have gone silent are dropped without those that were used since', async () => {
    const world = createWorld(4);
    const [old, recent] = [await take(world), await take(world)];
    releaseConnection(old);
    releaseConnection(recent);
    old.lastUsedMs -= 1_000;
    closeIdleConnections(world.server, ({ lastUsedMs }) => lastUsedMs < recent.lastUsedMs);
    expect(world.server.idle).toEqual([recent]);
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
  ])('that fail with $outcome leave nothing open', async (row) => {
    const world = createWorld(4);
    const { pools, server } = world;
    world.outcomes.push(row.outcome);
    expect((await acquireConnection(pools, server, one, '')).kind).toBe('unavailable');
    expect(server.connectionCount).toBe(0);
    expect(server.failingSinceMs !== undefined).toBe(row.isFailing);
    expect(server.refusedCount).toBe(row.refusals);
    expect(server.busyUntilMs > performance.now()).toBe(row.isBusy);
    recordAnswer(server);
    expect(server).toMatchObject({ failingSinceMs: undefined, refusedCount: 0 });
  });
});
