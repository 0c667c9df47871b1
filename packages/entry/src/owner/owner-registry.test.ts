import { toGroupName, toSessionId } from '@bramleykeel/core';
import { describe, expect, it } from 'vitest';
import { answerFateQuery, type OwnerRegistry } from './owner-registry.js';
import type { GroupOwner } from './owner-state.js';

const GROUP = toGroupName('g');
const SESSION = toSessionId('e1:1');

function ownerOf(epoch: number, touchedNumber: number | undefined): GroupOwner {
  const touched = new Map(
    touchedNumber === undefined ? [] : [[SESSION, { number: touchedNumber, atMs: 0 }]],
  );
  return {
    group: GROUP,
    epoch,
    touched,
    revoked: new Map(),
    sessions: new Map(),
  } as unknown as GroupOwner;
}

describe('answerFateQuery', () => {
  const CASES: readonly [string, GroupOwner | undefined, readonly GroupOwner[], string][] = [
    ['the present owner, not started', ownerOf(3, undefined), [], 'not-started'],
    ['the present owner, started', ownerOf(3, 5), [], 'may-have-run'],
    ['an owner that has handed over, not started', undefined, [ownerOf(3, 4)], 'not-started'],
    ['an owner that has handed over, started', undefined, [ownerOf(3, 5)], 'may-have-run'],
    ['an owner of a later epoch only', ownerOf(5, undefined), [], 'may-have-run'],
    [
      'a later owner beside the one that was asked for',
      ownerOf(5, undefined),
      [ownerOf(3, 5)],
      'may-have-run',
    ],
    ['no owner', undefined, [], 'may-have-run'],
  ];
  it.each(CASES)('%s', (_name, present, closed, expected) => {
    const registry = {
      owners: new Map(present ? [[GROUP, present]] : []),
      closedOwners: new Set(closed),
    } as unknown as OwnerRegistry;
    const query = { ownerEpoch: 3, session: SESSION, number: 5 };
    expect(answerFateQuery(registry, GROUP, query)).toBe(expected);
  });
});
