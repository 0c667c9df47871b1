import { describe, expect, it } from 'vitest';
import { toCustomerName, toGroupName } from '../types/ids.js';
import { createHomesClaim, homeRulesOf, homesInForce } from './current-homes.js';
import type { Homes } from './home-regions.js';

const customer = toCustomerName('one');
const group = toGroupName('ledger');

function rules(route: readonly string[], own: readonly string[] = []) {
  return homeRulesOf({
    routes: new Map([['bookings', { group, homeRegions: route }]]),
    customers: new Map([[customer, { homeRegions: own }]]),
  });
}

interface Case {
  readonly name: string;
  readonly sent: Homes;
  readonly here: ReturnType<typeof rules> | undefined;
  readonly later?: ReturnType<typeof rules>;
  readonly expected: Homes;
}

describe('the homes of a statement that waits', () => {
  it.each<Case>([
    { name: 'no settings here', sent: ['a'], here: undefined, expected: ['a'] },
    { name: 'no limit', sent: null, here: rules([]), expected: null },
    { name: 'newer settings here', sent: null, here: rules(['a', 'b'], ['b']), expected: ['b'] },
    { name: 'newer settings at the sender', sent: ['a'], here: rules([]), expected: ['a'] },
    { name: 'settings that differ', sent: ['a', 'b'], here: rules(['b', 'c']), expected: ['b'] },
    { name: 'nothing in common', sent: ['a'], here: rules(['b']), expected: [] },
    { name: 'contradiction here', sent: null, here: rules(['a'], ['b']), expected: [] },
    { name: 'a change', sent: null, here: rules([]), later: rules(['a']), expected: ['a'] },
    { name: 'a limit lifted', sent: ['a'], here: rules(['a']), later: rules([]), expected: null },
    {
      ...{ name: 'a route that is gone', sent: ['a'], here: rules(['a']), expected: ['a'] },
      later: homeRulesOf({
        routes: new Map(),
        customers: new Map([[customer, { homeRegions: ['b'] }]]),
      }),
    },
  ])('are judged by settings here and at the sender: $name', ({ sent, here, later, expected }) => {
    const claim = createHomesClaim({ group, database: 'bookings', customer }, sent);
    const first = homesInForce(claim, here);
    expect(later ? homesInForce(claim, later) : first).toEqual(expected);
  });

  // Guards against statements that were sent before the first limit came into force.
  it('follow all limits of the group after a change if the sender knew of none', () => {
    const claim = createHomesClaim({ group, customer }, null);
    expect(homesInForce(claim, rules([]))).toBeNull();
    expect(homesInForce(claim, rules(['a', 'b'], ['b']))).toEqual(['b']);
  });

  it('stay as sent by a former version, which names no database', () => {
    const claim = createHomesClaim({ group, customer }, ['a']);
    expect(homesInForce(claim, rules(['b']))).toEqual(['a']);
  });
});
