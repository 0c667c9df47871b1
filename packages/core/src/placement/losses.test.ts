/** What is decided when a region, a zone, a link between zones or the disk of a control member is lost. */
import { describe, expect, it } from 'vitest';
import {
  createEmptyDisk,
  createHarness,
  type Harness,
  heal,
  leaderOf,
  type Member,
  memberOf,
  propose,
  run,
  seededRandom,
  startMember,
  step,
} from '../control-log/raft-harness.test-support.js';
import { mayVote, membershipOf } from '../control-log/raft-state.js';
import type { Assignment } from '../control-state/types.js';
import {
  chooseHolder,
  createEntryLeases,
  type EntryLeases,
  endExpiredHolders,
  renewLease,
} from '../lease/entry-leases.js';
import { chooseSuccessor, type SuccessorContext } from '../promotion/choose-successor.js';
import { toEntryId, toIncarnation, toMemberId, toServerName } from '../types/ids.js';
import { mayForward } from './home-regions.js';
import { leaderPlacement, type PlacementRules, plannedChangeReason } from './leader-placement.js';

/** Zone `a1` is in region `a`. */
const regionOf = (zone: string) => zone.slice(0, 1);
const rules: PlacementRules = { evacuatedZones: new Set(), homes: undefined, regionOf };

/** Five voters over three regions, no region with a majority. */
const VOTERS = ['a1', 'a2', 'b1', 'b2', 'c1'];
/** Zones with an entry each. */
const ZONES = ['a1', 'a2', 'b1', 'c1'];

function elect(ids: readonly string[], seed: number): Harness {
  const harness = createHarness(ids, seededRandom(seed));
  run(harness, 3_000);
  propose(harness, requireLeader(harness), 'before');
  run(harness, 300);
  return harness;
}

function requireLeader(harness: Harness): Member {
  const leader = leaderOf(harness);
  if (!leader) throw new Error('no leader');
  return leader;
}

function commandsOf({ applied }: Member): string[] {
  return applied.filter((command) => !command.startsWith('('));
}

/** Leases of one entry in each zone; those in lost zones were last renewed long ago. */
function leasesOf(zones: readonly string[], isLost: (zone: string) => boolean): EntryLeases {
  const state = createEntryLeases({ leaseMs: 1_050, driftMarginMs: 80 }, 0);
  for (const zone of zones) {
    const entry = {
      entryId: toEntryId(`entry-${zone}`),
      incarnation: toIncarnation(zone),
      linkAddress: zone,
      zone,
      isStopping: false,
      settingsRevision: 0,
    };
    renewLease(state, entry, isLost(zone) ? 0 : 10_000);
  }
  return state;
}

const owner: Assignment = {
  resource: 'group/ledger',
  epoch: 3,
  entryId: toEntryId('entry-a1'),
  incarnation: toIncarnation('a1'),
  linkAddress: 'a1',
  zone: 'a1',
};

function nextOwnerZone(
  isLost: (zone: string) => boolean,
  homes?: readonly string[],
): string | undefined {
  const leases = leasesOf(ZONES, isLost);
  expect(endExpiredHolders(leases, [owner], 10_000)).toEqual([owner]);
  const preference = { kind: 'group', zone: 'a1', regionOf, homes, excluded: undefined } as const;
  return chooseHolder(leases, [], preference, 10_000)?.zone;
}

const at = (offset: number) => ({ term: 2, offset });

function fenced(zone: string, offset: number): SuccessorContext['fenced'][number] {
  const placement = leaderPlacement(zone, rules);
  const server = toServerName(zone);
  return { server, position: at(offset), isLeaving: false, wasPrimary: false, placement };
}

/** The primary in `a1` is out of reach; a position up to 10 may be acknowledged. */
function choose(reached: SuccessorContext['fenced'], unfenced: readonly string[]): string {
  const choice = chooseSuccessor({
    fenced: reached,
    unfenced: unfenced.map(toServerName),
    mayPrimaryReturn: true,
    hasUncoveredCommits: false,
    mayHaveUnknownReplicas: false,
    acknowledged: at(10),
    isPlanned: false,
  });
  return choice.kind === 'promote' ? choice.server : choice.reason;
}

