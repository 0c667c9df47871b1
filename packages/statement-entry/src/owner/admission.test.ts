import { type StatementOutcome, type StatementRequest, toCustomerName } from '@bramleykeel/core';
import { afterEach, describe, expect, it, vi } from 'vitest';
import { createFakeGroup, type FakeGroup } from '../test-support/fake-group.js';
import { acceptStatement } from './owner-app.js';
import { closeStatementOwner } from './owner-lifecycle.js';
import { takeOver } from './take-over.js';
import { expireWaiting } from './dispatch.js';

const STATEMENT_MS = 30;

describe('admission by the predicted wait', () => {
  let fake: FakeGroup;
  let outcomes: Map<number, { outcome: StatementOutcome }>;

  async function start(overloadControl: boolean): Promise<void> {
    outcomes = new Map();
    fake = createFakeGroup(1);
    Object.assign(fake.owner.environment, { overloadControl });
    await takeOver(fake.owner);
    const [primary] = fake.servers;
    if (!primary) throw new Error('the group has no servers');
    primary.statementMs = STATEMENT_MS;
  }

  afterEach(() => {
    closeStatementOwner(fake.owner);
  });

  function send(number: number, fields: Partial<StatementRequest> = {}): void {
    // Statements of a former test may still end.
    const ownOutcomes = outcomes;
    const channel = {
      id: 'link-1',
      answer: (answered: number, outcome: StatementOutcome) => {
        ownOutcomes.set(answered, { outcome });
      },
    };
    acceptStatement(fake.owner, channel, {
      ...{ number, tag: `t${number}`, access: 'write', body: { kind: 'plain', text: `${number}` } },
      ...{ transaction: null, customer: toCustomerName('one'), priority: 1, consistency: 'newest' },
      ...{ maxReadAgeMs: 0, mark: null, values: {}, budgetMs: 4_000, startWithinMs: 2_000 },
      ...{ homes: null, objectiveMs: 400 },
      ...fields,
    });
  }

  async function measure(): Promise<void> {
    for (let number = 1; number <= 20; number += 1) send(number);
    await vi.waitFor(
      () => {
        expect([...outcomes.values()].every(({ outcome }) => outcome.kind === 'done')).toBe(true);
        expect(outcomes.size).toBe(20);
      },
      { timeout: 20_000, interval: 5 },
    );
  }

  it('refuses at once what would start too late, and tells when to return', async () => {
    await start(true);
    await measure();
    for (let number = 100; number < 200; number += 1) send(number);
    const refused = [...outcomes.values()].filter(({ outcome }) => outcome.kind === 'not-run');
    expect(refused.length).toBeGreaterThan(40);
    for (const { outcome } of refused) {
      expect(outcome).toMatchObject({ reason: 'overloaded', reachedNoTarget: true });
      expect(outcome).toHaveProperty(
        'retryAfterMs',
        expect.toSatisfy((ms: number) => ms > 300),
      );
    }
  });

  it('admits an urgent statement while less urgent ones fill the queue, and starts it first', async () => {
    await start(true);
    await measure();
    for (let number = 100; number < 200; number += 1) send(number);
    send(300, { priority: 0, customer: toCustomerName('other') });
    expect(outcomes.get(300)).toBeUndefined();
    await vi.waitFor(() => {
      expect(outcomes.get(300)?.outcome.kind).toBe('done');
    });
    const servedBefore = [...outcomes].filter(
      ([number, { outcome }]) => number >= 100 && number < 200 && outcome.kind === 'done',
    );
    expect(servedBefore.length).toBeLessThan(10);
  });

  it('refuses nothing by forecast before it has measured the server', async () => {
    await start(true);
    for (let number = 100; number < 200; number += 1) send(number);
    expect(outcomes.size).toBe(0);
  });

  it('refuses a waiting statement as soon as the server has become too slow for it', async () => {
    await start(true);
    await measure();
    for (let number = 100; number < 110; number += 1) send(number);
    const [server] = fake.owner.servers.values();
    const load = server?.load.service.get('write');
    if (!server || !load) throw new Error('the server has no measurements');
    server.load.service.set('write', { ...load, meanMs: 3_000 });
    await new Promise((resolve) => setTimeout(resolve, 110));
    expireWaiting(fake.owner);
    expect(outcomes.get(109)?.outcome).toMatchObject({ reason: 'overloaded' });
  });

  it('queues as before when it is off, whatever the objective', async () => {
    await start(false);
    await measure();
    for (let number = 100; number < 500; number += 1) send(number);
    expect(outcomes.size).toBe(20);
  });
});
