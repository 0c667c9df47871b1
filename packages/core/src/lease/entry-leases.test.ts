import { describe, expect, it } from 'vitest';
import type { Assignment } from '../control-state/types.js';
import { toEntryId, toIncarnation } from '../types/ids.js';
import {
  chooseHolder,
  createEntryLeases,
  endExpiredLeases,
  holderEndedForMs,
  endIncarnation,
  endEarlierHoldersAtAddress,
  mayHolderAct,
  renewLease,
  endExpiredHolders,
} from './entry-leases.js';

const TIMING = { leaseMs: 2_500, driftMarginMs: 250 };

function renewal(entry: string, incarnation: string, port = 1, zone = 'zone-a') {
  return {
    entryId: toEntryId(entry),
    incarnation: toIncarnation(incarnation),
    linkAddress: `127.0.0.1:${port}`,
    zone,
    isStopping: false,
    settingsRevision: 0,
  };
}

function assignmentTo(
  incarnation: string,
  resource: Assignment['resource'] = 'group/g',
): Assignment {
  const entryId = toEntryId('e');
  return { resource, epoch: 1, entryId, incarnation: toIncarnation(incarnation), linkAddress: 'x' };
}

describe('mayHolderAct', () => {
  const leases = () => {
    const state = createEntryLeases(TIMING, 0);
    renewLease(state, renewal('e1', 'i1'), 10_000);
    return state;
  };
  const CASES: readonly [string, string, number, boolean][] = [
    ['a live lease', 'i1', 12_000, true],
    ['a lease inside the drift margin', 'i1', 12_749, true],
    ['a lease after the drift margin', 'i1', 12_750, false],
    ['a holder unknown to a new leader', 'i0', 2_749, true],
    ['a holder unknown to a leader that waited one lease', 'i0', 2_750, false],
  ];
  it.each(CASES)('%s', (_name, incarnation, nowMs, expected) => {
    expect(mayHolderAct(leases(), assignmentTo(incarnation), nowMs)).toBe(expected);
  });

  it('starts the wait at the latest time at which an earlier leader can have granted a lease', () => {
    const state = createEntryLeases(TIMING, 1_000, 600);
    expect(mayHolderAct(state, assignmentTo('i0'), 3_349)).toBe(true);
    expect(mayHolderAct(state, assignmentTo('i0'), 3_350)).toBe(false);
  });

  it('returns false immediately for an incarnation that is proven dead', () => {
    const state = leases();
    endIncarnation(state, toIncarnation('i1'), 10_000);
    expect(mayHolderAct(state, assignmentTo('i1'), 10_001)).toBe(false);
  });

  it('returns false immediately when a newer incarnation uses the same address', () => {
    const state = leases();
    renewLease(state, renewal('e1', 'i2'), 10_100);
    expect(mayHolderAct(state, assignmentTo('i1'), 10_100)).toBe(false);
  });

  it('waits for the lease to expire when the same entry id renews from another address', () => {
    const state = leases();
    renewLease(state, renewal('e1', 'i2', 2), 10_100);
    expect(mayHolderAct(state, assignmentTo('i1'), 10_200)).toBe(true);
  });
});

describe('the time since a holder ended', () => {
  it('is known from the age of a newer incarnation at its address', () => {
    const state = createEntryLeases(TIMING, 0);
    const newer = { ...renewal('e1', 'i2'), incarnationAgeMs: 900 };
    const assignment = { ...assignmentTo('i1'), linkAddress: newer.linkAddress };
    expect(holderEndedForMs(state, assignment, 10_000)).toBeUndefined();
    expect(endEarlierHoldersAtAddress(state, [assignment], newer, 10_000)).toBe(true);
    expect(holderEndedForMs(state, assignment, 10_000)).toBe(900);
    endIncarnation(state, toIncarnation('i1'), 10_000);
    expect(holderEndedForMs(state, assignment, 10_100)).toBe(1_000);
  });

  it('counts from the end of the lease for a holder that fell silent', () => {
    const state = createEntryLeases(TIMING, 0);
    renewLease(state, renewal('e1', 'i1'), 0);
    endExpiredHolders(state, [assignmentTo('i1')], 3_000);
    expect(holderEndedForMs(state, assignmentTo('i1'), 3_000)).toBe(250);
  });

  // Guards against QUOTA: each holder counted as ended since the leader's election, so that a moved rate began with a full bucket.
  it('keeps the time for a holder that is proven dead', () => {
    const state = createEntryLeases(TIMING, 0);
    renewLease(state, renewal('e1', 'i1'), 9_000);
    endIncarnation(state, toIncarnation('i1'), 9_000);
    expect(endExpiredHolders(state, [assignmentTo('i1')], 9_000)).toHaveLength(1);
    expect(endExpiredHolders(state, [assignmentTo('i1')], 10_000)).toHaveLength(1);
    expect(holderEndedForMs(state, assignmentTo('i1'), 10_000)).toBe(1_000);
  });

  it('keeps the time for a holder whose lease has expired', () => {
    const state = createEntryLeases(TIMING, 0);
    renewLease(state, renewal('e1', 'i1'), 7_000);
    endExpiredLeases(state, 10_000);
    endExpiredHolders(state, [assignmentTo('i1')], 10_000);
    expect(holderEndedForMs(state, assignmentTo('i1'), 10_000)).toBe(250);
  });

  it('counts from the last lease that an earlier leader can have granted', () => {
    const state = createEntryLeases(TIMING, 1_000, 600);
    endExpiredHolders(state, [assignmentTo('i0')], 4_000);
    expect(holderEndedForMs(state, assignmentTo('i0'), 4_000)).toBe(650);
  });
});

