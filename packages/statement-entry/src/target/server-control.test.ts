import { toCustomerName } from '@bramleykeel/core';
import { beforeEach, describe, expect, it } from 'vitest';
import type { ServerState } from '../owner/owner-state.js';
import {
  createFakeGroup,
  type FakeGroup,
  type FakeReachability,
  type FakeServer,
} from '../test-support/fake-group.js';
import { acquireConnection, releaseConnection } from './connection-pool.js';
import {
  closeControlConnection,
  sendControlOrderToAll,
  sendControlOrder,
  probeServer,
} from './server-control.js';

const busy = { kind: 'refused', code: 'busy', state: 'idle' } as const;

describe('control orders to servers', () => {
  let fake: FakeGroup;
  let server: FakeServer;
  let state: ServerState;

  beforeEach(async () => {
    fake = createFakeGroup(3);
    const [first] = fake.servers;
    const firstState = first && fake.owner.servers.get(first.name);
    if (!first || !firstState) throw new Error('the group has three servers');
    [server, state] = [first, firstState];
    await sendControlOrder(fake.owner, state, { kind: 'status' });
  });

  it('are sent one at a time over one connection', async () => {
    const statuses = await Promise.all([
      sendControlOrder(fake.owner, state, { kind: 'status' }),
      sendControlOrder(fake.owner, state, { kind: 'pause', term: 4 }),
      sendControlOrder(fake.owner, state, { kind: 'resume' }),
    ]);
    expect(statuses.map((each) => each?.status.heldTerm)).toEqual([0, 4, 0]);
    expect(server.connections.size).toBe(1);
  });

  it('record the position that a replica has applied, not the one that it has received', async () => {
    const [, , replica] = fake.servers;
    const laggingState = replica && fake.owner.servers.get(replica.name);
    if (!replica || !laggingState) throw new Error('the group has three servers');
    replica.applied = { term: 3, offset: 12 };
    const status = await sendControlOrder(fake.owner, laggingState, { kind: 'status' });
    expect(status?.status.position).toEqual({ term: 3, offset: 40 });
    expect(laggingState.position).toEqual({ term: 3, offset: 12 });
  });

  // Guards against STALE and LOST: a late copy of an earlier status counted as the present one.
  it.each([
    { name: 'position', role: 'primary', term: 3, offset: 49 },
    { name: 'term', role: 'primary', term: 2, offset: 60 },
    { name: 'role', role: 'primary', term: 3, offset: 50 },
  ])(
    'are sent again, over a new connection, if a status goes back in its $name',
    async (before) => {
      Object.assign(server, { role: before.name === 'role' ? 'replica' : 'primary' });
      server.position = { term: 3, offset: 50 };
      await sendControlOrder(fake.owner, state, { kind: 'status' });
      const { role, term, offset } = before;
      const copy = { role, term, position: { term, offset }, heldTerm: 0, connections: 1 };
      server.answers.push({
        ...{ kind: 'done', rows: [JSON.stringify(copy)], signature: '-', state: 'idle' },
        position: null,
      });
      const answer = await sendControlOrder(fake.owner, state, { kind: 'status' });
      expect(answer?.status).toMatchObject({ term: 3, position: { term: 3, offset: 50 } });
      expect(answer?.status.role).toBe(server.role);
      expect(server.connections.size).toBe(1);
    },
  );

  it('go on to all servers after one of them could not be sent', async () => {
    const { environment } = fake.owner;
    const { openTarget } = environment;
    Object.assign(environment, {
      openTarget: (request: Parameters<typeof openTarget>[0]) => {
        if (request.server === 'i-1') throw new RangeError('port should be below 65536');
        return openTarget(request);
      },
    });
    const statuses = await sendControlOrderToAll(fake.owner, () => ({ kind: 'status' }));
    expect(statuses.map((status) => status.server.announcement.server)).toEqual(['i-0', 'i-2']);
    Object.assign(environment, { openTarget });
    expect(await sendControlOrderToAll(fake.owner, () => ({ kind: 'status' }))).toHaveLength(3);
  });

  it('are repeated while the server is busy, until a timeout', async () => {
    server.answers.push(busy, busy);
    expect(await sendControlOrder(fake.owner, state, { kind: 'status' })).toBeDefined();
    server.answers.push(...Array.from({ length: 200 }, () => busy));
    const startedAtMs = performance.now();
    expect(await sendControlOrder(fake.owner, state, { kind: 'status' })).toBeUndefined();
    expect(performance.now() - startedAtMs).toBeLessThan(1_000);
    expect(state.failingSinceMs).toBeUndefined();
  });

  it('use a new connection if the existing one is silent, and close idle connections of the same age', async () => {
    const { pools } = fake.owner;
    const acquired = await acquireConnection(pools, state, toCustomerName('one'), '');
    if (acquired.kind === 'acquired') releaseConnection(acquired.pooled);
    server.reachability = 'old-silent';
    expect(await sendControlOrder(fake.owner, state, { kind: 'status' })).toBeDefined();
    expect(state.idle).toEqual([]);
    expect(state.failingSinceMs).toBeUndefined();
  });

  it.each<{ reachability: FakeReachability; isAlive: boolean; refusals: number }>([
    { reachability: 'up', isAlive: true, refusals: 0 },
    { reachability: 'refusing', isAlive: false, refusals: 1 },
    { reachability: 'dark', isAlive: false, refusals: 0 },
    { reachability: 'old-silent', isAlive: true, refusals: 0 },
  ])(
    'probe whether a server that is $reachability answers',
    async ({ reachability, isAlive, refusals }) => {
      server.reachability = reachability;
      const startedAtMs = performance.now();
      expect(await probeServer(fake.owner, state)).toBe(isAlive);
      expect(state.refusedCount).toBe(refusals);
      // The failure is dated from the start of the attempt, not from its timeout.
      if (!isAlive) expect(state.failingSinceMs).toBeLessThan(startedAtMs + 50);
    },
  );

  it('treat a server at its connection limit as alive', async () => {
    closeControlConnection(state);
    server.reachability = 'full';
    expect(await probeServer(fake.owner, state)).toBe(true);
    expect(state.failingSinceMs).toBeUndefined();
  });

  it('are sent to all servers concurrently, so a silent one does not block the answers of the others', async () => {
    server.reachability = 'dark';
    const statuses = await sendControlOrderToAll(fake.owner, () => ({ kind: 'status' }));
    expect(statuses.map((each) => each.server.announcement.server)).toEqual(['i-1', 'i-2']);
  });
});
