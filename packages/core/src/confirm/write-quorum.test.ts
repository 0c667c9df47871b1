import { describe, expect, it } from 'vitest';
import { createGroupView } from '../route/server-view.js';
import { toServerName } from '../types/ids.js';
import type { Announcement } from '../types/target.js';
import {
  type ConfirmContext,
  confirmWrite,
  mayAddMember,
  type PendingWrite,
  writeQuorumSize,
} from './write-quorum.js';

const MEMBERS = ['p', 'r1', 'r2'].map(toServerName);

function contextOf(
  positions: Record<string, { term: number; offset: number; follows?: number }>,
  fields: Partial<ConfirmContext> = {},
): ConfirmContext {
  const view = createGroupView();
  for (const [name, { term, offset, follows }] of Object.entries(positions)) {
    const server = toServerName(name);
    const announcement = { term: follows ?? 3, position: { term, offset } } as Announcement;
    view.servers.set(server, {
      server,
      announcement,
      heardAtMs: 0,
      upToDateAtMs: 0,
      lostLogEnd: undefined,
    });
  }
  return {
    view,
    members: MEMBERS,
    primary: toServerName('p'),
    term: 3,
    nowMs: 0,
    holdsLease: true,
    highestTerm: 3,
    ...fields,
  };
}

const WRITE: PendingWrite = {
  mark: { term: 3, offset: 50 },
  term: 3,
  deadlineMs: 100,
  needsQuorum: true,
};
const HELD_BY_ONE_REPLICA = { r1: { term: 3, offset: 50 } };

describe('confirmWrite', () => {
  const CASES: readonly [string, ConfirmContext, PendingWrite, string][] = [
    ['one replica holds it', contextOf(HELD_BY_ONE_REPLICA), WRITE, 'acknowledge'],
    ['no replica holds it yet', contextOf({ r1: { term: 3, offset: 49 } }), WRITE, 'wait'],
    ['a longer log of an older term', contextOf({ r1: { term: 2, offset: 99 } }), WRITE, 'wait'],
    [
      'a replica that follows an older term',
      contextOf({ r1: { term: 3, offset: 50, follows: 2 } }),
      WRITE,
      'wait',
    ],
    ['a server that is no member', contextOf({ x: { term: 3, offset: 50 } }), WRITE, 'wait'],
    ['the deadline has passed', contextOf({}, { nowMs: 100 }), WRITE, 'not-covered'],
    [
      'a quorum has it, but the lease has expired',
      contextOf(HELD_BY_ONE_REPLICA, { holdsLease: false }),
      WRITE,
      'superseded',
    ],
    [
      'a newer term was proposed',
      contextOf(HELD_BY_ONE_REPLICA, { highestTerm: 4 }),
      WRITE,
      'superseded',
    ],
    [
      'the group is in a newer term',
      contextOf(HELD_BY_ONE_REPLICA, { term: 4, highestTerm: 4 }),
      WRITE,
      'superseded',
    ],
    [
      'the primary wrote it in another term',
      contextOf(HELD_BY_ONE_REPLICA),
      { ...WRITE, mark: { term: 2, offset: 1 } },
      'superseded',
    ],
    [
      'the group does not require a quorum',
      contextOf({}),
      { ...WRITE, needsQuorum: false },
      'acknowledge',
    ],
    [
      'no quorum is required, but the lease has expired',
      contextOf({}, { holdsLease: false }),
      { ...WRITE, needsQuorum: false },
      'superseded',
    ],
    [
      'a group of one server',
      contextOf({}, { members: MEMBERS.slice(0, 1) }),
      WRITE,
      'acknowledge',
    ],
    [
      'five members, one replica',
      contextOf(HELD_BY_ONE_REPLICA, { members: ['p', 'r1', 'r2', 'r3', 'r4'].map(toServerName) }),
      WRITE,
      'wait',
    ],
  ];
  it.each(CASES)('%s', (_name, context, write, expected) => {
    expect(confirmWrite(write, context)).toBe(expected);
  });
});

describe('mayAddMember', () => {
  const mark = { term: 3, offset: 50 };
  const two = { members: MEMBERS.slice(0, 2) };
  const four = { members: ['p', 'r1', 'r2', 'r3'].map(toServerName) };
  it.each([
    ['to one member', contextOf({}, { members: MEMBERS.slice(0, 1) }), mark, true],
    ['to three members', contextOf({}), undefined, true],
    ['to two, of which the replica has caught up', contextOf({ r1: mark }, two), mark, true],
    [
      'to two, of which the replica lacks a write',
      contextOf({ r1: { term: 3, offset: 49 } }, two),
      mark,
      false,
    ],
    [
      'to two, without knowing what was acknowledged',
      contextOf({ r1: mark }, two),
      undefined,
      false,
    ],
    ['to four, of which one replica has caught up', contextOf({ r1: mark }, four), mark, false],
    [
      'to four, of which two replicas have caught up',
      contextOf({ r1: mark, r2: mark }, four),
      mark,
      true,
    ],
    [
      'to a group without a primary',
      contextOf({}, { ...two, primary: undefined }),
      undefined,
      true,
    ],
  ])('%s', (_name, context, heldBefore, expected) => {
    expect(mayAddMember(heldBefore, context)).toBe(expected);
  });

  it('lets each quorum of the larger group meet those that hold an acknowledged write', () => {
    for (let count = 1; count < 10; count += 1) {
      // Writes that counted before the last member joined are checked for an even number of members alone.
      const holders =
        count % 2 === 1 ? writeQuorumSize(Math.max(1, count - 1)) : writeQuorumSize(count);
      expect(holders + writeQuorumSize(count + 1)).toBeGreaterThan(count + 1);
    }
  });
});
