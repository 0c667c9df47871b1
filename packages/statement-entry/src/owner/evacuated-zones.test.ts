import { recordAcknowledged, type StatementAccess, type StatementRequest } from '@bramleykeel/core';
import { setTimeout as delay } from 'node:timers/promises';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { createReaderOffer } from '../near/reader-offer.js';
import { warmUpConnections } from '../target/connection-warmup.js';
import { createFakeGroup, type FakeGroup, type FakeServer } from '../test-support/fake-group.js';
import { expectRefusalAtOnce, runStatementAt, until } from '../test-support/run-statement.js';
import { expireWaiting } from './dispatch.js';
import { closeStatementOwner } from './owner-lifecycle.js';
import type { StatementOwner } from './owner-state.js';
import { followEvacuations } from './placement.js';
import { takeOver } from './take-over.js';
import { watchPrimary } from './watch-primary.js';

let fake: FakeGroup;
let owner: StatementOwner;
let primary: FakeServer;
let near: FakeServer;
let far: FakeServer;

const at = (offset: number) => ({ term: 3, offset });

beforeEach(async () => {
  fake = createFakeGroup(3);
  ({ owner } = fake);
  [primary, near, far] = fake.servers as [FakeServer, FakeServer, FakeServer];
  await takeOver(owner);
  for (const { orders } of fake.servers) orders.length = 0;
});

afterEach(() => {
  closeStatementOwner(owner);
});

const run = (access: StatementAccess, change?: Partial<StatementRequest>) =>
  runStatementAt(owner, access, change);

function evacuate(...zones: readonly string[]): void {
  fake.evacuatedZones = new Set(zones);
  followEvacuations(owner);
}

function ranStatements({ orders }: FakeServer): number {
  return orders.filter(({ kind }) => kind === 'run' || kind === 'begin').length;
}

