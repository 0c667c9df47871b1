import {
  type HomeRules,
  type Homes,
  recordAcknowledged,
  type StatementAccess,
  type StatementCustomer,
  type StatementRequest,
  type StatementRoute,
  type StatementSettings,
  toGroupName,
} from '@bramleykeel/core';
import { setTimeout as delay } from 'node:timers/promises';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { findHomes } from '../accept/access.js';
import type { SessionEnvironment } from '../accept/session-state.js';
import { createFakeGroup, type FakeGroup, type FakeServer } from '../test-support/fake-group.js';
import {
  expectRefusalAtOnce,
  runStatementAt,
  TEST_CUSTOMER,
  until,
} from '../test-support/run-statement.js';
import { dispatch, expireWaiting } from './dispatch.js';
import { closeStatementOwner } from './owner-lifecycle.js';
import type { StatementOwner } from './owner-state.js';
import { abortMisplacedTransactions } from './placement.js';
import { takeOver } from './take-over.js';
import { watchPrimary } from './watch-primary.js';

// Each zone of the fake group is a region of its own: server `i-N` is in `zone-N`, and `i-0` is the primary.
let fake: FakeGroup;
let owner: StatementOwner;

beforeEach(async () => {
  fake = createFakeGroup(3);
  ({ owner } = fake);
  await takeOver(owner);
  for (const { orders } of fake.servers) orders.length = 0;
});

afterEach(() => {
  closeStatementOwner(owner);
});

const run = (access: StatementAccess, homes: Homes, change: Partial<StatementRequest> = {}) =>
  runStatementAt(owner, access, { homes, ...change });

function ranAt(): string {
  return fake.servers
    .filter(({ orders }) => orders.some(({ kind }) => kind === 'run'))
    .map(({ name }) => name)
    .join(' ');
}

function homesFrom(routeHomes: readonly string[], customerHomes: readonly string[]) {
  const route = { group: toGroupName('ledger'), homeRegions: routeHomes } as StatementRoute;
  const settings = {
    routes: new Map([['database', route]]),
    customers: new Map([[TEST_CUSTOMER, { homeRegions: customerHomes } as StatementCustomer]]),
  } as unknown as StatementSettings;
  const environment = { settings: () => settings } as unknown as SessionEnvironment;
  return findHomes(environment, 'database', TEST_CUSTOMER);
}

interface Case {
  readonly name: string;
  readonly route?: readonly string[];
  readonly customer?: readonly string[];
  readonly access: 'read' | 'write';
  /** The servers at which statements ran, or the reason for a refusal. */
  readonly expected: string;
  /** The same after the route's homes have changed while the statement runs in a transaction. */
  readonly changedTo?: readonly string[];
}

describe('a statement with home regions', () => {
  it.each<Case>([
    { name: 'neither', access: 'write', expected: 'i-0' },
    { name: 'route alone', route: ['zone-1'], access: 'read', expected: 'i-1' },
    { name: 'route alone', route: ['zone-0', 'zone-1'], access: 'write', expected: 'i-0' },
    { name: 'route alone', route: ['zone-1'], access: 'write', expected: 'no-home-server' },
    { name: 'customer alone', customer: ['zone-2'], access: 'read', expected: 'i-2' },
    { name: 'customer alone', customer: ['zone-2'], access: 'write', expected: 'no-home-server' },
    {
      ...{ name: 'both', route: ['zone-0', 'zone-1'], customer: ['zone-1', 'zone-2'] },
      ...{ access: 'read', expected: 'i-1' },
    },
    {
      ...{ name: 'none in common', route: ['zone-0'], customer: ['zone-1'] },
      ...{ access: 'read', expected: 'no-home-server' },
    },
    { name: 'no server there', route: ['zone-9'], access: 'read', expected: 'no-home-server' },
    {
      ...{ name: 'change in flight, still a home', route: ['zone-0'], access: 'write' },
      ...{ changedTo: ['zone-0', 'zone-2'], expected: 'i-0' },
    },
    {
      ...{ name: 'change in flight, no home any more', route: ['zone-0'], access: 'write' },
      ...{ changedTo: ['zone-1'], expected: 'aborted' },
    },
  ])(
    'of $name, $access: $expected',
    async ({ route = [], access, expected, changedTo, ...rest }) => {
      const homes = homesFrom(route, rest.customer ?? []);
      if (typeof homes === 'string') {
        expect(homes).toBe(expected);
        return;
      }
      const ref = { number: 1, isReadOnly: false };
      const first = changedTo ? { transaction: { ...ref, isFirst: true } } : {};
      let outcome = await run(access, homes, first);
      if (changedTo) {
        expect(outcome).toMatchObject({ kind: 'done' });
        const changed = homesFrom(changedTo, []) as Homes;
        outcome = await run(access, changed, { transaction: { ...ref, isFirst: false } });
      }
      if (outcome.kind === 'done') expect(ranAt()).toBe(expected);
      else expect(outcome.kind === 'not-run' ? outcome.reason : outcome.kind).toBe(expected);
    },
  );

  it('is refused at once, and sent nowhere else, if the only home region is lost', async () => {
    const [, near] = fake.servers as [FakeServer, FakeServer, FakeServer];
    const state = owner.servers.get(near.name);
    if (state) Object.assign(state, { failingSinceMs: performance.now() - 1_000 });
    await expectRefusalAtOnce(run('read', ['zone-1']), 'no-home-server');
    expect(ranAt()).toBe('');
    expect(await run('read', null)).toMatchObject({ kind: 'done' });
  });
});

