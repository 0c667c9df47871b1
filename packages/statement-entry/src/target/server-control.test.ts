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

describe('orders to servers', () => {
  let fake: FakeGroup;
  let server: FakeServer;
  let state: ServerState;

  beforeEach(async () => {
    fake = createFakeGroup(3);
    const [first] = fake.servers;
    const known = first && fake.owner.servers.get(first.name);
    if (!first || !known) throw new Error('the group has three servers');
    [server, state] = [first, known];
    await sendControlOrder(fake.owner, state, { kind: 'status' });
  });

  it('use one connection, one after the other', async () => {
    const statuses = await Promise.all([
      sendControlOrder(fake.owner, state, { kind: 'status' }),
      sendControlOrder(fake.owner, state, { kind: 'pause', term: 4 }),
      sendControlOrder(fake.owner, state, { kind: 'resume' }),
    ]);
    expect(statuses.map((each) => each?.status.heldTerm)).toEqual([0, 4, 0]);
    expect(server.connections.size).toBe(1);
  });

  it('tell what reads can see at a replica, not what it has received and applies later', async () => {
    const [, , replica] = fake.servers;
    const behind = replica && fake.owner.servers.get(replica.name);
    if (!replica || !behind) throw new Error('the group has three servers');
    replica.applied = { term: 3, offset: 12 };
    const status = await sendControlOrder(fake.owner, behind, { kind: 'status' });
    expect(status?.status.position).toEqual({ term: 3, offset: 40 });
    expect(behind.position).toEqual({ term: 3, offset: 12 });
  });

  it('are repeated while the server has no slot, and given up in time', async () => {
    server.answers.push(busy, busy);
    expect(await sendControlOrder(fake.owner, state, { kind: 'status' })).toBeDefined();
    server.answers.push(...Array.from({ length: 200 }, () => busy));
    const startedAtMs = performance.now();
    expect(await sendControlOrder(fake.owner, state, { kind: 'status' })).toBeUndefined();
    expect(performance.now() - startedAtMs).toBeLessThan(1_000);
    expect(state.failingSinceMs).toBeUndefined();
  });

  it('reach a server whose kept connection has gone silent, and drop what is as old', async () => {
    const { pools } = fake.owner;
    const acquired = await acquireConnection(pools, state, toCustomerName('one'), '');
    if (acquired.kind === 'acquired') releaseConnection(acquired.pooled);
    server.reachability = 'old-silent';
    expect(await sendControlOrder(fake.owner, state, { kind: 'status' })).toBeDefined();
    expect(state.idle).toEqual([]);
    expect(state.failingSinceMs).toBeUndefined();
  });

  it.each<{ reach: FakeReachability; isAlive: boolean; refusals: number }>([
    { reach: 'up', isAlive: true, refusals: 0 },
    { reach: 'refusing', isAlive: false, refusals: 1 },
    { reach: 'dark', isAlive: false, refusals: 0 },
    { reach: 'old-silent', isAlive: true, refusals: 0 },
  ])('tell whether a server that is $reach answers', async ({ reach, isAlive, refusals }) => {
    server.reachability = reach;
    const startedAtMs = performance.now();
    expect(await probeServer(fake.owner, state)).toBe(isAlive);
    expect(state.refusedCount).toBe(refusals);
    // Silence counts from the question, not from the moment when it was given up.
    if (!isAlive) expect(state.failingSinceMs).toBeLessThan(startedAtMs + 50);
  });

  it('find a server alive that has no room for another connection', async () => {
    closeControlConnection(state);
    server.reachability = 'full';
    expect(await probeServer(fake.owner, state)).toBe(true);
    expect(state.failingSinceMs).toBeUndefined();
  });

  it('go to all at the same time: one that is dark hides no answer of the others', async () => {
    server.reachability = 'dark';
    const statuses = await sendControlOrderToAll(fake.owner, () => ({ kind: 'status' }));
    expect(statuses.map((each) => each.server.announcement.server)).toEqual(['i-1', 'i-2']);
  });
});