describe('an owner', () => {
  it('starts no read in an evacuated zone, and keeps the primary outside', async () => {
    evacuate('zone-1');
    const outcomes = await Promise.all(Array.from({ length: 12 }, () => run('read')));
    expect(outcomes.every(({ kind }) => kind === 'done')).toBe(true);
    expect(ranStatements(near)).toBe(0);
    watchPrimary(owner);
    expect(owner.leadership).toMatchObject({ kind: 'led', server: primary.name });
  });

  it('opens no connections in advance there', async () => {
    evacuate('zone-1');
    await warmUpConnections(owner);
    expect(near.connections.size).toBe(1);
    expect(far.connections.size).toBe(2);
  });

  it('leaves the servers there out of its offers, and names the zones of the others', () => {
    const request = { zone: 'zone-1', entryId: 'entry-2' };
    expect(createReaderOffer(owner, request)?.servers).toMatchObject([{ zone: 'zone-1' }]);
    evacuate('zone-1');
    expect(createReaderOffer(owner, request)?.servers).toEqual([]);
  });

  it('replaces a primary there by a server outside, without a fence', async () => {
    near.position = at(60);
    evacuate('zone-0', 'zone-1');
    watchPrimary(owner);
    await until(() => owner.leadership.kind === 'led');
    expect(owner.leadership).toMatchObject({ server: far.name });
    expect(fake.promotions.map(({ server }) => server)).toEqual([far.name]);
    expect(primary.orders).not.toContainEqual(expect.objectContaining({ kind: 'demote' }));
    expect(await run('write')).toMatchObject({ kind: 'done' });
    expect(ranStatements(primary)).toBe(0);
  });

  // Guards against statements that wait for their deadline although nothing can serve them.
  it('refuses at once what needs a primary if no server elsewhere can lead', async () => {
    evacuate('zone-0', 'zone-2');
    for (const server of owner.servers.values())
      if (server.announcement.server === near.name)
        server.announcement = { ...server.announcement, isLeaving: true };
    watchPrimary(owner);
    await expectRefusalAtOnce(run('write'), 'no-primary');
    expect(owner.leadership.kind).toBe('led');
    evacuate();
    expect(await run('write')).toMatchObject({ kind: 'done' });
    expect(fake.promotions).toEqual([]);
  });

  it('refuses everything at once if all its servers are evacuated, also what waits', async () => {
    primary.statementMs = 200;
    near.statementMs = 200;
    far.statementMs = 200;
    const sent = Array.from({ length: 6 }, () => run('read'));
    const waiting = run('read');
    evacuate('zone-0', 'zone-1', 'zone-2');
    await expectRefusalAtOnce(run('read'), 'no-primary');
    const timer = setInterval(() => {
      expireWaiting(owner);
    }, 25);
    await expectRefusalAtOnce(waiting, 'no-primary');
    const outcomes = await Promise.all(sent);
    clearInterval(timer);
    expect(outcomes.every(({ kind }) => kind === 'done' || kind === 'not-run')).toBe(true);
  });

  it('leaves the primary its role if the order is withdrawn while no successor qualifies', async () => {
    near.position = at(30);
    far.position = at(30);
    evacuate('zone-0');
    watchPrimary(owner);
    await until(() => owner.leadership.kind === 'changing');
    await delay(700);
    await expectRefusalAtOnce(run('write'), 'no-primary');
    evacuate();
    await until(() => owner.leadership.kind === 'led');
    expect(owner.leadership).toMatchObject({ server: primary.name });
    expect(fake.promotions).toEqual([]);
    expect(await run('write')).toMatchObject({ kind: 'done' });
  });

  // Guards against a planned change that waits for ever for replicas that a former owner has paused.
  it('resumes replicas that were left paused while it waits for one to follow the primary', async () => {
    for (const server of [near, far]) Object.assign(server, { heldTerm: 4, position: at(30) });
    evacuate('zone-0');
    watchPrimary(owner);
    await until(() => near.heldTerm === 0 && far.heldTerm === 0);
    expect(owner.leadership.kind).toBe('changing');
    far.position = at(40);
    await until(() => owner.leadership.kind === 'led');
    expect(owner.leadership).toMatchObject({ server: far.name });
  });

  it('replaces a primary that was promoted for its log in an evacuated zone', async () => {
    primary.position = at(50);
    near.position = at(50);
    far.position = at(41);
    if (owner.acknowledgedPositions)
      recordAcknowledged(owner.acknowledgedPositions, at(50), performance.now());
    evacuate('zone-1');
    primary.reachability = 'refusing';
    for (const connection of [...primary.connections]) connection.close();
    const write = run('write');
    const timer = setInterval(() => {
      watchPrimary(owner);
    }, 20);
    await until(() => fake.promotions.length === 1);
    await delay(100);
    far.position = near.position;
    await until(() => owner.leadership.kind === 'led' && owner.leadership.server === far.name);
    clearInterval(timer);
    expect(fake.promotions.map(({ server }) => server)).toEqual([near.name, far.name]);
    expect((await write).kind).toMatch(/done|not-run/);
    expect(ranStatements(near)).toBe(0);
  });
});

describe('an open transaction in an evacuated zone', () => {
  const ref = { number: 7, isReadOnly: true };
  const first = { transaction: { ...ref, isFirst: true } };
  const next = { transaction: { ...ref, isFirst: false } };

  // The only server that is not evacuated leaves, so that no change of primary ends the transaction before.
  beforeEach(async () => {
    for (const server of owner.servers.values())
      if (server.announcement.server !== primary.name)
        server.announcement = { ...server.announcement, isLeaving: true };
    expect(await run('read', first)).toMatchObject({ kind: 'done' });
    evacuate('zone-0');
  });

  it('goes on until 3 s after the order, and is aborted then', async () => {
    await delay(2_600);
    followEvacuations(owner);
    expect(await run('read', next)).toMatchObject({ kind: 'done' });
    await delay(500);
    const count = ranStatements(primary);
    expect(await run('read', next)).toMatchObject({ kind: 'aborted' });
    expect(ranStatements(primary)).toBe(count);
  });

  it('is aborted then also if its caller sends nothing', async () => {
    await delay(3_050);
    followEvacuations(owner);
    expect(owner.transactions.size).toBe(0);
  });
});
