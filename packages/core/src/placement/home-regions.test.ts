import { describe, expect, it } from 'vitest';
import {
  effectiveHomes,
  type HomeLimit,
  type Homes,
  homesOfGroups,
  isHome,
  mayForward,
} from './home-regions.js';

const limit = (...homeRegions: readonly string[]): HomeLimit => ({ homeRegions });
const regionOf = (zone: string) => zone.slice(0, 1);

describe('effectiveHomes', () => {
  it.each([
    { name: 'neither', route: limit(), customer: limit(), expected: 'anywhere' },
    { name: 'no customer', route: limit(), customer: undefined, expected: 'anywhere' },
    { name: 'route alone', route: limit('a', 'b'), customer: limit(), expected: 'a b' },
    { name: 'route, no customer', route: limit('a'), customer: undefined, expected: 'a' },
    { name: 'customer alone', route: limit(), customer: limit('b'), expected: 'b' },
    { name: 'both', route: limit('a', 'b'), customer: limit('b', 'c'), expected: 'b' },
    { name: 'repeated names', route: limit('a', 'a'), customer: limit('a'), expected: 'a' },
    { name: 'none in common', route: limit('a'), customer: limit('b'), expected: 'none' },
  ])('of $name: $expected', ({ route, customer, expected }) => {
    const homes = effectiveHomes(route, customer);
    expect(homes.kind === 'regions' ? homes.regions.join(' ') : homes.kind).toBe(expected);
  });
});

describe('mayForward', () => {
  it.each<{ name: string; homes: Homes; isLocal: boolean; zone?: string; expected: boolean }>([
    { name: 'without a limit', homes: null, isLocal: false, zone: 'b1', expected: true },
    { name: 'into a home', homes: ['a'], isLocal: false, zone: 'a2', expected: true },
    { name: 'out of the homes', homes: ['a'], isLocal: false, zone: 'b1', expected: false },
    { name: 'to an unknown zone', homes: ['a'], isLocal: false, expected: false },
    { name: 'to the entry itself', homes: ['a'], isLocal: true, zone: 'b1', expected: true },
  ])('$name: $expected', ({ homes, isLocal, zone, expected }) => {
    expect(mayForward(homes, { isLocal, zone }, regionOf)).toBe(expected);
  });
});

describe('isHome', () => {
  it.each([
    { homes: null, region: undefined, expected: true },
    { homes: ['a'], region: 'a', expected: true },
    { homes: ['a'], region: 'b', expected: false },
    { homes: ['a'], region: undefined, expected: false },
  ])('of $region among $homes: $expected', ({ homes, region, expected }) => {
    expect(isHome(homes, region)).toBe(expected);
  });
});

describe('homesOfGroups', () => {
  it('are the regions that all restricted routes of a group have in common', () => {
    const routes = [
      { group: 'one', homeRegions: ['a', 'b'] },
      { group: 'one', homeRegions: [] },
      { group: 'one', homeRegions: ['b', 'c'] },
      { group: 'free', homeRegions: [] },
      { group: 'contradictory', homeRegions: ['a'] },
      { group: 'contradictory', homeRegions: ['b'] },
    ];
    expect([...homesOfGroups(routes)]).toEqual([['one', ['b']]]);
  });
});