describe('a lost region', () => {
  const isLost = (zone: string) => regionOf(zone) === 'a';

  it.each(['a', 'b', 'c'])(
    '%s leaves a majority of voters, which keeps what was acknowledged',
    (region) => {
      const harness = elect(VOTERS, region.charCodeAt(0));
      for (const member of harness.members.values())
        if (regionOf(member.id) === region) member.isUp = false;
      run(harness, 5_000);
      const leader = requireLeader(harness);
      expect(regionOf(leader.id)).not.toBe(region);
      propose(harness, leader, 'after');
      run(harness, 500);
      for (const member of harness.members.values())
        if (member.isUp) expect(commandsOf(member)).toEqual(['before', 'after']);
    },
  );

  // Shows why voters have to be spread: with three of five in one region, its loss stops control.
  it('stops control if it has a majority of the voters', () => {
    const harness = elect(['a1', 'a2', 'a3', 'b1', 'c1'], 4);
    for (const member of harness.members.values())
      if (regionOf(member.id) === 'a') member.isUp = false;
    run(harness, 5_000);
    expect(leaderOf(harness)).toBeUndefined();
  });

  it('gives its groups owners in other regions', () => {
    expect(nextOwnerZone(isLost)).toBe('b1');
  });

  it('gives a group with homes an owner in the home that is left', () => {
    expect(nextOwnerZone(isLost, ['a', 'c'])).toBe('c1');
  });

  // Guards against a group that stays without an owner, or whose content leaves its homes, for the sake of another rule.
  it.each([
    { lost: 'a', homes: undefined, expected: 'b' },
    { lost: 'b', homes: undefined, expected: 'a' },
    { lost: 'c', homes: undefined, expected: 'a' },
    { lost: 'a', homes: ['b', 'a'], expected: 'b' },
    { lost: 'b', homes: ['b', 'c'], expected: 'c' },
    { lost: 'c', homes: ['b', 'c'], expected: 'b' },
  ])('$lost leaves an owner in $expected to a group with the homes $homes', (each) => {
    const isLostZone = (zone: string) => regionOf(zone) === each.lost;
    const leases = leasesOf(ZONES, isLostZone);
    endExpiredHolders(leases, [owner], 10_000);
    const preference = { kind: 'group', zone: 'a1', regionOf, excluded: undefined } as const;
    const next = chooseHolder(leases, [], { ...preference, homes: each.homes }, 10_000);
    expect(next && regionOf(next.zone)).toBe(each.expected);
  });

  it('that is the only home gives the group an owner elsewhere, which may not get its content', () => {
    const zone = nextOwnerZone(isLost, ['a']);
    expect(zone).toBe('b1');
    expect(mayForward(['a'], { isLocal: false, zone }, regionOf)).toBe(false);
  });

  it('promotes a server elsewhere only if it has all that may be acknowledged', () => {
    expect(choose([fenced('b1', 10)], ['a2'])).toBe('b1');
    expect(choose([fenced('b1', 9)], ['a2'])).toBe('behind-acknowledged');
  });

  // Guards against content that leaves its region because that is lost.
  it('that is the only home lets restricted statements pass nowhere else', () => {
    const other = { isLocal: false, zone: 'b1' };
    expect(mayForward(['a'], other, regionOf)).toBe(false);
    expect(mayForward(null, other, regionOf)).toBe(true);
    const primary = { zone: 'b1', isLeaving: false, isFailing: false };
    const home = { zone: 'a1', isLeaving: false, isFailing: true };
    const homeRules = { ...rules, homes: ['a'] };
    expect(plannedChangeReason(primary, [home], homeRules)).toBeUndefined();
    expect(plannedChangeReason(primary, [{ ...home, isFailing: false }], homeRules)).toBe(
      'outside-homes',
    );
  });
});

