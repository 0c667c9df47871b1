import { type StatementOutcome, type StatementRequest, toCustomerName } from '@bramleykeel/core';
import { setTimeout as delay } from 'node:timers/promises';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { createFakeGroup, type FakeGroup, type FakeServer } from '../test-support/fake-group.js';
import { acceptStatement } from './owner-app.js';
import { closeStatementOwner, drainStatementOwner } from './owner-lifecycle.js';
import { takeOver } from './take-over.js';

const GRACE_MS = 200;

describe('an owner that hands its group over', () => {
  let fake: FakeGroup;
  let primary: FakeServer;
  let outcomes: Map<number, Promise<StatementOutcome>>;
  let settle: Map<number, (outcome: StatementOutcome) => void>;

  beforeEach(async () => {
    fake = createFakeGroup(3);
    const [first] = fake.servers;
    if (!first) throw new Error('the group has no servers');
    primary = first;
    outcomes = new Map();
    settle = new Map();
    await takeOver(fake.owner);
    await send(1, 'write', true);
  });

  afterEach(() => {
    closeStatementOwner(fake.owner);
  });

  function send(
    number: number,
    access: StatementRequest['access'],
    isFirst: boolean,
    transactionNumber = 1,
  ): Promise<StatementOutcome> {
    const outcome = new Promise<StatementOutcome>((resolve) => settle.set(number, resolve));
    outcomes.set(number, outcome);
    const answer = (answered: number, result: StatementOutcome) => settle.get(answered)?.(result);
    acceptStatement(
      fake.owner,
      { id: 'link-1', answer },
      {
        ...{ number, tag: `t${number}`, access, body: { kind: 'plain', text: access } },
        transaction: { number: transactionNumber, isReadOnly: false, isFirst },
        ...{ customer: toCustomerName('one'), priority: 1, consistency: 'newest' },
        ...{
          maxReadAgeMs: 0,
          mark: null,
          homes: null,
          values: {},
          budgetMs: 4_000,
          startWithinMs: 2_000,
        },
      },
    );
    return outcome;
  }

  // Guards against a COMMIT with an unknown outcome: it was cut off when the grace of transactions ended.
  it('waits for a commit that has reached a server', async () => {
    primary.statementMs = GRACE_MS;
    const drained = drainStatementOwner(fake.owner, GRACE_MS);
    await delay(GRACE_MS / 2);
    const commit = send(2, 'commit', false);
    await drained;
    closeStatementOwner(fake.owner);
    expect(await commit).toMatchObject({ kind: 'done' });
  });

  it('ends open transactions after their grace, and starts no further statement of theirs', async () => {
    await drainStatementOwner(fake.owner, GRACE_MS);
    expect(await send(2, 'write', false)).toMatchObject({ kind: 'aborted' });
    expect(fake.owner.transactions.size).toBe(0);
  });

  it('leaves new transactions to the next owner, and does not wait for them', async () => {
    await send(2, 'commit', false);
    const startedAtMs = performance.now();
    const drained = drainStatementOwner(fake.owner, 2_000);
    const first = send(3, 'write', true, 2);
    await drained;
    expect(await first).toMatchObject({ kind: 'not-run', reason: 'no-owner' });
    expect(performance.now() - startedAtMs).toBeLessThan(500);
  });
});
