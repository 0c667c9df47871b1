import type { StatementCustomer, StatementRoute, StatementSettings } from '@bramleykeel/core';
import { toCustomerName, toGroupName } from '@bramleykeel/core';
import { createRateClient, createRateHomes } from '@bramleykeel/entry-shared';
import type { LinkPeer } from '@bramleykeel/link';
import { Left, Right } from 'purify-ts';
import { describe, expect, it } from 'vitest';
import { SILENT_COUNTERS } from '../owner/snapshot-owner.js';
import type { ExplainRequest, OwnerExplanation } from '../types/explanation.js';
import { type ExplainContext, explainAtEntry } from './explain-at-entry.js';

const group = toGroupName('ledger');
const KEY = 'the-key';
const customer: StatementCustomer = {
  ...{ name: toCustomerName('tuulgan'), keys: [KEY], ratePerSecond: 100, burst: 50 },
  ...{ afterMove: 10, homeRegions: [] },
};
const route: StatementRoute = {
  ...{ name: 'r-1', group, consistency: 'bounded-age', maxReadAgeMs: 1_500, objectiveMs: 500 },
  ...{ statementTimeoutMs: 800, priority: 1, isOpenToAll: false, homeRegions: [] },
};
const settings: StatementSettings = {
  version: 7,
  routes: new Map([
    ['bookings', route],
    ['open', { ...route, isOpenToAll: true }],
    ['west-only', { ...route, homeRegions: ['west'] }],
  ]),
  groups: new Map(),
  customers: new Map([[customer.name, customer]]),
  customerByKey: new Map([[KEY, customer]]),
  idleTransactionMs: 3_000,
};
const request: ExplainRequest = {
  ...{ database: 'bookings', customer: 'tuulgan', access: 'read', mark: null, maxAgeMs: null },
};

interface Situation {
  readonly hasSettings?: boolean;
  readonly hasOwner?: boolean;
  readonly hasEnded?: boolean;
  /** What the owner answers; `undefined` for a link that breaks. */
  readonly answer?: unknown;
  readonly isStopping?: boolean;
}

function createContext(situation: Situation) {
  const { hasSettings = true, hasOwner = true, hasEnded = false, isStopping = false } = situation;
  const asked: unknown[] = [];
  const requested: unknown[] = [];
  const { answer } = situation;
  const peer = {
    request: (method: string, params: unknown) => {
      asked.push([method, params]);
      return Promise.resolve(answer === undefined ? Left('broken') : Right(answer));
    },
  } as unknown as LinkPeer;
  const assignment = {
    ...{ resource: 'group/ledger', epoch: 4, entryId: 'e-owner', incarnation: 'i-owner' },
    ...{ linkAddress: '127.0.0.1:9', zone: 'east' },
  };
  const record = { kind: 'assignment', assignment };
  const records = new Map(hasOwner ? [['group/ledger', { record, modifiedIndex: 1 }]] : []);
  const control = { records, incarnation: () => 'i-asked', heldEpoch: () => undefined };
  const owners = { options: { control }, endedEpochs: new Map(hasEnded ? [[group, 4]] : []) };
  const requestResource = (resource: unknown) => requested.push(resource);
  const rates = createRateClient({
    ...{ rateWaitMs: 100, homeWaitMs: () => 100 },
    draw: () => {
      requested.push('draw');
      return Promise.resolve(undefined);
    },
  });
  const environment = {
    ...{ owners, rates, readers: { waitingAt: new Map() }, counters: SILENT_COUNTERS },
    settings: () => (hasSettings ? settings : undefined),
    hasFreshSettings: () => true,
    stopPhase: () => (isStopping ? 'answering' : 'serving'),
    waits: () => ({ statementShare: 0.5 }),
  };
  const context = {
    ...{ entryId: 'e-asked', zone: 'east', regionOf: (zone: string) => zone, control, environment },
    links: { linkTo: () => peer },
    draws: { homes: createRateHomes(), limitOf: () => customer, requestResource },
    answerLocally: () => undefined,
  };
  return { context: context as unknown as ExplainContext, asked, requested };
}

const ownerPart = { outcome: { kind: 'run' }, servers: [] } as unknown as OwnerExplanation;

describe('explainAtEntry', () => {
  it.each([
    { change: { database: 'nowhere' }, failure: 'unknown-database', text: 'nowhere' },
    { change: { customer: 'nobody' }, failure: 'unknown-customer', text: 'nobody' },
    {
      change: { database: 'open', customer: 'nobody' },
      failure: 'unknown-customer',
      text: 'nobody',
    },
  ])('says $failure', async ({ change, failure, text }) => {
    const answer = await explainAtEntry(createContext({}).context, { ...request, ...change });
    expect(answer).toMatchObject({ kind: 'failed', failure });
    expect(answer).toHaveProperty('message', expect.stringContaining(text));
  });

  it.each([
    { situation: { hasSettings: false }, failure: 'no-settings' },
    { situation: { hasOwner: false }, failure: 'no-owner' },
    { situation: { hasEnded: true }, failure: 'no-owner' },
    { situation: {}, failure: 'owner-unreachable' },
    { situation: { answer: null }, failure: 'owner-unreachable' },
  ])('says $failure if $situation', async ({ situation, failure }) => {
    const { context, requested } = createContext(situation);
    expect(await explainAtEntry(context, request)).toMatchObject({ kind: 'failed', failure });
    expect(requested).toEqual([]);
  });

  // Guards against an explanation that asks control for an owner or a reader, or spends a token.
  it('asks the owner under its epoch for what a session would send, and changes nothing', async () => {
    const { context, asked, requested } = createContext({ answer: ownerPart });
    const answer = await explainAtEntry(context, { ...request, maxAgeMs: 300 });
    expect(asked).toMatchObject([
      [
        'statement/explain',
        [group, 4, { access: 'read', maxReadAgeMs: 300, priority: 1, consistency: 'bounded-age' }],
      ],
    ]);
    expect(requested).toEqual([]);
    expect(answer).toMatchObject({
      kind: 'explained',
      explanation: {
        decidedBy: 'owner',
        refusal: null,
        owner: { entryId: 'e-owner', epoch: 4 },
        reader: { entryId: null, reason: 'no-reader' },
      },
    });
    expect(JSON.stringify(answer)).not.toContain(KEY);
  });

  it.each([
    { situation: { isStopping: true }, change: {}, refusal: 'entry-stopping' },
    { situation: {}, change: { database: 'west-only' }, refusal: 'no-home-server' },
  ])('says that the entry refuses it: $refusal', async ({ situation, change, refusal }) => {
    const { context } = createContext({ ...situation, answer: ownerPart });
    const answer = await explainAtEntry(context, { ...request, ...change });
    expect(answer).toMatchObject({ explanation: { decidedBy: 'entry', refusal } });
  });

  it('explains callers without a key on routes that are open to all', async () => {
    const { context } = createContext({ answer: ownerPart });
    const open = { ...request, database: 'open', customer: '-' };
    expect(await explainAtEntry(context, open)).toMatchObject({ kind: 'explained' });
  });
});
