import { describe, expect, it } from 'vitest';
import {
  type LeaderCandidate,
  leaderPlacement,
  type PlacementRules,
  plannedChangeReason,
} from './leader-placement.js';

const regionOf = (zone: string) => zone.slice(0, 1);

function rules(evacuated: readonly string[], homes?: readonly string[]): PlacementRules {
  return { evacuatedZones: new Set(evacuated), homes, regionOf };
}

function at(zone: string, change: Partial<LeaderCandidate> = {}): LeaderCandidate {
  return { zone, isLeaving: false, isFailing: false, ...change };
}

const isLeaving = { isLeaving: true };
const isFailing = { isFailing: true };

describe('leaderPlacement', () => {
  it.each([
    { zone: 'a1', rules: rules([]), expected: 'suitable' },
    { zone: 'a1', rules: rules(['a2']), expected: 'suitable' },
    { zone: 'a1', rules: rules(['a1']), expected: 'evacuated' },
    { zone: 'a1', rules: rules([], ['a']), expected: 'suitable' },
    { zone: 'a1', rules: rules([], ['b']), expected: 'outside-homes' },
    { zone: 'a1', rules: rules(['a1'], ['b']), expected: 'evacuated' },
  ])('of $zone is $expected', ({ zone, rules: applied, expected }) => {
    expect(leaderPlacement(zone, applied)).toBe(expected);
  });
});

describe('plannedChangeReason', () => {
  it.each([
    {
      name: 'leads on without any rule',
      primary: at('a1'),
      others: [at('a2')],
      rules: rules([]),
      expected: undefined,
    },
    {
      name: 'is replaced while it leaves',
      primary: at('a1', isLeaving),
      others: [at('a2')],
      rules: rules([]),
      expected: 'leaving',
    },
    {
      name: 'leads on while all others leave or fail as well',
      primary: at('a1', isLeaving),
      others: [at('a2', isLeaving), at('b1', isFailing)],
      rules: rules([]),
      expected: undefined,
    },
    {
      name: 'is replaced in an evacuated zone',
      primary: at('a1'),
      others: [at('a2')],
      rules: rules(['a1']),
      expected: 'evacuated',
    },
    {
      name: 'is not replaced by a server in an evacuated zone',
      primary: at('a1', isLeaving),
      others: [at('a2')],
      rules: rules(['a2']),
      expected: undefined,
    },
    {
      name: 'is not replaced if all zones are evacuated',
      primary: at('a1'),
      others: [at('a2'), at('b1')],
      rules: rules(['a1', 'a2', 'b1']),
      expected: undefined,
    },
    {
      name: 'is moved into a home region',
      primary: at('a1'),
      others: [at('a2'), at('b1')],
      rules: rules([], ['b']),
      expected: 'outside-homes',
    },
    {
      name: 'stays outside if no server in a home can lead',
      primary: at('a1'),
      others: [at('a2'), at('b1', isFailing)],
      rules: rules([], ['b']),
      expected: undefined,
    },
    {
      name: 'stays in its home region',
      primary: at('b1'),
      others: [at('a1'), at('b2')],
      rules: rules([], ['b']),
      expected: undefined,
    },
    {
      name: 'leaves an evacuated zone also for a server outside the homes',
      primary: at('b1'),
      others: [at('a1')],
      rules: rules(['b1'], ['b']),
      expected: 'evacuated',
    },
  ])('$name', ({ primary, others, rules: applied, expected }) => {
    expect(plannedChangeReason(primary, others, applied)).toBe(expected);
  });
});
