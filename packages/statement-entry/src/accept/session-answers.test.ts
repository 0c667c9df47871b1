import { type StatementOutcome, toGroupName } from '@bramleykeel/core';
import type { ControlClient } from '@bramleykeel/entry-shared';
import fc from 'fast-check';
import { setTimeout as delay } from 'node:timers/promises';
import { expect, it } from 'vitest';
import type { EntryLinks } from '../locate/entry-links.js';
import { createOwnerClient, handleOutcome, type OwnerClient } from '../locate/owner-client.js';
import { createReaderClient } from '../near/reader-client.js';
import type { CallerRequest } from '../types/caller-port.js';
import type { ConnectionState } from '../types/target-port.js';
import { abandonRequests, submitRequest } from './session.js';
import { type CallerSession, createSession, type SessionEnvironment } from './session-state.js';

const SEED = 20_261_206;
const group = toGroupName('ledger');
const counters = {
  ...{ count: () => undefined, gauge: () => undefined, timing: () => undefined },
  ...{ totals: () => ({}), close: () => undefined },
};
const route = {
  ...{ name: 'r', group, consistency: 'newest', maxReadAgeMs: 0, statementTimeoutMs: 1_000 },
  ...{ objectiveMs: 400, priority: 0, isOpenToAll: true, homeRegions: [] },
} as const;
const settings = {
  ...{ version: 1, routes: new Map([['bookings', route]]), groups: new Map() },
  ...{ customers: new Map(), customerByKey: new Map(), idleTransactionMs: 1_000 },
};

interface Answer {
  /** Signature of a result; `undefined` for an error, `null` for requests that the entry answers. */
  readonly signature: string | null | undefined;
  readonly state: ConnectionState;
}

/** Creates a session whose owner answers by the given kinds of outcomes, with copies of other answers around each. */
function createTestSession(kinds: readonly StatementOutcome['kind'][]) {
  const answers: Answer[] = [];
  let ended = 0;
  const left = [...kinds];
  const assignment = {
    ...{ resource: `group/${group}`, epoch: 1, incarnation: 'a', linkAddress: 'a:1' },
  };
  const owners: OwnerClient = createOwnerClient({
    homeRules: () => undefined,
    regionOf: (zone) => zone,
    control: {
      records: new Map([[`group/${group}`, { record: { kind: 'assignment', assignment } }]]),
      incarnation: () => 'a',
    } as unknown as ControlClient,
    links: () => ({}) as EntryLinks,
    sendLocally: (_group, _epoch, { number, tag }) => {
      const kind = left.shift();
      setImmediate(() => {
        // An answer to an earlier statement that comes again settles nothing.
        handleOutcome(owners, number - 1, outcomeOf('done', 'foreign'));
        handleOutcome(owners, number, outcomeOf(kind ?? 'done', tag));
        handleOutcome(owners, number, outcomeOf('done', 'foreign'));
      });
      return true;
    },
    ...{ rollBackLocally: () => undefined, withdrawLocally: () => undefined },
    ...{ withdrawOverLink: () => undefined, sendOverLink: () => false },
    ...{ rollBackOverLink: () => undefined, requestResource: () => undefined },
    lastStartMs: () => Number.POSITIVE_INFINITY,
  });
  const environment = {
    ...{ settings: () => settings, hasFreshSettings: () => true, stopPhase: () => 'serving' },
    ...{ returnsTokens: true, waits: () => ({ homeMs: 100, statementShare: 0.45 }), owners },
    ...{ counters, log: () => undefined, nextTransactionNumber: () => 1, successCount: 0 },
    readers: createReaderClient({
      ...{ regionOf: (zone: string) => zone, counters, locateReader: () => undefined },
      runHere: () => Promise.resolve('not-sent'),
      sendToReader: () => Promise.resolve('not-sent'),
    }),
  } as unknown as SessionEnvironment;
  const session: CallerSession = createSession(
    'bookings',
    undefined,
    {
      answer: (_rows, signature, state) => answers.push({ signature, state }),
      refuse: (_error, state) => answers.push({ signature: undefined, state }),
      close: () => undefined,
      endRequest: () => {
        ended += 1;
      },
      keepState: () => undefined,
    },
    environment,
  );
  return { session, answers, endedCount: () => ended };
}

