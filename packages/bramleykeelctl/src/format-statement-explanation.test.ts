import { describe, expect, it } from 'vitest';
import {
  type ExplainedServer,
  formatStatementExplanation,
  type StatementExplanation,
} from './format-statement-explanation.js';

const usable: ExplainedServer = {
  ...{ server: 's1', zone: 'ub-a', isPrimary: true, share: 1, reason: null, slots: 4 },
  ...{ freeSlots: 3, runningCount: 1, isConnected: true, heardAgoMs: 40, answeredAgoMs: 7 },
  standing: {
    ...{ isEvacuated: false, isHome: true, isLeaving: false, cold: null, failingForMs: null },
    ...{ busyLeftMs: 0, laggingLeftMs: 0 },
    health: { stage: 'in-service', share: 1, sinceAgoMs: null },
  },
  others: { running: 2, ageMs: 300 },
  service: [{ access: 'read', meanMs: 18.26, spreadMs: 2, sampleCount: 40, ageMs: 7 }],
  failures: [],
  position: { term: 2, offset: 90 },
  expected: { waitMs: 0, delayMs: 18.26 },
};

const excluded: ExplainedServer = {
  ...usable,
  ...{ server: 's2-replica', isPrimary: false, share: 0, reason: 'evacuated', expected: null },
  standing: {
    ...{ isEvacuated: true, isHome: false, isLeaving: true, busyLeftMs: 30, laggingLeftMs: 60 },
    ...{ cold: { leftMs: 900, allowance: 2 }, failingForMs: 120 },
    health: { stage: 'probing', share: 0.05, sinceAgoMs: 800 },
  },
  ...{ others: null, service: [], failures: [{ kind: 'reset', count: 3, ageMs: 50 }] },
};

const explanation: StatementExplanation = {
  ...{ database: 'bookings', customer: 'tuulgan', access: 'read', refusal: null, reader: null },
  ...{ mark: null, maxReadAgeMs: 1_500, homes: null, decidedBy: 'owner' },
  entry: {
    ...{ entryId: 'e1', zone: 'ub-a', region: 'ub', settingsVersion: 7, hasFreshSettings: true },
  },
  route: {
    ...{ name: 'r-1', group: 'ledger', consistency: 'bounded-age', priority: 1 },
    ...{ objectiveMs: 500, statementTimeoutMs: 800 },
  },
  rate: {
    limit: { ratePerSecond: 100, burst: 50 },
    atEntry: {
      ...{ isTakenAtOnce: true, tokens: 4, grantLeftMs: 60, grantAgoMs: 40, waitingCount: 0 },
      isHomeReachable: false,
    },
    home: { entryId: 'e2', epoch: 3, state: null },
  },
  owner: {
    ...{ entryId: 'e3', epoch: 5, zone: 'ub-b', answeredInMs: 2 },
    part: {
      ...{ startedAgoMs: 9_000, readDistribution: 'even', outcome: { kind: 'run' } },
      ...{ isOverloadControlled: true, runningCount: 1, servers: [usable, excluded] },
      leadership: { kind: 'led', primary: 's1', sinceAgoMs: 8_000, reason: null },
      required: {
        ...{ mustBePrimary: false, position: { term: 2, offset: 88 }, acknowledgedAgoMs: 1_500 },
      },
      predictedWait: { startInMs: 12.4, serviceMs: 18.26 },
      waiting: { total: 6, pinned: 1, ofCustomer: 2 },
    },
  },
};

const withOwnerPart = (part: Partial<StatementExplanation['owner']['part']>) =>
  formatStatementExplanation({
    ...explanation,
    owner: { ...explanation.owner, part: { ...explanation.owner.part, ...part } },
  });

describe('formatStatementExplanation', () => {
  it('shows the choice and the facts with their ages', () => {
    const text = formatStatementExplanation(explanation);
    expect(text.split('\n').slice(0, 8)).toEqual([
      'read of tuulgan on bookings: the owner runs it on s1',
      'route:     r-1, group ledger, bounded-age up to 1500 ms old, mark none, priority 1, objective 500 ms, timeout 800 ms, homes anywhere',
      'entry:     e1 in ub-a (region ub), settings 7, fresh',
      'rate:      100/s, burst 50; here 4 tokens for 60 ms, asked for 40 ms ago, 0 waiting, admitted at once; the home did not answer last; home e2, epoch 3',
      'reader:    not asked, because the statement has to see the newest commits',
      'owner:     e3 in ub-b, epoch 5 for 9000 ms, primary s1 for 8000 ms, reads even, 1 running, answered in 2 ms',
      'requires:  position 2.88, acknowledged 1500 ms ago or earlier',
      'wait:      predicted 12 ms until the start, 18.3 ms to run (decides on admission), 6 waiting, 2 of the customer, 1 of transactions',
    ]);
  });

  it('aligns the servers, and names each limit on them', () => {
    const lines = formatStatementExplanation(explanation).split('\n').slice(-3);
    const [heading = '', first = '', second = ''] = lines;
    for (const [name, one, other] of [
      ['share', '100%', '0%'],
      ['reason', 'chosen', 'evacuated'],
      ['others', '2 (300 ms)', '-'],
      ['read', '18.3±2.0 ms of 40 (7 ms)', '-'],
      ['failures', '-', '3 reset (50 ms)'],
    ] as const) {
      const column = heading.indexOf(name);
      expect(first.slice(column)).toMatch(one);
      expect(second.slice(column, column + other.length)).toBe(other);
    }
    expect(second).toContain(
      'evacuated, not a home, leaving, cold for 900 ms, 2 left, probing for 800 ms, 5.0% of reads, ' +
        'unreachable for 120 ms, busy for 30 ms, lagging for 60 ms',
    );
  });

  it('shows the shares of a read that several servers may get', () => {
    const servers = [
      { ...excluded, share: 0.25 },
      { ...usable, share: 0.75 },
    ];
    expect(withOwnerPart({ servers })).toContain(
      'the owner runs it on s1 (75%) or s2-replica (25%)',
    );
  });

  it.each([
    {
      text: withOwnerPart({
        outcome: { kind: 'refused', reason: 'overloaded', retryAfterMs: 400 },
      }),
      expected: 'refused by the owner: overloaded, retry after 400 ms',
    },
    {
      text: withOwnerPart({ outcome: { kind: 'wait', reason: 'no slot' }, predictedWait: null }),
      expected: 'waits at the owner: no slot',
    },
    {
      text: formatStatementExplanation({
        ...{ ...explanation, decidedBy: 'entry', refusal: 'no-home-server', rate: null },
      }),
      expected: 'refused by the entry: no-home-server',
    },
    {
      text: formatStatementExplanation({
        ...explanation,
        decidedBy: 'reader',
        reader: {
          ...{ entryId: 'e4', epoch: 2, reason: null, answeredInMs: 1 },
          part: { reason: null, required: null, offerAgoMs: 90, servers: [usable] },
        },
      }),
      expected: 'the reader runs it on s1',
    },
  ])('says: $expected', ({ text, expected }) => {
    expect(text.split('\n')[0]).toContain(expected);
  });
});