describe('a lost zone', () => {
  const isLost = (zone: string) => zone === 'a1';

  it.each(VOTERS)('%s leaves a majority of voters', (zone) => {
    const harness = elect(VOTERS, 7);
    memberOf(harness, zone).isUp = false;
    run(harness, 3_000);
    const leader = requireLeader(harness);
    propose(harness, leader, 'after');
    run(harness, 500);
    expect(commandsOf(leader)).toEqual(['before', 'after']);
  });

  it('gives its groups owners in another zone of the region', () => {
    expect(nextOwnerZone(isLost)).toBe('a2');
  });

  it('does not wait for the servers there', () => {
    expect(choose([fenced('a2', 10), fenced('b1', 10)], [])).toBe('a2');
    expect(choose([fenced('a2', 9), fenced('b1', 11)], [])).toBe('b1');
  });
});

describe('two zones that cannot reach each other while a third one reaches both', () => {
  function cut(harness: Harness, left: string, right: string): void {
    harness.cutLinks.add(`${left}>${right}`);
    harness.cutLinks.add(`${right}>${left}`);
  }

  it.each([1, 2, 3, 4, 5, 6])(
    'have one leader, which commits, and one history afterwards (seed %i)',
    (seed) => {
      const harness = elect(['a1', 'b1', 'c1'], seed);
      cut(harness, 'a1', 'b1');
      run(harness, 20_000);
      const { currentTerm } = requireLeader(harness).state;
      propose(harness, requireLeader(harness), 'while cut');
      run(harness, 20_000);
      const leader = requireLeader(harness);
      expect(leader.state.currentTerm).toBe(currentTerm);
      expect(commandsOf(leader)).toEqual(['before', 'while cut']);
      expect(commandsOf(memberOf(harness, 'c1'))).toEqual(['before', 'while cut']);
      heal(harness);
      run(harness, 3_000);
      for (const member of harness.members.values())
        expect(commandsOf(member)).toEqual(['before', 'while cut']);
    },
  );

  it('promote a server that the owner reaches if it has all that may be acknowledged', () => {
    expect(choose([fenced('c1', 10)], [])).toBe('c1');
    expect(choose([fenced('c1', 9)], ['a2'])).toBe('behind-acknowledged');
  });

  it('leave the primary its role as long as the owner reaches it', () => {
    const primary = { zone: 'c1', isLeaving: false, isFailing: false };
    const cutOff = { zone: 'a1', isLeaving: false, isFailing: true };
    expect(plannedChangeReason(primary, [cutOff], rules)).toBeUndefined();
  });
});

describe('a control member that is replaced by an empty one', () => {
  function replace(harness: Harness, id: string): Member {
    return startMember(harness, toMemberId(id), createEmptyDisk('replacement'));
  }

  function admit(harness: Harness, id: string, isVoter: boolean): void {
    const leader = requireLeader(harness);
    const record = membershipOf(leader.state)[id];
    if (!record) throw new Error(`no record of ${id}`);
    const { diskId } = createEmptyDisk('replacement');
    const membership = { ...membershipOf(leader.state), [id]: { ...record, diskId, isVoter } };
    step(harness, leader, { kind: 'propose', payloads: [{ kind: 'membership', membership }] });
    run(harness, 1_000);
  }

  it.each(VOTERS)('%s does not vote, and the others go on', (id) => {
    const harness = elect(VOTERS, 9);
    const replaced = replace(harness, id);
    run(harness, 3_000);
    expect(mayVote(replaced.state)).toBe(false);
    const leader = requireLeader(harness);
    expect(leader.id).not.toBe(id);
    propose(harness, leader, 'after');
    run(harness, 500);
    expect(commandsOf(leader)).toEqual(['before', 'after']);
  });

  // Guards against a replacement that stays without a vote, so that the next loss of a region stops control.
  it('votes once it has caught up, so that a region may be lost afterwards', () => {
    const harness = elect(VOTERS, 9);
    replace(harness, 'b1');
    run(harness, 2_000);
    admit(harness, 'b1', false);
    admit(harness, 'b1', true);
    expect(mayVote(memberOf(harness, 'b1').state)).toBe(true);
    for (const id of ['a1', 'a2']) memberOf(harness, id).isUp = false;
    run(harness, 5_000);
    const leader = requireLeader(harness);
    propose(harness, leader, 'after');
    run(harness, 500);
    expect(commandsOf(memberOf(harness, 'b1'))).toEqual(['before', 'after']);
  });
});
