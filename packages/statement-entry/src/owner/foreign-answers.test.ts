import {
  hasUncoveredCommits,
  recordAcknowledged,
  type StatementAccess,
  toCustomerName,
} from '@bramleykeel/core';
import { setTimeout as delay } from 'node:timers/promises';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { createFakeGroup, type FakeGroup, type FakeServer } from '../test-support/fake-group.js';
import { runStatementAt, until } from '../test-support/run-statement.js';
import type { TargetAnswer } from '../types/target-port.js';
import { changePrimary } from './change-primary.js';
import { dispatch } from './dispatch.js';
import { closeStatementOwner, handleServerLeave } from './owner-lifecycle.js';
import { takeOver } from './take-over.js';
import { checkReplicas } from './watch-replicas.js';

const done = (state: 'idle' | 'open'): TargetAnswer => ({
  ...{ kind: 'done', rows: [], signature: '-', state, position: null },
});

let fake: FakeGroup;
let primary: FakeServer;

beforeEach(async () => {
  fake = createFakeGroup(3);
  [primary] = fake.servers as [FakeServer, FakeServer];
  await takeOver(fake.owner);
  primary.orders.length = 0;
});

afterEach(() => {
  closeStatementOwner(fake.owner);
});

describe('answers that are not those of their orders', () => {
  // Guards against a storm of connections: each further attempt opens one.
  it('do not let a read be repeated without a limit', async () => {
    primary.answers.push(...Array.from({ length: 100_000 }, () => ({ kind: 'foreign' }) as const));
    const outcome = runStatementAt(fake.owner, 'read', {
      consistency: 'newest',
      startWithinMs: 200,
    });
    // The stand-in has no timers of its own.
    const timer = setInterval(() => {
      dispatch(fake.owner);
    }, 5);
    await delay(200);
    const runs = primary.orders.filter(({ kind }) => kind === 'run').length;
    primary.answers.length = 0;
    await outcome;
    clearInterval(timer);
    expect(runs).toBeLessThan(50);
  });

  // Guards against a read of the incident that ran twelve times: its answer could not be read, whichever server gave it.
  it.each<TargetAnswer>([
    { kind: 'foreign' },
    { kind: 'lost' },
    { kind: 'unknown', state: 'idle' },
  ])('do not let a read run more often than a group has servers: $kind', async (answer) => {
    for (const { answers, orders } of fake.servers) {
      answers.push(...Array.from({ length: 1_000 }, () => answer));
      orders.length = 0;
    }
    const timer = setInterval(() => {
      dispatch(fake.owner);
    }, 5);
    const outcome = await runStatementAt(fake.owner, 'read', { startWithinMs: 400 });
    clearInterval(timer);
    const runs = fake.servers.flatMap(({ orders }) => orders.filter(({ kind }) => kind === 'run'));
    expect(runs).toHaveLength(fake.servers.length);
    expect(outcome.kind).toBe('unknown');
  });

  // Guards against a storm of connections: the server does not answer what prepares one for a statement.
  it('do not let a statement prepare one connection after another without a limit', async () => {
    primary.answers.push(...Array.from({ length: 100_000 }, () => ({ kind: 'foreign' }) as const));
    const timer = setInterval(() => {
      dispatch(fake.owner);
    }, 5);
    const values = { unit: 'mm' };
    const outcome = await runStatementAt(fake.owner, 'write', { values, startWithinMs: 200 });
    clearInterval(timer);
    const setups = primary.orders.filter(({ kind }) => kind === 'set').length;
    expect(setups).toBeGreaterThan(0);
    expect(setups).toBeLessThan(50);
    expect(outcome.kind).toBe('not-run');
  });

  // Guards against a storm of connections: a value or shape that no server takes is prepared for again and again.
  it.each<TargetAnswer>([
    { kind: 'unknown', state: 'idle' },
    { kind: 'failed', text: 'no such value', state: 'idle' },
    { kind: 'timed-out', state: 'idle' },
    { kind: 'refused', code: 'malformed', state: 'idle' },
  ])('do not let a value be set on one connection after another: $kind', async (answer) => {
    primary.answers.push(...Array.from({ length: 100_000 }, () => answer));
    const timer = setInterval(() => {
      dispatch(fake.owner);
    }, 5);
    const outcome = runStatementAt(fake.owner, 'write', {
      values: { unit: 'mm' },
      startWithinMs: 200,
    });
    await delay(250);
    clearInterval(timer);
    expect(primary.orders.filter(({ kind }) => kind === 'set').length).toBeLessThan(50);
    primary.answers.length = 0;
    expect((await outcome).kind).not.toBe('done');
  });

  // Guards against a storm of connections: the server does not know the prepared name, however often it is prepared.
  it('do not let a prepared write be refused on one connection after another', async () => {
    const unknownName = { kind: 'refused', code: 'unknown-statement', state: 'idle' } as const;
    primary.answers.push(
      ...Array.from({ length: 20_000 }, () => [done('idle'), unknownName]).flat(),
    );
    const timer = setInterval(() => {
      dispatch(fake.owner);
    }, 5);
    const body = { kind: 'prepared', access: 'write', shape: 'q', argument: 'x 1' } as const;
    const outcome = runStatementAt(fake.owner, 'write', { body, startWithinMs: 200 });
    await delay(250);
    clearInterval(timer);
    expect(primary.orders.filter(({ kind }) => kind === 'execute').length).toBeLessThan(50);
    primary.answers.length = 0;
    await outcome;
  });

  // Guards against a storm of connections to a primary that has lost the lead, until the owner has noticed.
  it.each([{ inTransaction: false }, { inTransaction: true }])(
    'do not let a write be refused as read-only on one connection after another, $inTransaction',
    async ({ inTransaction }) => {
      const readOnly = { kind: 'refused', code: 'read-only', state: 'idle' } as const;
      primary.answers.push(...Array.from({ length: 100_000 }, () => readOnly));
      const timer = setInterval(() => {
        dispatch(fake.owner);
      }, 5);
      const transaction = inTransaction ? { number: 1, isReadOnly: false, isFirst: true } : null;
      const outcome = runStatementAt(fake.owner, 'write', { transaction, startWithinMs: 200 });
      await delay(250);
      clearInterval(timer);
      const attempts = primary.orders.filter(({ kind }) => kind === 'run' || kind === 'begin');
      expect(attempts.length).toBeLessThan(50);
      primary.answers.length = 0;
      expect((await outcome).kind).toBe('not-run');
    },
  );

  // Guards against waits on a group without commits, where the second BEGIN of each connection cannot be told from the first.
  it('do not hold the server back if they may be the right ones on a connection used before', async () => {
    const first = { number: 1, isReadOnly: true, isFirst: true };
    primary.answers.push(done('open'), done('open'), done('idle'));
    const atPrimary = { consistency: 'newest' } as const;
    await runStatementAt(fake.owner, 'read', { ...atPrimary, transaction: first });
    await runStatementAt(fake.owner, 'commit', {
      ...atPrimary,
      transaction: { ...first, isFirst: false },
    });
    const [server] = fake.owner.servers.values();
    expect(server?.idle).toHaveLength(1);
    primary.answers.push({ kind: 'foreign' }, done('open'), done('open'));
    const second = { ...first, number: 2 };
    const outcome = runStatementAt(fake.owner, 'read', { ...atPrimary, transaction: second });
    await until(() => primary.orders.filter(({ kind }) => kind === 'begin').length >= 2);
    await delay(0);
    expect(server?.busyUntilMs).toBeLessThanOrEqual(performance.now());
    expect((await outcome).kind).toBe('done');
  });

  // Guards against one customer that crowds out the others by reads whose answers cannot be read.
  it('do not hold back the statements of other customers', async () => {
    primary.answers.push({ kind: 'foreign' });
    const one = runStatementAt(fake.owner, 'read', { consistency: 'newest' });
    await until(() => primary.orders.some(({ kind }) => kind === 'run'));
    const other = runStatementAt(fake.owner, 'write', { customer: toCustomerName('other') });
    await delay(0);
    const isSent = primary.orders.some((order) => order.kind === 'run' && order.isWrite);
    await delay(20);
    dispatch(fake.owner);
    await Promise.all([one, other]);
    expect(isSent).toBe(true);
  });

  // Guards against REFUSED and TWICE: the write may have run.
  it('leave a write with an unknown outcome, and do not let it run again', async () => {
    primary.answers.push({ kind: 'foreign' });
    expect((await runStatementAt(fake.owner, 'write')).kind).toBe('unknown');
    expect(primary.orders.filter(({ kind }) => kind === 'run')).toHaveLength(1);
  });

  // Guards against REFUSED: a write whose BEGIN was refused unnoticed was committed at once.
  it.each<StatementAccess>(['write', 'commit'])(
    'make no promise for the %s of a transaction',
    async (access) => {
      const transaction = { number: 1, isReadOnly: false };
      primary.answers.push(done('open'));
      if (access === 'commit') {
        primary.answers.push(done('open'));
        await runStatementAt(fake.owner, 'write', {
          transaction: { ...transaction, isFirst: true },
        });
      }
      primary.answers.push({ kind: 'foreign' });
      const outcome = await runStatementAt(fake.owner, access, {
        transaction: { ...transaction, isFirst: access === 'write' },
      });
      expect(outcome.kind).toBe('unknown');
    },
  );

  // Guards against LOST: the end of the commits that a replica has taken along is read from a status from before.
  it('do not tell from an old status which commits the replicas lack', async () => {
    const { owner } = fake;
    const [, near] = fake.servers as [FakeServer, FakeServer];
    const far = fake.servers[2];
    if (!far || !owner.acknowledgedPositions) throw new Error('the group is not complete');
    await checkReplicas(owner);
    near.position = { term: 3, offset: 41 };
    for (const server of [primary, far]) server.position = { term: 3, offset: 50 };
    recordAcknowledged(owner.acknowledgedPositions, { term: 3, offset: 50 }, performance.now());
    handleServerLeave(owner, far.name);
    await delay(1_050);
    owner.replicasCheckedMs = Number.NEGATIVE_INFINITY;
    const position = { term: 3, offset: 41 };
    const rows = [JSON.stringify({ role: 'primary', term: 3, position, heldTerm: 0 })];
    primary.answers.push({ ...done('idle'), rows } as TargetAnswer);
    await checkReplicas(owner);
    expect(hasUncoveredCommits(owner.coverage)).toBe(true);
  });

  // Guards against a change of primary that waits for ever: commits go on while the status is on its way.
  it('are not suspected in a status that covers what was acknowledged when it was asked for', async () => {
    const { owner } = fake;
    const [, near, far] = fake.servers;
    const { acknowledgedPositions } = owner;
    if (!near || !far || !acknowledgedPositions) throw new Error('the group is not complete');
    for (const server of fake.servers) server.position = { term: 3, offset: 50 };
    recordAcknowledged(acknowledgedPositions, { term: 3, offset: 50 }, performance.now());
    handleServerLeave(owner, far.name);
    await delay(1_050);
    owner.replicasCheckedMs = Number.NEGATIVE_INFINITY;
    const checked = checkReplicas(owner);
    recordAcknowledged(acknowledgedPositions, { term: 3, offset: 51 }, performance.now());
    await checked;
    expect(hasUncoveredCommits(owner.coverage)).toBe(false);
  });

  // Guards against UNKNOWN in place of a promise: the transaction was open, so that its connection's end rolls it back.
  it('abort a transaction that was open before, as a read of it commits nothing', async () => {
    const transaction = { number: 1, isReadOnly: false };
    primary.answers.push(done('open'), done('open'), { kind: 'foreign' });
    const first = await runStatementAt(fake.owner, 'write', {
      transaction: { ...transaction, isFirst: true },
    });
    expect(first.kind).toBe('done');
    const read = await runStatementAt(fake.owner, 'read', {
      transaction: { ...transaction, isFirst: false },
    });
    expect(read.kind).toBe('aborted');
  });

  // Guards against STALE: reads need no more than the position in a status from before the promotion.
  it('do not make a server primary by a status from before it was fenced', async () => {
    const { owner } = fake;
    primary.position = { term: 3, offset: 50 };
    if (!owner.acknowledgedPositions) throw new Error('the owner has no primary');
    recordAcknowledged(owner.acknowledgedPositions, { term: 3, offset: 50 }, performance.now());
    const rows = [
      JSON.stringify({
        ...{ role: 'primary', term: 3, position: { term: 3, offset: 40 }, heldTerm: 0 },
        connections: 1,
      }),
    ];
    const { promoteServer } = owner.environment;
    Object.assign(owner.environment, {
      promoteServer: async (request: Parameters<typeof promoteServer>[0]) => {
        const outcome = await promoteServer(request);
        const promoted = fake.servers.find(({ name }) => name === request.server);
        promoted?.answers.push({ ...done('idle'), rows } as TargetAnswer);
        return outcome;
      },
    });
    await changePrimary(owner, 'a test', false, true);
    expect(owner.leadership).toMatchObject({ kind: 'led', server: primary.name });
    const [position] = owner.acknowledgedPositions.history;
    expect(position?.position).toEqual({ term: 3, offset: 50 });
  });
});
