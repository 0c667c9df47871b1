import {
  type StatementOutcome,
  type StatementRequest,
  type StatementRoute,
  type StatementSettings,
  toCustomerName,
  toGroupName,
} from '@bramleykeel/core';
import { type ControlClient, createRateClient } from '@bramleykeel/entry-shared';
import { setTimeout as delay } from 'node:timers/promises';
import { beforeEach, describe, expect, it } from 'vitest';
import type { EntryLinks } from '../locate/entry-links.js';
import { createOwnerClient, handleOutcome, type OwnerClient } from '../locate/owner-client.js';
import { createReaderClient } from '../near/reader-client.js';
import type { CallerPort, CallerRequest } from '../types/caller-port.js';
import { abandonRequests, closeSession, submitRequest } from './session.js';
import { type CallerSession, createSession, type SessionEnvironment } from './session-state.js';

const group = toGroupName('ledger');
const customer = {
  name: toCustomerName('tuulgan'),
  keys: ['key'],
  ratePerSecond: 1,
  burst: 2,
  afterMove: 0,
  homeRegions: [],
};
const route: StatementRoute = {
  name: 'bookings',
  group,
  consistency: 'newest',
  maxReadAgeMs: 0,
  statementTimeoutMs: 1_000,
  objectiveMs: 400,
  priority: 0,
  isOpenToAll: false,
  homeRegions: [],
};
const settings: StatementSettings = {
  version: 1,
  routes: new Map([['bookings', route]]),
  groups: new Map(),
  customers: new Map([[customer.name, customer]]),
  customerByKey: new Map([['key', customer]]),
  idleTransactionMs: 1_000,
};
const done: StatementOutcome = {
  kind: 'done',
  rows: [],
  signature: 's',
  position: null,
  isFromReplica: false,
};
const untouched: StatementOutcome = {
  kind: 'not-run',
  reason: 'queue-timeout',
  retryAfterMs: 200,
  reachedNoTarget: true,
};
const write: CallerRequest = { kind: 'statement', tag: 't', access: 'write', text: 'WRITE x a' };
const commit: CallerRequest = { kind: 'commit', tag: 't', text: 'COMMIT' };
const GRANTED = 10;

const counters = {
  count: () => undefined,
  gauge: () => undefined,
  timing: () => undefined,
  totals: () => ({}),
  close: () => undefined,
};

