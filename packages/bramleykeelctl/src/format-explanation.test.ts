import { describe, expect, it } from 'vitest';
import { type Explanation, formatExplanation, parseMark } from './format-explanation.js';

const explanation: Explanation = {
  database: 'bookings',
  customer: 'tuulgan',
  access: 'read',
  readAgeAllowanceMs: null,
  owner: { entryId: 'entry-1', epoch: 4 },
  rate: {
    ratePerSecond: 100,
    burst: 50,
    home: { entryId: 'entry-2', epoch: 1, state: { tokens: 31.5, waitingDraws: 0 } },
  },
  choice: {
    outcome: { kind: 'run', server: 's2' },
    routedAs: { intent: 'read', mark: { term: 2, offset: 90 } },
    waitingRequests: 0,
    failoverPhase: 'steady',
    servers: [
      {
        server: 's1',
        isChosen: false,
        isPrimary: true,
        reason: 'a-replica-is-preferred',
        position: { term: 2, offset: 90 },
        freeSlots: 5,
        heardAgoMs: 12.4,
        upToDateAgoMs: 12.4,
      },
      {
        server: 's2',
        isChosen: true,
        isPrimary: false,
        position: { term: 2, offset: 90 },
        freeSlots: 5,
        heardAgoMs: 40,
        upToDateAgoMs: null,
      },
    ],
  },
};

describe('formatExplanation', () => {
  it('shows the choice, and the reason against each other server with the age of its facts', () => {
    expect(formatExplanation(explanation).split('\n')).toEqual([
      'read of tuulgan on bookings: runs on s2 at once',
      'owner: entry-1, epoch 4, steady, 0 waiting',
      'rate: 100/s, burst 50, home entry-2, epoch 1, 31 tokens, 0 draws waiting',
      'routed as: read with mark 2.90, read age: no limit',
      'servers:',
      '  s1 (primary) not chosen: a-replica-is-preferred, position 2.90, 5 free slots, heard 12 ms ago, up to date 12 ms ago',
      '  s2 (replica) chosen, position 2.90, 5 free slots, heard 40 ms ago, never up to date',
    ]);
  });

  it.each([
    { home: null, expected: 'no entry is its home' },
    {
      home: { entryId: 'entry-2', epoch: 1, state: null },
      expected: 'home entry-2, epoch 1, which does not answer',
    },
  ])('says that $expected', ({ home, expected }) => {
    const rate = { ...explanation.rate, home };
    expect(formatExplanation({ ...explanation, rate })).toContain(expected);
  });
});

describe('formatExplanation of a read that only the primary runs', () => {
  it('says why', () => {
    const routedAs = { intent: 'write', mark: { term: 0, offset: 0 } } as const;
    const text = formatExplanation({ ...explanation, choice: { ...explanation.choice, routedAs } });
    expect(text).toContain('write with mark 0.0 because the owner does not know all');
  });
});

describe('formatExplanation with the standing of servers', () => {
  const [first, ...rest] = explanation.choice.servers;
  const measured = { access: 'read', meanMs: 2.34, spreadMs: 1, sampleCount: 30, ageMs: 12 };
  const standing = { zone: 'zone-a', runningCount: 2, service: [measured], setAsideLeftMs: 140.2 };
  const servers = first ? [{ ...first, ...standing, isEvacuated: true }, ...rest] : [];

  it.each([
    { predictedWaitMs: 12.3, expected: 'predicted wait: 12 ms' },
    { predictedWaitMs: null, expected: 'predicted wait: unknown, too few answers or no server' },
  ])('shows $expected, and the limits on each server', ({ predictedWaitMs, expected }) => {
    const choice = { ...explanation.choice, predictedWaitMs, servers };
    const lines = formatExplanation({ ...explanation, choice }).split('\n');
    expect(lines).toContain(expected);
    expect(lines.find((line) => line.startsWith('  s1'))).toContain(
      'zone zone-a (evacuated), set aside for 140 ms, 2 running, read 2.3±1.0 ms of 30, 12 ms ago',
    );
  });

  it('says why a request is refused', () => {
    const choice = {
      ...explanation.choice,
      outcome: { kind: 'refused', reason: 'queue-full' } as const,
    };
    expect(formatExplanation({ ...explanation, choice })).toContain('refused: queue-full');
  });
});

describe('parseMark', () => {
  it.each([
    { text: '3.1207', expected: { term: 3, offset: 1207 } },
    { text: '3', expected: undefined },
    { text: '3.x', expected: undefined },
    { text: '-1.2', expected: undefined },
  ])('reads $text', ({ text, expected }) => {
    expect(parseMark(text)).toEqual(expected);
  });
});
