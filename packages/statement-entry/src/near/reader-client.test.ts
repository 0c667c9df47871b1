import { type StatementOutcome, toCustomerName, toGroupName } from '@bramleykeel/core';
import { setTimeout as delay } from 'node:timers/promises';
import { describe, expect, it } from 'vitest';
import type { StatementDraft } from '../locate/owner-client.js';
import type { ReaderLocation } from './locate-reader.js';
import type { MissingResult } from './read-attempt.js';
import { createReaderClient, type ReaderClient, runNearest } from './reader-client.js';

const group = toGroupName('ledger');
const read: StatementDraft = {
  tag: 't',
  access: 'read',
  body: { kind: 'plain', text: 'READ x' },
  transaction: null,
  customer: toCustomerName('tuulgan'),
  priority: 1,
  consistency: 'bounded-age',
  maxReadAgeMs: 1_500,
  mark: null,
  values: {},
  homes: null,
};
const done = (signature: string): StatementOutcome => {
  return { kind: 'done', rows: [], signature, position: null, isFromReplica: true };
};
const notRun: StatementOutcome = { kind: 'not-run', reason: 'queue-timeout', retryAfterMs: 200 };
const BUDGET_MS = 200;

interface TestClient {
  readonly client: ReaderClient;
  readonly sent: number[];
  answerAfterMs: number;
  answer: StatementOutcome | MissingResult;
}

function createTestClient(reader: ReaderLocation | undefined): TestClient {
  const test: TestClient = {
    sent: [],
    answerAfterMs: 1,
    answer: done('reader'),
    client: createReaderClient({
      regionOf: (zone) => zone,
      counters: {
        count: () => undefined,
        gauge: () => undefined,
        timing: () => undefined,
        totals: () => ({}),
        close: () => undefined,
      },
      locateReader: () => reader,
      runHere: () => Promise.resolve(test.answer),
      sendToReader: async (_reader, _group, _draft, budgetMs) => {
        test.sent.push(performance.now());
        const { answer, answerAfterMs } = test;
        await delay(Math.min(answerAfterMs, budgetMs));
        return answerAfterMs < budgetMs ? answer : 'unknown';
      },
    }),
  };
  return test;
}

const elsewhere = { kind: 'elsewhere', epoch: 1, linkAddress: 'a:1', zone: 'zone-a' } as const;

function run(test: TestClient, draft = read, atOwner = done('owner'), budgetMs = BUDGET_MS) {
  const deadlineMs = performance.now() + budgetMs;
  return runNearest(test.client, group, draft, deadlineMs, () => Promise.resolve(atOwner));
}

describe('reads with a reader in the region', () => {
  it.each([
    { name: 'here', reader: { kind: 'here', epoch: 1 } as const },
    { name: 'at another entry', reader: elsewhere },
  ])('run there, or at the owner if the reader cannot run them: $name', async ({ reader }) => {
    const test = createTestClient(reader);
    expect(await run(test)).toEqual(done('reader'));
    test.answer = 'refused';
    expect(await run(test)).toEqual(done('owner'));
  });

  it.each<{ name: string; change: Partial<StatementDraft> }>([
    { name: 'reads of the newest data', change: { consistency: 'newest' } },
    { name: 'writes', change: { access: 'write' } },
    {
      name: 'transactions',
      change: { transaction: { number: 1, isReadOnly: true, isFirst: true } },
    },
  ])('leave $name to the owner', async ({ change }) => {
    const test = createTestClient(elsewhere);
    expect(await run(test, { ...read, ...change })).toEqual(done('owner'));
    expect(test.sent).toEqual([]);
  });

  // Guards against content that passes through a region that is no home.
  it.each([
    { homes: ['zone-a'], reader: elsewhere, expected: 'reader' },
    { homes: ['zone-b'], reader: elsewhere, expected: 'owner' },
    { homes: ['zone-a'], reader: { ...elsewhere, zone: undefined }, expected: 'owner' },
    { homes: ['zone-b'], reader: { kind: 'here', epoch: 1 } as const, expected: 'reader' },
  ])('with the homes $homes run at the $expected', async ({ homes, reader, expected }) => {
    const test = createTestClient(reader);
    expect(await run(test, { ...read, homes })).toEqual(done(expected));
    if (expected === 'owner') expect(test.sent).toEqual([]);
  });

  it('run at the owner as well when the reader is late', async () => {
    const test = createTestClient(elsewhere);
    test.answerAfterMs = BUDGET_MS;
    const startedAtMs = performance.now();
    expect(await run(test)).toEqual(done('owner'));
    expect(performance.now() - startedAtMs).toBeLessThan(BUDGET_MS * 0.8);
  });

  it('are answered by a late reader if the owner cannot run them', async () => {
    const test = createTestClient(elsewhere);
    test.answerAfterMs = BUDGET_MS * 0.7;
    expect(await run(test, read, notRun)).toEqual(done('reader'));
  });

  it('are not reported as not run while the reader may run them', async () => {
    const test = createTestClient(elsewhere);
    test.answerAfterMs = BUDGET_MS * 2;
    expect(await run(test, read, notRun)).toEqual({ kind: 'timed-out' });
  });

  it.each<{ answer: MissingResult; expected: StatementOutcome }>([
    { answer: 'not-sent', expected: { ...notRun, reachedNoTarget: true } },
    { answer: 'refused', expected: { ...notRun, reachedNoTarget: false } },
    { answer: 'unknown', expected: { kind: 'timed-out' } },
  ])(
    'are refused with what is certain if the owner refuses them too: $answer at the reader',
    async ({ answer, expected }) => {
      const atOwner = { ...notRun, reachedNoTarget: true };
      for (const answerAfterMs of [1, BUDGET_MS * 0.7]) {
        const test = createTestClient(elsewhere);
        Object.assign(test, { answer, answerAfterMs });
        expect(await run(test, read, atOwner)).toEqual(expected);
      }
      const here = createTestClient({ kind: 'here', epoch: 1 });
      here.answer = answer;
      expect(await run(here, read, atOwner)).toEqual(expected);
    },
  );

  it('go to the owner at once while the reader answers none, as when it is frozen', async () => {
    const test = createTestClient(elsewhere);
    test.answerAfterMs = 600;
    const first = run(test, read, done('owner'), 600);
    await delay(300);
    expect(await run(test)).toEqual(done('owner'));
    expect(test.sent).toHaveLength(1);
    await first;
    await delay(400);
    test.answerAfterMs = 1;
    expect(await run(test)).toEqual(done('reader'));
  });
});