describe('a change of homes', () => {
  const database = 'bookings';
  const change = (regions: readonly string[]) => {
    const homesOf: HomeRules['homesOf'] = (subject) =>
      subject.database === database ? regions : null;
    fake.homeRules = { isLimited: true, homesOf };
  };

  beforeEach(() => {
    fake.homeRules = { isLimited: true, homesOf: () => null };
  });

  // Guards against statements that are sent by the homes with which they began to wait.
  it('applies to statements that wait, which are refused at once where no server may run them', async () => {
    const [primary] = fake.servers as [FakeServer];
    primary.statementMs = 300;
    const running = Array.from({ length: 2 }, () => run('write', null, { database }));
    const waiting = run('write', null, { database });
    await until(() => primary.orders.filter(({ kind }) => kind === 'run').length === 2);
    change(['zone-1']);
    expireWaiting(owner);
    await expectRefusalAtOnce(waiting, 'no-home-server');
    for (const outcome of await Promise.all(running)) expect(outcome.kind).toBe('done');
  });

  it('lets statements that wait run where they may run now', async () => {
    const [primary, near] = fake.servers as [FakeServer, FakeServer];
    primary.statementMs = 300;
    const running = Array.from({ length: 2 }, () => run('write', null, { database: 'other' }));
    const waiting = run('read', ['zone-0'], { database });
    change(['zone-1']);
    dispatch(owner);
    expect(await waiting).toMatchObject({ kind: 'done' });
    expect(near.orders.filter(({ kind }) => kind === 'run')).toHaveLength(1);
    await Promise.all(running);
  });

  it('stops a statement whose connection is being opened', async () => {
    const waiting = run('write', null, { database });
    change(['zone-1']);
    await delay(20);
    expireWaiting(owner);
    await expectRefusalAtOnce(waiting, 'no-home-server');
    expect(ranAt()).toBe('');
  });

  it('aborts open transactions whose server is no home any more, once their statement has ended', async () => {
    const ref = { number: 4, isReadOnly: false };
    const first = { database, transaction: { ...ref, isFirst: true } };
    expect(await run('write', null, first)).toMatchObject({ kind: 'done' });
    const [primary] = fake.servers as [FakeServer];
    primary.statementMs = 100;
    const sent = run('write', null, { database, transaction: { ...ref, isFirst: false } });
    await until(() => primary.orders.filter(({ kind }) => kind === 'run').length === 2);
    change(['zone-1']);
    abortMisplacedTransactions(owner);
    expect(await sent).toMatchObject({ kind: 'done' });
    abortMisplacedTransactions(owner);
    expect(owner.transactions.size).toBe(0);
    expect(primary.connections.size).toBe(1);
  });
});

describe('the primary of a group with homes', () => {
  it('is moved into a home, and not again within 10 s', async () => {
    fake.homeRegions = ['zone-1'];
    watchPrimary(owner);
    await until(() => owner.leadership.kind === 'led');
    expect(owner.leadership).toMatchObject({ server: 'i-1' });
    expect(await run('write', ['zone-1'])).toMatchObject({ kind: 'done' });
    fake.homeRegions = ['zone-2'];
    watchPrimary(owner);
    await delay(50);
    expect(owner.leadership).toMatchObject({ kind: 'led', server: 'i-1' });
    expect(await run('write', null)).toMatchObject({ kind: 'done' });
  });

  // Guards against an outage of the other routes while a lagging server in a home catches up.
  it('leads on outside while no server in a home is ready to follow it', async () => {
    const [primary, near] = fake.servers as [FakeServer, FakeServer, FakeServer];
    primary.position = { term: 3, offset: 60 };
    if (owner.acknowledgedPositions)
      recordAcknowledged(owner.acknowledgedPositions, primary.position, performance.now());
    near.position = { term: 3, offset: 50 };
    fake.homeRegions = ['zone-1'];
    watchPrimary(owner);
    await until(() => owner.leadership.kind === 'changing');
    const write = run('write', null);
    await until(() => owner.leadership.kind === 'led');
    expect(owner.leadership).toMatchObject({ server: primary.name });
    expect(fake.promotions).toEqual([]);
    expect(await write).toMatchObject({ kind: 'done' });
  });
});
