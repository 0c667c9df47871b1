import { type StatementOutcome, type StatementRequest, toCustomerName } from '@bramleykeel/core';
import { setTimeout as delay } from 'node:timers/promises';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { createFakeGroup, type FakeGroup, type FakeServer } from '../test-support/fake-group.js';
import { acceptStatement, acceptWithdrawal, type EntryChannel } from './owner-app.js';
import { closeStatementOwner } from './owner-lifecycle.js';
import { takeOver } from './take-over.js';

const STATEMENT_MS = 60;

describe('a statement whose caller has disconnected', () => {
  let fake: FakeGroup;
  let primary: FakeServer;
  let outcomes: Map<number, StatementOutcome>;
  let channel: EntryChannel;

  beforeEach(async () => {
    fake = createFakeGroup(1);
    const [first] = fake.servers;
    if (!first) throw new Error('the group has no servers');
    primary = first;
    outcomes = new Map();
    channel = {
      id: 'link-1',
      answer: (number, outcome) => {
        outcomes.set(number, outcome);
      },
    };
    await takeOver(fake.owner);
    primary.statementMs = STATEMENT_MS;
    primary.orders.length = 0;
  });

  afterEach(() => {
    closeStatementOwner(fake.owner);
  });

  function send(number: number, transaction: StatementRequest['transaction'] = null): void {
    acceptStatement(fake.owner, channel, {
      ...{ number, tag: `t${number}`, access: 'write', body: { kind: 'plain', text: `${number}` } },
      ...{ transaction, customer: toCustomerName('one'), priority: 1, consistency: 'newest' },
      ...{
        maxReadAgeMs: 0,
        mark: null,
        values: {},
        budgetMs: 4_000,
        startWithinMs: 2_000,
        homes: null,
      },
    });
  }

  /** Waits for an answer, however slow the machine is. */
  const answered = (number: number) =>
    vi.waitFor(
      () => {
        const outcome = outcomes.get(number);
        if (!outcome) throw new Error(`statement ${number} is not answered`);
        return outcome;
      },
      { timeout: 20_000, interval: 5 },
    );

  const ranTexts = () =>
    primary.orders.flatMap((order) => (order.kind === 'run' ? order.text : []));

  it('frees its place in the queue at once, and no other one', async () => {
    for (const number of [1, 2, 3, 4]) send(number);
    acceptWithdrawal(fake.owner, channel, 3);
    expect(outcomes.get(3)).toEqual({
      kind: 'not-run',
      reason: 'withdrawn',
      retryAfterMs: 200,
      reachedNoTarget: true,
    });
    acceptWithdrawal(fake.owner, { ...channel, id: 'link-2' }, 4);
    expect((await answered(4)).kind).toBe('done');
    expect(ranTexts()).toEqual(['1', '2', '4']);
  });

  it('finishes if a server runs it, and leaves a clean connection in the pool', async () => {
    send(1);
    await delay(STATEMENT_MS / 3);
    const before = new Set(primary.connections);
    acceptWithdrawal(fake.owner, channel, 1);
    expect((await answered(1)).kind).toBe('done');
    send(2);
    await answered(2);
    expect(primary.connections).toEqual(before);
  });

  it('is not sent while its connection is being opened, nor again after a server was busy', async () => {
    send(1);
    acceptWithdrawal(fake.owner, channel, 1);
    expect(await answered(1)).toMatchObject({ kind: 'not-run', reachedNoTarget: true });
    primary.answers.push({ kind: 'refused', code: 'busy', state: 'idle' });
    send(2);
    await vi.waitFor(() => {
      expect(fake.owner.running.size).toBe(0);
    });
    acceptWithdrawal(fake.owner, channel, 2);
    expect(await answered(2)).toEqual({ kind: 'not-run', reason: 'withdrawn', retryAfterMs: 200 });
    expect(ranTexts()).toEqual(['2']);
  });

  it('that waits for its transaction is dropped, and the transaction stays until it is rolled back', async () => {
    send(1, { number: 7, isReadOnly: false, isFirst: true });
    await answered(1);
    send(2);
    send(3);
    send(4, { number: 7, isReadOnly: false, isFirst: false });
    acceptWithdrawal(fake.owner, channel, 4);
    expect(outcomes.get(4)).toMatchObject({ kind: 'not-run', reason: 'withdrawn' });
    expect(fake.owner.transactions.size).toBe(1);
  });
});