function outcomeOf(kind: StatementOutcome['kind'], signature: string): StatementOutcome {
  switch (kind) {
    case 'done':
      return { kind, rows: [], signature, position: null, isFromReplica: false };
    case 'not-run':
      return { kind, reason: 'queue-timeout', retryAfterMs: 200 };
    case 'failed':
      return { kind, text: signature };
    case 'timed-out':
      return { kind };
    case 'aborted':
    case 'unknown':
      return { kind, reason: signature };
  }
}

const requestArbitrary = fc.constantFrom<CallerRequest>(
  { kind: 'begin', isReadOnly: false },
  { kind: 'commit', tag: '', text: 'COMMIT' },
  { kind: 'rollback' },
  { kind: 'statement', tag: '', access: 'read', text: 'READ x' },
  { kind: 'statement', tag: '', access: 'write', text: 'WRITE x a' },
  { kind: 'set', name: '__proto__', value: 'a' },
  { kind: 'prepare', name: 'p', access: 'write', shape: 'x ?' },
  { kind: 'execute', tag: '', name: 'p', argument: 'a' },
  { kind: 'deallocate', name: 'p' },
  { kind: 'malformed', reason: 'unknown query text' },
  { kind: 'overloaded' },
);
const kindsArbitrary = fc.array(
  fc.constantFrom<StatementOutcome['kind']>(
    ...(['done', 'done', 'done', 'not-run', 'failed', 'timed-out', 'aborted', 'unknown'] as const),
  ),
  { maxLength: 20 },
);

/** Whether an answer fits its request and the state before it. */
function fits(request: CallerRequest, before: ConnectionState, answer: Answer): boolean {
  const { signature, state } = answer;
  if (signature !== undefined && signature !== null)
    return 'tag' in request && signature === request.tag && isNextState(request, before, state);
  if (before === 'failed' && request.kind !== 'rollback' && request.kind !== 'commit')
    return signature === undefined && state === 'failed';
  const isOfEntry = ['begin', 'rollback', 'set', 'prepare', 'deallocate'].includes(request.kind);
  if (signature === null) return isOfEntry && isNextState(request, before, state);
  // An error ends a transaction, and at COMMIT the session's state with it.
  if (request.kind === 'commit') return state === 'idle';
  return request.kind !== 'rollback' && state === (before === 'idle' ? 'idle' : 'failed');
}

function isNextState(request: CallerRequest, before: ConnectionState, state: ConnectionState) {
  if (request.kind === 'begin') return before === 'idle' && state === 'open';
  if (request.kind === 'rollback') return state === 'idle';
  if (request.kind === 'commit') return before === 'open' && state === 'idle';
  return state === before;
}

// Guards against MIXED: an answer more or less than there are requests, or one with the state of another request.
it('gives each pipelined request one answer of its own, with the state of the session', async () => {
  const property = fc.asyncProperty(
    fc.array(requestArbitrary, { minLength: 1, maxLength: 20 }),
    kindsArbitrary,
    async (shapes, kinds) => {
      const requests = shapes.map((request, index) =>
        'tag' in request ? { ...request, tag: `t${index}` } : request,
      );
      const { session, answers, endedCount } = createTestSession(kinds);
      for (const request of requests) submitRequest(session, request);
      const untilMs = performance.now() + 2_000;
      while (endedCount() < requests.length && performance.now() < untilMs) await delay(1);
      expect(answers).toHaveLength(requests.length);
      let state: ConnectionState = 'idle';
      for (const [index, request] of requests.entries()) {
        const answer = answers[index];
        if (!answer) throw new Error('a request has no answer');
        expect({ request, state, answer, fits: fits(request, state, answer) }).toMatchObject({
          fits: true,
        });
        state = answer.state;
      }
    },
  );
  await fc.assert(property, { seed: SEED, numRuns: 300 });
});

it('gives each pipelined request one answer when the entry ends at any time', async () => {
  const property = fc.asyncProperty(
    fc.array(requestArbitrary, { minLength: 1, maxLength: 10 }),
    kindsArbitrary,
    // The stop of an entry is never in the turn of the event loop in which requests are read.
    fc.integer({ min: 1, max: 12 }),
    async (requests, kinds, turns) => {
      const { session, answers } = createTestSession(kinds);
      for (const request of requests) submitRequest(session, request);
      for (let turn = 0; turn < turns; turn += 1)
        await new Promise((resolve) => setImmediate(resolve));
      abandonRequests(session);
      abandonRequests(session);
      expect(answers).toHaveLength(requests.length);
      await delay(5);
      expect(answers).toHaveLength(requests.length);
    },
  );
  await fc.assert(property, { seed: SEED, numRuns: 300 });
});