describe('a session', () => {
  let session: CallerSession;
  let environment: SessionEnvironment;
  let owners: OwnerClient;
  /** Answers to the next statements; later ones stay unanswered. */
  let outcomes: StatementOutcome[];
  let sent: StatementRequest[];
  let withdrawn: number[];
  let refusals: string[];

  beforeEach(() => {
    outcomes = [];
    sent = [];
    withdrawn = [];
    refusals = [];
    const assignment = {
      resource: `group/${group}`,
      epoch: 1,
      incarnation: 'a',
      linkAddress: 'a:1',
    };
    owners = createOwnerClient({
      homeRules: () => undefined,
      regionOf: (zone) => zone,
      control: {
        records: new Map([[`group/${group}`, { record: { kind: 'assignment', assignment } }]]),
        incarnation: () => 'a',
      } as unknown as ControlClient,
      links: () => ({}) as EntryLinks,
      sendLocally: (_group, _epoch, request) => {
        sent.push(request);
        const outcome = outcomes.shift();
        if (outcome)
          setImmediate(() => {
            handleOutcome(owners, request.number, outcome);
          });
        return true;
      },
      rollBackLocally: () => undefined,
      withdrawLocally: (_group, _epoch, number) => {
        withdrawn.push(number);
      },
      withdrawOverLink: () => undefined,
      sendOverLink: () => false,
      rollBackOverLink: () => undefined,
      requestResource: () => undefined,
      lastStartMs: () => Number.POSITIVE_INFINITY,
    });
    environment = {
      settings: () => settings,
      hasFreshSettings: () => true,
      stopPhase: () => 'serving',
      returnsTokens: true,
      rates: createRateClient({
        rateWaitMs: 100,
        homeWaitMs: () => 100,
        draw: () =>
          Promise.resolve({
            granted: GRANTED,
            epoch: 1,
            drawNumber: 1,
            lifetimeMs: 60_000,
            retryAfterMs: 0,
          }),
      }),
      waits: () => ({ homeMs: 100, statementShare: 0.45 }),
      owners,
      readers: createReaderClient({
        regionOf: (zone) => zone,
        counters,
        locateReader: () => undefined,
        runHere: () => Promise.resolve('not-sent'),
        sendToReader: () => Promise.resolve('not-sent'),
      }),
      counters,
      log: () => undefined,
      nextTransactionNumber: () => 1,
      successCount: 0,
    };
    const port: CallerPort = {
      answer: () => undefined,
      refuse: (error) => {
        refusals.push(error.kind);
      },
      close: () => undefined,
      endRequest: () => undefined,
      keepState: () => undefined,
    };
    session = createSession('bookings', 'key', port, environment);
  });

  async function run(...requests: readonly CallerRequest[]): Promise<void> {
    for (const request of requests) submitRequest(session, request);
    await delay(30);
  }

  /** Tokens spent so far, of the one grant that the home has made. */
  function spent(): number {
    return GRANTED - (environment.rates.customers.get(customer.name)?.tokens.available ?? GRANTED);
  }

  it.each<{ name: string; outcome: StatementOutcome; expected: number }>([
    {
      name: 'gets its token back for an operation that reached no target',
      outcome: untouched,
      expected: 0,
    },
    {
      name: 'spends a token if a target has refused the operation',
      outcome: { kind: 'not-run', reason: 'queue-timeout', retryAfterMs: 200 },
      expected: 1,
    },
    {
      name: 'spends a token if the operation may have run',
      outcome: { kind: 'timed-out' },
      expected: 1,
    },
    { name: 'spends a token if the operation ran', outcome: done, expected: 1 },
  ])('$name', async ({ outcome, expected }) => {
    outcomes.push(outcome);
    await run(write);
    expect(spent()).toBe(expected);
  });

  it('tells the owner the objective only under overload control, so that messages stay as they were', async () => {
    outcomes.push(done, done);
    await run(write);
    expect(sent[0]).not.toHaveProperty('objectiveMs');
    Object.assign(environment, { overloadControl: true });
    await run(write);
    expect(sent[1]?.objectiveMs).toBe(400);
  });

  it('gets the token of a transaction back if none of its statements reached a target', async () => {
    outcomes.push(untouched);
    await run({ kind: 'begin', isReadOnly: false }, write);
    expect(spent()).toBe(1);
    await run({ kind: 'rollback' });
    expect(spent()).toBe(0);
  });

  it('spends the token of a transaction if one statement reached a target and a later one did not', async () => {
    outcomes.push(done, untouched);
    await run({ kind: 'begin', isReadOnly: false }, write, write, { kind: 'rollback' });
    expect(refusals).toEqual(['not-run']);
    expect(spent()).toBe(1);
  });

  it('gets the token of a transaction back once if its COMMIT alone was refused, or its caller leaves', async () => {
    outcomes.push(untouched);
    await run({ kind: 'begin', isReadOnly: false }, commit);
    expect(spent()).toBe(0);
    await run({ kind: 'begin', isReadOnly: false });
    closeSession(session);
    closeSession(session);
    expect(spent()).toBe(0);
  });

  // Guards against work at servers for callers that have gone: their statements waited until they ran.
  it('withdraws the statement that waits at the owner when its caller leaves, and sends no other', async () => {
    await run(write, write);
    closeSession(session);
    expect(withdrawn).toEqual(sent.map(({ number }) => number));
    handleOutcome(owners, withdrawn[0] ?? 0, { ...untouched, reason: 'withdrawn' });
    await delay(30);
    expect(sent).toHaveLength(1);
    expect(spent()).toBe(0);
  });

  it('does not resend the statement of a caller that has left to the next owner', async () => {
    await run(write);
    closeSession(session);
    handleOutcome(owners, withdrawn[0] ?? 0, { ...untouched, reason: 'no-owner' });
    await delay(60);
    expect(sent).toHaveLength(1);
  });

  describe('after a read that its reader answered once it had been repeated at the owner', () => {
    let copyNumber: number;
    let writeNumber: number;

    beforeEach(async () => {
      const reader = { kind: 'elsewhere', epoch: 1, linkAddress: 'b:1', zone: 'a' } as const;
      const nearRoute = { ...route, consistency: 'bounded-age', maxReadAgeMs: 500 } as const;
      const nearSettings = { ...settings, routes: new Map([['bookings', nearRoute]]) };
      Object.assign(environment, {
        settings: () => nearSettings,
        readers: createReaderClient({
          ...environment.readers.options,
          locateReader: () => reader,
          sendToReader: () => delay(600, done),
        }),
      });
      await run({ kind: 'statement', tag: 'r', access: 'read', text: 'READ x' }, write);
      await delay(650);
      [copyNumber = 0, writeNumber = 0] = sent.map(({ number }) => number);
      expect(sent.map(({ access }) => access)).toEqual(['read', 'write']);
    });

    // Guards against `not-run` for a write that the owner has: the end of the copy was taken for that of the write.
    it.each([done, { ...untouched, reason: 'no-owner' } as const])(
      'does not take the outcome of the copy for that of a later write: $kind',
      async (outcome) => {
        handleOutcome(owners, copyNumber, outcome);
        await delay(60);
        abandonRequests(session);
        expect(refusals).toEqual(['unknown']);
      },
    );

    it('withdraws what waits at the owner when its caller leaves', async () => {
      handleOutcome(owners, copyNumber, done);
      await delay(5);
      closeSession(session);
      expect(withdrawn).toEqual([writeNumber]);
    });
  });
});