describe('reassignment', () => {
  it('rejects renewals of an ended holder while its resource is being reassigned', () => {
    const state = createEntryLeases(TIMING, 0);
    renewLease(state, renewal('e1', 'i1'), 0);
    const orphaned = endExpiredHolders(state, [assignmentTo('i1')], 60_000);
    expect(orphaned).toHaveLength(1);
    expect(renewLease(state, renewal('e1', 'i1'), 60_001)).toBe('ended');
  });

  it('ends an expired lease even if it holds no resources', () => {
    const state = createEntryLeases(TIMING, 0);
    renewLease(state, renewal('e1', 'i1'), 0);
    expect(endExpiredLeases(state, 2_749)).toEqual([]);
    expect(endExpiredLeases(state, 2_750)).toEqual(['i1']);
  });

  it('chooses the preferred zone first, then the entry with the fewest resources', () => {
    const state = createEntryLeases(TIMING, 0);
    renewLease(state, renewal('e1', 'i1', 1, 'zone-a'), 0);
    renewLease(state, renewal('e2', 'i2', 2, 'zone-b'), 0);
    renewLease(state, renewal('e3', 'i3', 3, 'zone-b'), 0);
    renewLease(state, { ...renewal('e4', 'i4', 4, 'zone-b'), isStopping: true }, 0);
    const assignments = [assignmentTo('i2', 'group/x')];
    const choose = (zone: string | undefined, excluded?: string) =>
      chooseHolder(
        state,
        assignments,
        {
          kind: 'group',
          zone,
          excluded: excluded === undefined ? undefined : toIncarnation(excluded),
        },
        1,
      )?.entryId;
    expect(choose('zone-b')).toBe('e3');
    expect(choose('zone-b', 'i3')).toBe('e2');
    expect(choose('zone-z')).toBe('e1');
  });
});

describe('the holder of a resource', () => {
  const regionOf = (zone: string) => (zone.startsWith('far') ? 'far' : 'near');
  const entry = (
    name: string,
    zone: string,
    more: Partial<ReturnType<typeof renewal>> & object = {},
  ) => ({
    ...renewal(name, `i-${name}`, 1, zone),
    linkAddress: name,
    ...more,
  });

  it.each([
    {
      name: 'the preferred zone',
      entries: [entry('a', 'near-b'), entry('b', 'near-a')],
      expected: 'b',
    },
    {
      name: 'otherwise a zone of the same region',
      entries: [entry('a', 'far-a'), entry('b', 'near-b')],
      expected: 'b',
    },
    { name: 'otherwise any zone', entries: [entry('a', 'far-a')], expected: 'a' },
    {
      name: 'the zone before a narrow link',
      entries: [entry('a', 'far-a', { linkMbps: 2 } as object), entry('b', 'near-a')],
      expected: 'b',
    },
    {
      name: 'within a zone, a narrow link',
      entries: [entry('a', 'near-a'), entry('b', 'near-a', { linkMbps: 2 } as object)],
      expected: 'b',
    },
    {
      name: 'within a zone, an instance without a control member',
      entries: [entry('a', 'near-a', { isBesideControl: true } as object), entry('b', 'near-a')],
      expected: 'b',
    },
    {
      name: 'the zone before an instance without a control member',
      entries: [entry('a', 'near-a', { isBesideControl: true } as object), entry('b', 'far-a')],
      expected: 'a',
    },
  ])('is chosen by: $name', ({ entries, expected }) => {
    const state = createEntryLeases(TIMING, 0);
    for (const each of entries) renewLease(state, each, 1_000);
    const preference = { kind: 'group', zone: 'near-a', regionOf, excluded: undefined } as const;
    expect(chooseHolder(state, [], preference, 1_000)?.entryId).toBe(expected);
  });

  it.each([
    {
      name: 'a home before the preferred zone',
      entries: [entry('a', 'near-a'), entry('b', 'far-b')],
      expected: 'b',
    },
    {
      name: 'the preferred zone within the homes',
      entries: [entry('a', 'far-b'), entry('b', 'far-a')],
      expected: 'b',
    },
    {
      name: 'a zone outside if no entry is in a home',
      entries: [entry('a', 'near-a')],
      expected: 'a',
    },
  ])('of a group with homes is chosen by: $name', ({ entries, expected }) => {
    const state = createEntryLeases(TIMING, 0);
    for (const each of entries) renewLease(state, each, 1_000);
    const zone = expected === 'b' && entries[0]?.zone === 'far-b' ? 'far-a' : 'near-a';
    const preference = {
      kind: 'group',
      zone,
      homes: ['far'],
      regionOf,
      excluded: undefined,
    } as const;
    expect(chooseHolder(state, [], preference, 1_000)?.entryId).toBe(expected);
  });

  it('ends once a newer incarnation uses its address, even if this leader granted it no lease', () => {
    const state = createEntryLeases(TIMING, 0);
    const earlier = { ...assignmentTo('i0'), linkAddress: '127.0.0.1:1' };
    expect(mayHolderAct(state, earlier, 100)).toBe(true);
    expect(endEarlierHoldersAtAddress(state, [earlier], renewal('e1', 'i1'), 0)).toBe(true);
    expect(mayHolderAct(state, earlier, 100)).toBe(false);
    expect(endEarlierHoldersAtAddress(state, [earlier], renewal('e1', 'i1'), 0)).toBe(false);
  });
});
