import { type StatementOutcome, type StatementRequest, toCustomerName } from '@bramleykeel/core';
import { setTimeout as delay } from 'node:timers/promises';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { createFakeGroup, type FakeGroup, type FakeServer } from '../test-support/fake-group.js';
import { acceptStatement, dropEntryChannel, type EntryChannel, settleFates } from './owner-app.js';
import { closeStatementOwner } from './owner-lifecycle.js';
import { takeOver } from './take-over.js';

const STATEMENT_MS = 60;

describe('what an owner tells of statements whose link broke', () => {
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

  function send(number: number, access: StatementRequest['access'] = 'write'): void {
    acceptStatement(fake.owner, channel, {
      ...{ number, tag: 't', access, body: { kind: 'plain', text: `${number}` } },
      ...{ transaction: null, customer: toCustomerName('one'), priority: 1 },
      ...{ consistency: 'newest', maxReadAgeMs: 0, mark: null, values: {} },
      ...{ budgetMs: 4_000, startWithinMs: 2_000, homes: null },
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
  const fatesOf = (...numbers: readonly number[]) =>
    settleFates(
      fake.owner,
      numbers.map((number) => [number, 't']),
      0,
    );

  it('names those that wait or never arrived, and does not start them later', async () => {
    primary.statementMs = 1_000;
    for (const number of [1, 2, 3, 4]) send(number);
    await vi.waitFor(() => {
      expect(ranTexts()).toEqual(['1', '2']);
    });
    expect(fatesOf(1, 2, 3, 5)).toEqual([3, 5]);
    send(5);
    expect(outcomes.get(5)).toMatchObject({ kind: 'not-run', reachedNoTarget: true });
    expect((await answered(4)).kind).toBe('done');
    expect(ranTexts()).toEqual(['1', '2', '4']);
  });

  it('does not name those that have ended, or that a server has refused', async () => {
    primary.answers.push({ kind: 'refused', code: 'busy', state: 'idle' });
    send(1);
    await vi.waitFor(() => {
      expect(primary.orders).toHaveLength(1);
    });
    expect(fatesOf(1)).toEqual([]);
    await delay(STATEMENT_MS * 2);
    dropEntryChannel(fake.owner, channel);
    expect(fatesOf(1)).toEqual([]);
  });

  it('is nothing if it has begun after they may have been sent to a former owner of this epoch', () => {
    expect(settleFates(fake.owner, [[1, 't']], 60_000)).toBeUndefined();
  });

  // Guards against `unknown` for statements that were never sent to a server.
  it('is that they have not run if its lease ends before they are sent', async () => {
    send(1);
    fake.holdsLease = false;
    expect(await answered(1)).toMatchObject({ kind: 'not-run', reason: 'no-owner' });
    expect(ranTexts()).toEqual([]);
  });

  it('is that a COMMIT has not run if the orders before it failed or its connection had closed', async () => {
    const sendInTransaction = (number: number, access: 'write' | 'commit', isFirst: boolean) => {
      const values: Record<string, string> = access === 'commit' ? { unit: 'mm' } : {};
      acceptStatement(fake.owner, channel, {
        ...{ number, tag: 't', access, body: { kind: 'plain', text: access }, values },
        ...{ transaction: { number: 1, isReadOnly: false, isFirst }, priority: 1 },
        ...{ customer: toCustomerName('one'), consistency: 'newest', maxReadAgeMs: 0 },
        ...{ mark: null, budgetMs: 4_000, startWithinMs: 2_000, homes: null },
      });
    };
    sendInTransaction(1, 'write', true);
    expect((await answered(1)).kind).toBe('done');
    primary.answers.push({ kind: 'unknown', state: 'idle' });
    sendInTransaction(2, 'commit', false);
    expect((await answered(2)).kind).toBe('aborted');
    expect(ranTexts()).toEqual(['write']);
  });
});
